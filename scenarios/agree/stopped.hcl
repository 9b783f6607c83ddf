# Two hosts stand still past their leases, a voter and one that only follows, while a limit falls and rises again; what they
# had counts no more when they go on.

day {
  base       = "base.hcl"
  seconds    = 8
  hosts      = 5
  seed       = 22
  members    = true
  exercises  = [1, 7]
  least_done = 0.2
  # What lay in sockets meanwhile is read at once.
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
