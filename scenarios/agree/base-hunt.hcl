# A day for `tackmast day --hunt` over the agreement: operators read and change plans at hosts by chance; drawn troubles come on top.

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
