# First no peer receives datagrams of one host, then another host receives none; each for longer than it takes to declare a host
# dead.

day {
  base           = "base.hcl"
  seconds        = 12
  hosts          = 12
  seed           = 36
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "nobody hears host 4" {
  at_s    = 1
  for_s   = 4
  way     = "cut"
  from    = ["host/4"]
  to      = ["hosts"]
  one_way = true
}

trouble "host 8 hears nobody" {
  at_s    = 7
  for_s   = 4
  way     = "cut"
  from    = ["hosts"]
  to      = ["host/8"]
  one_way = true
}
