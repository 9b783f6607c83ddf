# Parted twice, first two voters with one host and one voter with the others, then each voter by itself; operators on all sides. What
# they see must be what one after the other would have seen, and the limit falls meanwhile where most voters are.

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
