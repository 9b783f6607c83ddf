# All hosts crash at once. Most of them restart at other addresses, and one seed stays away much longer than the others. The
# membership views must converge again.

day {
  base           = "base.hcl"
  seconds        = 7
  hosts          = 12
  seed           = 37
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "all are killed and move" {
  at_s  = 2
  for_s = 1
  host  = "moved"
  who   = ["part/1/4", "part/2/4", "part/3/4", "host/2"]
}

trouble "the seeds are killed" {
  at_s  = 2
  for_s = 1
  host  = "kill"
  hosts = [1]
}

trouble "one seed is away for long" {
  at_s  = 2
  for_s = 4
  host  = "kill"
  hosts = [0]
}
