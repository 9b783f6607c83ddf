# Hosts restart with wrong clocks or old disks: a wall clock ten seconds behind, the same host again with an empty disk, another
# host with an old copy of its disk, and clocks that run fast beyond and within the allowed drift. Generations must not go back.

day {
  base           = "base.hcl"
  seconds        = 9
  hosts          = 12
  seed           = 40
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "ten seconds behind" {
  at_s        = 1
  for_s       = 0.5
  host        = "clock"
  clock_off_s = -10
  hosts       = [4]
}

trouble "its disk is lost as well" {
  at_s        = 3
  for_s       = 0.5
  host        = "wipe"
  hosts       = [4]
}

trouble "an old disk comes back" {
  at_s  = 4
  for_s = 1
  host  = "old-disk"
  hosts = [6]
}

trouble "clocks run a twentieth too fast" {
  at_s       = 5.5
  for_s      = 0.5
  host       = "clock"
  clock_pace = 1.05
  hosts      = [8]
}

trouble "clocks run within the drift that is told" {
  at_s       = 6.5
  for_s      = 0.5
  host       = "clock"
  clock_pace = 1.0008
  hosts      = [9]
}
