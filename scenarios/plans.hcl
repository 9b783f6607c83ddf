# Plans that change under load: a limit is lowered to a fifth while its volume asks for far more, raised, and set back; one
# host is killed while a change is made and takes clients again only when it has it. No sum ever passes what counts.

day {
  base       = "members.hcl"
  seconds    = 11
  hosts      = 3
  seed       = 12
  members    = true
  exercises  = [1, 7]
  least_done = 0.2
}

plans {
  home       = 0
  settle_s   = 1
  node_units = 500
}

trouble "the limit is lowered" {
  at_s        = 2
  for_s       = 3
  plan        = "basic"
  limit_times = 0.2
}

trouble "limit and burst are raised" {
  at_s        = 6.5
  for_s       = 2
  plan        = "basic"
  limit_times = 2
  burst_times = 1.5
}

trouble "a host is killed" {
  at_s  = 4
  for_s = 1.5
  host  = "kill"
  hosts = [1]
}
