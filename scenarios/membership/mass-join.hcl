# Half of the hosts join within a moment.

day {
  base           = "base.hcl"
  seconds        = 6
  hosts          = 12
  seed           = 34
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "half joins" {
  at_s  = 0
  for_s = 3
  host  = "late"
  who   = ["part/1/2"]
}
