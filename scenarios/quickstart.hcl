# Two hosts and four nodes serve two volumes. One node drains and returns, and later another node answers half of its
# attempts with errors.

day {
  seconds    = 4
  hosts      = 2
  seed       = 1
  exercises  = [1, 3, 6, 7]
  least_done = 0.5
}

load {
  most_legs      = 4
  longest_wait_s = 1
}

units {
  bytes = 4096
  most  = 8
  mean  = 2
}

further_legs {
  free     = 3
  share    = 0.25
  window_s = 5
}

plan "basic" {
  limit  = 60
  burst  = 60
  slack  = 8
  weight = 1
}

plan "premium" {
  reserve = 100
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

volume "museum" {
  lun           = 1
  plan          = "premium"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2, 3]
  hosts         = 2
  reads         = "track-read"
  writes        = "track-write"
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

nodes "a" {
  shards  = [0, 1, 2, 3]
  cores   = 2
  unit_ms = 2
}

list {
  late_s = 0.1
}

traffic "visitors" {
  volume = "museum"
  hosts  = [0, 1]
  rate   = 150
  blocks = [1, 24]
}

traffic "classes" {
  volume  = "school"
  hosts   = [1, 0]
  rate    = 60
  reads   = 0.5
  blocks  = [1, 16]
  retries = 1
}

trouble "node drains" {
  at_s  = 1
  for_s = 1.2
  drain = ["a/2"]
}

trouble "errors" {
  at_s  = 2.4
  for_s = 1
  nodes = ["a/0"]
  fault = "errors 0.5"
}
