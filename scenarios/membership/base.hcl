# What the membership scenarios have in common: light traffic through two hosts, and nodes with ample capacity.

load {
  longest_wait_s = 0.5
  settle_s       = 0.4
}

units {
  bytes = 4096
  most  = 8
  mean  = 2
}

plan "premium" {
  reserve = 100
}

stream "read" {
  slo_ms    = 300
  expiry_ms = 1200
  effect    = "repeatable"
}

stream "write" {
  slo_ms    = 300
  expiry_ms = 1200
  effect    = "unrepeatable"
  in_order  = true
}

volume "museum" {
  lun           = 1
  plan          = "premium"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1]
  hosts         = 2
  reads         = "read"
  writes        = "write"
}

nodes "a" {
  shards  = [0, 1]
  cores   = 2
  unit_ms = 2
}

list {
  late_s = 0.1
}

traffic "visitors" {
  volume = "museum"
  hosts  = [0, 1]
  rate   = 40
  blocks = [1, 16]
}
