# Two partitions: first two voters on one side and one voter with the other hosts, then each voter in a group of its own.
# Operators work on all sides, and their calls must be linearizable.

day {
  base              = "base.hcl"
  seconds           = 10
  hosts             = 5
  seed              = 25
  members           = true
  exercises         = [1, 7]
  operators         = 3
  operators_pause_s = 0.05
}

trouble "two parts" {
  at_s  = 1.5
  for_s = 2.5
  way   = "cut"
  apart = [["host/0", "host/1"], ["host/2", "host/3", "host/4"]]
}

trouble "three parts" {
  at_s  = 5.5
  for_s = 2
  way   = "cut"
  apart = [["host/0", "host/3"], ["host/1"], ["host/2", "host/4"]]
}
