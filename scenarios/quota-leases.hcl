# Three hosts share a volume's limit and lend each other quota. Most requests come through one host, and every three seconds
# through another one; one host crashes and restarts. All hosts together must never pass the limit (rule 7).

day {
  seconds    = 9
  hosts      = 3
  seed       = 11
  members    = true
  exercises  = [1, 7]
  least_done = 0.3
}

load {
  longest_wait_s = 0.5
  settle_s       = 0.4
}

units {
  bytes = 4096
  most  = 8
  mean  = 2
}

plan "basic" {
  limit = 90
  burst = 60
  slack = 8
}

plan "premium" {
  reserve = 100
  weight  = 3
}

stream "read" {
  slo_ms    = 300
  expiry_ms = 1200
  effect    = "repeatable"
}

stream "write" {
  slo_ms    = 300
  expiry_ms = 1200
  effect    = "repeatable"
}

volume "school" {
  lun           = 1
  plan          = "basic"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2]
  hosts         = 3
  through       = [0, 1, 2]
  reads         = "read"
  writes        = "write"
}

volume "museum" {
  lun           = 2
  plan          = "premium"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2]
  hosts         = 3
  through       = [0, 1, 2]
  reads         = "read"
  writes        = "write"
}

nodes "a" {
  shards  = [0, 1, 2]
  cores   = 2
  unit_ms = 2
}

list {
  late_s = 0.1
}

traffic "classes" {
  volume  = "school"
  hosts   = [0, 1, 2]
  lead    = 0.9
  rate    = 70
  reads   = 0.6
  blocks  = [1, 24]
  moves_s = 3
}

traffic "visitors" {
  volume = "museum"
  hosts  = [0, 1, 2]
  rate   = 60
  blocks = [1, 24]
}

trouble "a host is killed" {
  at_s  = 4
  for_s = 1.5
  host  = "kill"
  hosts = [1]
}
