# Most of a limited volume comes through one host, which changes each two seconds; hosts know nothing of each other.
change {
  hosts = 10
  nodes = 10
  seconds = 15
  rate_times = 3
  no_troubles = true
  limited_hosts = 10
  busiest = 0.9
  members = false
}
