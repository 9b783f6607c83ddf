# Three of five hosts do not hear the list while a node drains and comes back, and later while two more do: what the other two were told
# holds for all within half a second. The list's service is silent to them, not their fellows.

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
