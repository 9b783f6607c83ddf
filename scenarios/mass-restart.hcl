# All nodes restart at once while the endpoint list is two seconds stale. Later one node goes silent without closing its
# connections, and the endpoint list fails. Hosts must not overload the nodes, which are all in slow start.

day {
  base      = "pool.hcl"
  seconds   = 8
  hosts     = 2
  seed      = 5
  exercises = [1, 2, 4, 6]
}

trouble "the list is stale" {
  at_s  = 0.8
  for_s = 3
  list  = "late 2"
}

trouble "all nodes restart" {
  at_s  = 1
  nodes = ["a", "b"]
  fault = "restart 0.5"
}

trouble "a node goes silent" {
  at_s  = 4.5
  for_s = 1.5
  nodes = ["a/1"]
  fault = "silent on"
}

trouble "it comes back cold" {
  at_s  = 6
  nodes = ["a/1"]
  fault = "restart 0.3"
}

trouble "the list fails" {
  at_s  = 5
  for_s = 1
  list  = "fails"
}
