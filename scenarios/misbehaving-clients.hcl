# Clients close their connections in the middle of writes, abort commands, and violate the protocol with garbage, over-long
# frames, half a frame, too many commands, or silence. Each gets one error, and other clients are served as before.

day {
  base       = "pool.hcl"
  seconds    = 4
  hosts      = 2
  seed       = 6
  exercises  = [1]
  least_done = 0.5
}

traffic "visitors" {
  volume  = "museum"
  hosts   = [0, 1]
  rate    = 100
  blocks  = [1, 64]
  digests = true
}

traffic "restless" {
  volume = "museum"
  hosts  = [1, 0]
  rate   = 60
  reads  = 0.3
  blocks = [1, 200]
  aborts = 0.1
  leaves = 0.1
}

trouble "garbage" {
  at_s   = 0.5
  hosts  = [0, 1]
  client = "garbage"
}

trouble "an over-long frame" {
  at_s   = 1
  hosts  = [0, 1]
  client = "over-long"
}

trouble "a command past the window" {
  at_s   = 1.5
  hosts  = [0, 1]
  client = "past-window"
}

trouble "half a frame" {
  at_s   = 2
  hosts  = [0]
  client = "half-frame"
}

trouble "a client that says nothing" {
  at_s   = 2
  hosts  = [1]
  client = "silent"
}
