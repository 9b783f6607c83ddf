# A fifth of the datagrams between hosts is lost, the others are delayed by up to a protocol period and so reordered, and some are
# duplicated. One host crashes meanwhile.

day {
  base           = "base.hcl"
  seconds        = 9
  hosts          = 12
  seed           = 39
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "a fifth is lost" {
  at_s  = 1
  for_s = 7
  way   = "lose 0.2"
  from  = ["hosts"]
  to    = ["hosts"]
}

trouble "late and out of order" {
  at_s  = 1
  for_s = 7
  way   = "late 0.2"
  from  = ["hosts"]
  to    = ["hosts"]
}

trouble "some come twice" {
  at_s  = 1
  for_s = 7
  way   = "double 0.05"
  from  = ["hosts"]
  to    = ["hosts"]
}

trouble "a host is killed" {
  at_s  = 4
  for_s = 4.5
  host  = "kill"
  hosts = [7]
}
