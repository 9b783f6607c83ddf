# One voter restarts with an old copy of its disk and another with an empty disk. Neither may vote as before, and the third voter
# alone is no majority. Fallback limits apply meanwhile, and no committed change may be lost.

day {
  base              = "base.hcl"
  seconds           = 9
  hosts             = 5
  seed              = 29
  members           = true
  exercises         = [1, 7]
  operators         = 2
  operators_pause_s = 0.05
}

trouble "an old disk" {
  at_s  = 1.5
  for_s = 1.5
  host  = "old-disk"
  hosts = [2]
}

trouble "a lost disk" {
  at_s  = 4.5
  for_s = 0.3
  host  = "wipe"
  hosts = [1]
}
