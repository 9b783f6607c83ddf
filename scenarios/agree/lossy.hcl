# A fifth of all datagrams lost, up to 200 ms late, some doubled; changes go on.

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
