# Two halves are partitioned for longer than it takes to declare a host dead. On each side one host crashes and another joins
# meanwhile; afterwards the membership views must merge.

day {
  base           = "base.hcl"
  seconds        = 8
  hosts          = 12
  seed           = 32
  members        = true
  sites          = 2
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "parted" {
  at_s  = 1
  for_s = 6
  apart = [["part/0/2"], ["part/1/2"]]
}

trouble "one of each side joins late" {
  at_s  = 0
  for_s = 4
  host  = "late"
  hosts = [4, 10]
}

trouble "one of each side is killed" {
  at_s  = 2
  for_s = 5.5
  host  = "kill"
  hosts = [5, 11]
}
