# Each voter in turn is paused for longer than its lease, so a leader resumes that still believes it leads. A limit is lowered
# right after the last voter resumes; no host may use the old limit under an expired lease.

day {
  base              = "base.hcl"
  seconds           = 10
  hosts             = 5
  seed              = 26
  members           = true
  exercises         = [1, 7]
  operators         = 2
  operators_pause_s = 0.05
  answer_slack_ms   = 200
}

trouble "each voter stands still" {
  at_s   = 1.5
  for_s  = 1.6
  step_s = 2
  host   = "stop"
  hosts  = [0, 1, 2]
}

trouble "the limit falls" {
  at_s        = 7.4
  for_s       = 1.5
  plan        = "basic"
  limit_times = 0.2
  ask         = 4
}
