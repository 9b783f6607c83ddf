# A base for `tackmast scenario --hunt`, which adds generated faults: eight hosts of two sites under light traffic.

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
