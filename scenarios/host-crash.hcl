# Hosts crash and restart under load, one of them while a node is warming up. A restarted host must neither grant a volume a
# second burst nor overload the node in slow start. It owes no answers for requests of the crashed process.

day {
  base      = "pool.hcl"
  seconds   = 6
  hosts     = 2
  seed      = 4
  exercises = [1, 4, 5, 7]
}

trouble "a surge of the limited plan" {
  at_s    = 0.5
  for_s   = 5
  traffic = ["classes"]
  times   = 4
}

trouble "host 0 dies" {
  at_s  = 1
  for_s = 0.6
  hosts = [0]
  host  = "kill"
}

trouble "a node restarts" {
  at_s  = 2
  nodes = ["a/0"]
  fault = "restart 0.3"
}

trouble "host 1 dies while it is cold" {
  at_s  = 2.8
  for_s = 0.3
  hosts = [1]
  host  = "kill"
}

trouble "host 0 dies again" {
  at_s  = 4
  for_s = 0.2
  hosts = [0]
  host  = "kill"
}
