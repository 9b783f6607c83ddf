# Half of the ten hosts of a limited volume leave after a third of the time; hosts know nothing of each other.
change {
  hosts = 10
  nodes = 10
  seconds = 15
  rate_times = 3
  no_troubles = true
  limited_hosts = 10
  leave = 0.5
  members = false
}
