# A base for `tackmast scenario --hunt`, which adds generated faults: operators read and change plans at random hosts of a
# consensus group.

day {
  base              = "base.hcl"
  seconds           = 6
  hosts             = 5
  seed              = 3000
  members           = true
  sites             = 2
  operators         = 3
  operators_pause_s = 0.05
}
