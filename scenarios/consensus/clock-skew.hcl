# Clocks are wrong: a voter's wall clock is ten seconds behind, one learner's clock is off within the allowed drift, and
# another's runs 5% slow, so that its lease lasts longer. Both learners are then partitioned from the voters while a limit falls.

day {
  base              = "base.hcl"
  seconds           = 9
  hosts             = 5
  seed              = 28
  members           = true
  exercises         = [1, 7]
  operators         = 2
  operators_pause_s = 0.05
}

trouble "ten seconds behind" {
  at_s        = 1.5
  for_s       = 0.3
  host        = "clock"
  clock_off_s = -10
  hosts       = [1]
}

trouble "within the drift" {
  at_s       = 2.5
  for_s      = 0.3
  host       = "clock"
  clock_pace = 0.9992
  hosts      = [3]
}

trouble "beyond it" {
  at_s       = 3.5
  for_s      = 0.3
  host       = "clock"
  clock_pace = 0.95
  hosts      = [4]
}

trouble "cut off" {
  at_s  = 5
  for_s = 2.5
  way   = "cut"
  apart = [["host/3", "host/4"], ["host/0", "host/1", "host/2"]]
}

trouble "the limit falls" {
  at_s        = 5.3
  for_s       = 3
  plan        = "basic"
  limit_times = 0.1
  ask         = 0
}
