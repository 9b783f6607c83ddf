# Three of five hosts receive no updates of the endpoint list while nodes drain and return, but can still reach their peers.
# Half a second after any host was notified of a drain, no host may send an attempt to that node.

day {
  base           = "base.hcl"
  seconds        = 8
  hosts          = 5
  seed           = 31
  members        = true
  exercises      = [1, 3]
  list_spreads_s = 0.5
}

nodes "a" {
  shards  = [0, 1, 2]
  cores   = 2
  unit_ms = 2
}

nodes "b" {
  shards  = [0, 1, 2]
  zone    = 1
  cores   = 2
  unit_ms = 2
}

trouble "three do not hear the list" {
  at_s    = 1.5
  for_s   = 5
  way     = "cut"
  from    = ["list"]
  to      = ["host/2", "host/3", "host/4"]
  one_way = true
}

trouble "a node drains" {
  at_s  = 2
  for_s = 2
  drain = ["a/0"]
}

trouble "two more" {
  at_s  = 4.5
  for_s = 1.5
  drain = ["a/1", "b/2"]
}
