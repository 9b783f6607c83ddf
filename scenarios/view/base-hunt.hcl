# A quiet day for `tackmast day --hunt`: drawn troubles come on top.

day {
  base           = "base.hcl"
  seconds        = 8
  hosts          = 8
  seed           = 1000
  members        = true
  sites          = 2
  settled_within = 60
  false_deaths   = 20
}
