# One host is paused for longer than it takes to declare it dead, and resumes. Then each host in turn is paused for a moment.

day {
  base           = "base.hcl"
  seconds        = 8
  hosts          = 12
  answer_slack_ms = 200
  seed           = 33
  members        = true
  sites          = 3
  exercises      = [1]
  settled_within = 30
  false_deaths   = 3
}

trouble "host 1 stands still" {
  at_s  = 1
  for_s = 4
  host  = "stop"
  hosts = [1]
}

trouble "each in turn" {
  at_s   = 6
  for_s  = 0.4
  step_s = 0.1
  host   = "stop"
  who    = ["hosts"]
}
