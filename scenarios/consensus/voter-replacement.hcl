# A voter loses its disk under load, is removed from the voters, and is added again with its empty disk while operators continue.
# Then another voter crashes and stays away: the replaced voter must be part of the majority.

day {
  base              = "base.hcl"
  seconds           = 9
  hosts             = 5
  seed              = 30
  members           = true
  exercises         = [1, 7]
  operators         = 3
  operators_pause_s = 0.05
}

trouble "a lost disk" {
  at_s  = 1.5
  for_s = 0.3
  host  = "wipe"
  hosts = [1]
}

trouble "it is taken out" {
  at_s  = 3
  voter = "remove 1"
}

trouble "and added again" {
  at_s  = 4
  voter = "add 1"
}

trouble "another is gone" {
  at_s  = 5.5
  for_s = 3
  host  = "kill"
  hosts = [0]
}

trouble "the limit falls" {
  at_s        = 6.5
  for_s       = 1.5
  plan        = "basic"
  limit_times = 0.2
  ask         = 3
}
