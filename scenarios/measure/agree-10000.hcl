# Some ten thousand changes by eight operators, of which entries are folded several times; then a host joins that has nothing. Its
# log tells when it listens, and when what it has counts.

day {
  base              = "../agree/base.hcl"
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
