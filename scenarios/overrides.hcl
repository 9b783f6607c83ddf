# Operators' overrides with an end: one on a node that leaves the endpoint list and returns while a host restarts, one that ends
# during a surge, half the weight for a zone, pins that must yield to a drain and to a removed node, and one that is refused because
# it would leave a shard without a node.

day {
  base      = "pool.hcl"
  seconds   = 8
  hosts     = 2
  seed      = 9
  exercises = [1, 3, 4, 5, 7]
}

# Each shard has two nodes, so that one of them may be taken out; the one listed last serves while it is ready.
nodes "a" {
  shards  = [0, 1]
  zone    = 0
  cores   = 2
  unit_ms = 2
  warm_s  = 3
  fall_s  = 1
}

nodes "b" {
  shards  = [2, 3]
  zone    = 1
  cores   = 2
  unit_ms = 2
  warm_s  = 3
  fall_s  = 1
}

nodes "c" {
  shards  = [0, 1, 2, 3]
  zone    = 2
  cores   = 2
  unit_ms = 2
  warm_s  = 3
  fall_s  = 1
}

trouble "a node is slow, so that its queue is long" {
  at_s  = 0.3
  for_s = 1.5
  nodes = ["c/0"]
  fault = "slow 4"
}

trouble "it is taken out of service" {
  at_s  = 0.8
  for_s = 3
  nodes = ["c/0"]
  order = "out"
}

trouble "it leaves the list and returns" {
  at_s  = 1.2
  for_s = 1
  drain = ["c/0"]
}

trouble "a host restarts meanwhile" {
  at_s  = 1.8
  for_s = 0.4
  hosts = [0]
  host  = "kill"
}

trouble "the other of its shard must stay" {
  at_s    = 2.6
  for_s   = 1
  nodes   = ["a/0"]
  order   = "out"
  refused = true
}

trouble "a surge while the order ends" {
  at_s  = 3
  for_s = 3
  times = 3
}

trouble "a zone by half" {
  at_s   = 3.2
  for_s  = 2
  order  = "weight 0.5"
  target = "zone:2"
}

trouble "a pin" {
  at_s  = 4
  for_s = 3
  nodes = ["c/2", "c/3"]
  order = "pin"
}

trouble "does not hold against a drain" {
  at_s  = 4.5
  for_s = 1
  drain = ["c/2"]
}

trouble "nor against gone" {
  at_s  = 5
  for_s = 0.5
  nodes = ["c/3"]
  fault = "deploy"
}
