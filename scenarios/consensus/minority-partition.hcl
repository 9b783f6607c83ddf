# A voter and a learner are partitioned from all other hosts, but not from their clients and nodes, while a limit falls to a tenth.
# Once their leases expire they must send nothing more of the limited volume; the majority continues.

day {
  base       = "base.hcl"
  seconds    = 9
  hosts      = 5
  seed       = 21
  members    = true
  exercises  = [1, 7]
  least_done = 0.3
}

trouble "cut off" {
  at_s  = 2
  for_s = 4
  way   = "cut"
  apart = [["host/2", "host/4"], ["host/0", "host/1", "host/3"]]
}

trouble "the limit falls to a tenth" {
  at_s        = 2.5
  for_s       = 5
  plan        = "basic"
  limit_times = 0.1
  ask         = 3
}
