# A second process of one number runs elsewhere for a while; the first yields, and takes its number back.

day {
  base           = "base.hcl"
  seconds        = 8
  hosts          = 12
  seed           = 38
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "host 9 has a twin" {
  at_s  = 1.5
  for_s = 5
  host  = "twin"
  hosts = [9]
}
