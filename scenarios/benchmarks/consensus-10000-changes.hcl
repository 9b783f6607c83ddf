# Measures a late join: eight operators make some ten thousand changes, whose log is compacted several times; then a host with an
# empty store joins. Its log has the time at which it listens, and the time at which it has a lease.

day {
  base              = "../consensus/base.hcl"
  seconds           = 40
  hosts             = 5
  seed              = 32
  members           = true
  operators         = 8
  operators_pause_s = 0.0005
}

trouble "a host joins late" {
  at_s  = 0
  for_s = 36
  host  = "late"
  hosts = [4]
}
