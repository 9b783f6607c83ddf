# What many scenarios have in common: three plans, five traffic classes, four shards in two zones.

load {
  most_legs      = 4
  longest_wait_s = 1
  settle_s       = 0.4
}

units {
  bytes = 4096
  most  = 8
  mean  = 2
}

bounds {
  login_ms = 1000
}

further_legs {
  free     = 3
  share    = 0.25
  window_s = 5
}

cold_nodes {
  safe_units = 40
  from       = 0.2
  warm_s     = 3
  window_s   = 1
  multiple   = 2
}

plan "basic" {
  limit  = 60
  burst  = 60
  slack  = 8
  weight = 1
}

plan "standard" {
  reserve = 60
  weight  = 2
}

plan "premium" {
  reserve = 120
  weight  = 3
}

stream "track-read" {
  slo_ms    = 200
  expiry_ms = 1200
  effect    = "repeatable"
}

stream "track-write" {
  slo_ms    = 250
  expiry_ms = 1200
  effect    = "repeatable"
}

stream "tour-export" {
  slo_ms    = 800
  expiry_ms = 2000
  effect    = "repeatable"
}

stream "take-save" {
  slo_ms    = 250
  expiry_ms = 1200
  effect    = "keyed"
  group     = "zone"
  window_s  = 2
}

stream "log-append" {
  slo_ms    = 250
  expiry_ms = 1200
  effect    = "unrepeatable"
  in_order  = true
}

volume "museum" {
  lun               = 1
  plan              = "premium"
  blocks            = 65536
  extent_blocks     = 64
  shards            = [0, 1, 2, 3]
  hosts             = 2
  reads             = "track-read"
  writes            = "track-write"
  large_reads       = "tour-export"
  large_from_blocks = 48
}

volume "school" {
  lun           = 2
  plan          = "basic"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1]
  hosts         = 2
  reads         = "track-read"
  writes        = "track-write"
}

volume "studio" {
  lun           = 3
  plan          = "standard"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2, 3]
  hosts         = 2
  reads         = "track-read"
  writes        = "take-save"
}

volume "listening" {
  lun           = 4
  plan          = "standard"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2, 3]
  hosts         = 2
  reads         = "track-read"
  writes        = "log-append"
}

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

list {
  late_s = 0.1
}

traffic "visitors" {
  volume = "museum"
  hosts  = [0, 1]
  rate   = 80
  blocks = [1, 64]
}

traffic "classes" {
  volume  = "school"
  hosts   = [1, 0]
  rate    = 50
  reads   = 0.5
  blocks  = [1, 24]
  retries = 1
}

traffic "takes" {
  volume = "studio"
  hosts  = [0, 1]
  rate   = 40
  reads  = 0.4
  blocks = [1, 16]
}

traffic "logs" {
  volume      = "listening"
  hosts       = [1, 0]
  rate        = 40
  reads       = 0.3
  blocks      = [1, 8]
  span_blocks = 512
}
