# A node pauses, another goes silent, answers are cut off and attempts fail, while clients abort requests and deadlines pass.
# Requests of one order key must still run one at a time, in the order in which their host received them (rule 5).

day {
  base      = "pool.hcl"
  seconds   = 6
  hosts     = 2
  seed      = 7
  exercises = [1, 2, 5]
}

traffic "logs" {
  volume      = "listening"
  hosts       = [1, 0]
  lead        = 0.5
  rate        = 120
  reads       = 0.1
  blocks      = [1, 4]
  span_blocks = 512
  expiry_ms   = 500
  aborts      = 0.03
}

trouble "a node stands still" {
  at_s  = 1
  nodes = ["a/0"]
  fault = "pause 0.7"
}

trouble "a node goes silent" {
  at_s  = 2
  for_s = 1
  nodes = ["b/2"]
  fault = "silent on"
}

trouble "answers are cut short" {
  at_s  = 3.5
  for_s = 1
  nodes = ["a/1"]
  fault = "cut-answers 0.1"
}

trouble "errors" {
  at_s  = 4
  for_s = 1
  nodes = ["b/3"]
  fault = "errors 0.3"
}
