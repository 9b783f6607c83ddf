# Hosts are isolated from their clients, from the endpoint list and from nodes, one path after the other, while a node drains.
# Then connections are reset, one host is paused and the other shuts down gracefully.

day {
  base      = "../pool.hcl"
  seconds   = 9
  hosts     = 2
  answer_slack_ms = 200
  seed      = 41
  exercises = [1, 3, 5, 7]
}

trouble "host 0 is cut off from its clients" {
  at_s  = 1
  for_s = 1.5
  way   = "cut"
  from  = ["clients"]
  to    = ["host/0"]
}

trouble "host 1 does not hear the list" {
  at_s    = 2
  for_s   = 2
  way     = "cut"
  from    = ["list"]
  to      = ["host/1"]
  one_way = true
}

trouble "a node drains meanwhile" {
  at_s  = 2.5
  for_s = 2.5
  drain = ["a/1"]
}

trouble "host 0 does not reach a node" {
  at_s  = 4
  for_s = 1.2
  way   = "cut"
  from  = ["host/0"]
  to    = ["nodes/a/0"]
}

trouble "no answer comes from the nodes" {
  at_s    = 5.5
  for_s   = 0.6
  way     = "cut"
  from    = ["nodes"]
  to      = ["host/1"]
  one_way = true
}

trouble "connections are reset" {
  at_s  = 6.5
  for_s = 0.3
  way   = "reset"
  from  = ["hosts"]
  to    = ["nodes"]
}

trouble "host 0 stands still" {
  at_s  = 7
  for_s = 1
  host  = "stop"
  hosts = [0]
}

trouble "host 1 ends in order" {
  at_s  = 7
  for_s = 1
  host  = "term"
  hosts = [1]
}
