# Three groups of hosts are partitioned from each other. One host of each group crashes and restarts after the partition has
# healed.

day {
  base           = "base.hcl"
  seconds        = 9
  hosts          = 12
  seed           = 35
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "parted" {
  at_s  = 1
  for_s = 6
  apart = [["part/0/3"], ["part/1/3"], ["part/2/3"]]
}

trouble "one of each part is killed" {
  at_s  = 2
  for_s = 5.5
  host  = "kill"
  hosts = [3, 7, 11]
}
