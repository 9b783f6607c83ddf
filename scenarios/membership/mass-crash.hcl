# A third of the hosts crashes at once and stays away for four seconds; then all of these hosts restart at once.

day {
  base           = "base.hcl"
  seconds        = 6
  hosts          = 12
  seed           = 31
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "a third is killed" {
  at_s  = 1
  for_s = 4
  host  = "kill"
  who   = ["every/2/3"]
}
