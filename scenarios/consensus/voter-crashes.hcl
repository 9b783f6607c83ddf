# Each voter crashes once, and later all voters crash at once. Changes are made between the crashes, and every acknowledged change
# must survive.

day {
  base       = "base.hcl"
  seconds    = 11
  hosts      = 5
  seed       = 23
  members    = true
  exercises  = [1, 7]
  least_done = 0.2
}

trouble "one voter after the other" {
  at_s   = 1.5
  for_s  = 0.4
  step_s = 1.2
  host   = "kill"
  hosts  = [0, 1, 2]
}

trouble "a change meanwhile" {
  at_s        = 2.6
  for_s       = 1.2
  plan        = "basic"
  limit_times = 0.5
  ask         = 3
}

trouble "all at once" {
  at_s  = 6
  for_s = 0.5
  host  = "kill"
  hosts = [0, 1, 2]
}

trouble "a change afterwards" {
  at_s        = 8.5
  for_s       = 1.2
  plan        = "basic"
  limit_times = 0.3
  ask         = 4
}
