# Measures how a node returns to service during a surge. In recovery-after-override*.hcl an operator's override takes the node out
# and its recovery ramp follows; in recovery-after-drain*.hcl the endpoint list drains it and it is ready at once. In the files
# that end in still-slow.hcl the node is still slow when it returns. All else is the same.

day {
  base    = "../pool.hcl"
  seconds = 14
  hosts   = 4
  seed    = 21
}

traffic "visitors" {
  volume   = "museum"
  hosts    = [0, 1]
  sessions = 4
  rate     = 160
  blocks   = [1, 64]
}

traffic "takes" {
  volume   = "studio"
  hosts    = [2, 3]
  sessions = 4
  rate     = 160
  reads    = 0.4
  blocks   = [1, 32]
}

trouble "surge" {
  at_s  = 4
  for_s = 9
  times = 2.5
}

trouble "out and back" {
  at_s  = 2
  for_s = 4
  nodes = ["a/0"]
  order = "out"
  force = true
}
