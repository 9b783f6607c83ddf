# A voter and a learner are paused past their leases while a limit falls to a tenth and rises again. When they resume, they must
# not use the version that they had.

day {
  base       = "base.hcl"
  seconds    = 8
  hosts      = 5
  seed       = 22
  members    = true
  exercises  = [1, 7]
  least_done = 0.2
  # Bytes that arrived during the pause are read when the host resumes.
  answer_slack_ms = 200
}

trouble "they stand still" {
  at_s  = 2
  for_s = 2.5
  host  = "stop"
  hosts = [1, 4]
}

trouble "the limit falls to a tenth" {
  at_s        = 2.3
  for_s       = 3.5
  plan        = "basic"
  limit_times = 0.1
  ask         = 3
}
