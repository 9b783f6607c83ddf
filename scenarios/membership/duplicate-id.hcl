# A second process with the same host number runs at another address for a while. The first process yields to it, and takes its
# number back when the duplicate ends.

day {
  base           = "base.hcl"
  seconds        = 8
  hosts          = 12
  seed           = 38
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "host 9 has a twin" {
  at_s  = 1.5
  for_s = 5
  host  = "twin"
  hosts = [9]
}
