# What the consensus scenarios have in common: five hosts, three of which are voters; a limited volume whose demand is above its
# limit, and a volume without a limit.

load {
  longest_wait_s = 0.5
  settle_s       = 0.4
}

units {
  bytes = 4096
  most  = 8
  mean  = 2
}

plans {
  node_units = 500
}

agreement {
  voters      = [0, 1, 2]
  lease_s     = 1
  beat_ms     = 40
  patience_ms = 250
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
  hosts         = 5
  through       = [0, 1, 2, 3, 4]
  reads         = "read"
  writes        = "write"
}

volume "museum" {
  lun           = 2
  plan          = "premium"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2]
  hosts         = 5
  through       = [0, 1, 2, 3, 4]
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
  volume = "school"
  hosts  = [0, 1, 2, 3, 4]
  lead   = 0.2
  rate   = 80
  reads  = 0.6
  blocks = [1, 24]
}

traffic "visitors" {
  volume = "museum"
  hosts  = [0, 1, 2, 3, 4]
  lead   = 0.2
  rate   = 60
  blocks = [1, 16]
}
