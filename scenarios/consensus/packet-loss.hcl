# A fifth of the datagrams between hosts is lost, the others are delayed by up to 200 ms, and a tenth is duplicated. Operators'
# changes must still commit, and their calls must be linearizable.

day {
  base              = "base.hcl"
  seconds           = 9
  hosts             = 5
  seed              = 27
  members           = true
  exercises         = [1, 7]
  operators         = 3
  operators_pause_s = 0.05
}

trouble "lost" {
  at_s  = 1.5
  for_s = 6
  way   = "lose 0.2"
  from  = ["hosts"]
  to    = ["hosts"]
}

trouble "late" {
  at_s  = 1.5
  for_s = 6
  way   = "late 0.2"
  from  = ["hosts"]
  to    = ["hosts"]
}

trouble "double" {
  at_s  = 1.5
  for_s = 6
  way   = "double 0.1"
  from  = ["hosts"]
  to    = ["hosts"]
}
