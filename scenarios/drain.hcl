# Nodes drain while requests are queued in them, in flight, and behind a connection whose node does not read. A host that goes on
# sending after it was notified breaks rule 3: nothing new may reach a draining node later than 250 ms after the notification.

day {
  base      = "pool.hcl"
  seconds   = 4
  hosts     = 2
  seed      = 2
  exercises = [1, 2, 3]
}

trouble "a node is slow, so that its queue is long" {
  at_s  = 0.5
  for_s = 2
  nodes = ["a/0", "b/2"]
  fault = "slow 6"
}

trouble "a node stops reading" {
  at_s  = 0.9
  for_s = 1.2
  nodes = ["a/1"]
  fault = "deaf on"
}

trouble "three nodes drain" {
  at_s  = 1.2
  for_s = 1.3
  drain = ["a", "b/2"]
}
