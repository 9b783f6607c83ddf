# All hosts are started anew at once, most of them at other addresses; one seed comes much later.

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
