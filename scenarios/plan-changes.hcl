# A plan changes under load: its limit falls to a fifth while clients demand far more, doubles later, and is set back. A host that
# crashes during the first change must have the newest version before it accepts clients again. All hosts together must stay within the
# limits that count at each moment (rule 7).

day {
  base       = "quota-leases.hcl"
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
