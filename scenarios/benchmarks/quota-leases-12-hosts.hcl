# Twelve hosts on loopback share one limit and lend each other quota. A third of the hosts crashes at once in a surge.

day {
  base       = "../quota-leases.hcl"
  seconds    = 10
  hosts      = 12
  seed       = 21
  members    = true
  exercises  = [1, 7]
  least_done = 0.3
}

plan "basic" {
  limit = 240
  burst = 160
  slack = 16
}

plan "premium" {
  reserve = 100
  weight  = 3
}

volume "school" {
  lun           = 1
  plan          = "basic"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2]
  hosts         = 12
  through       = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]
  reads         = "read"
  writes        = "write"
}

volume "museum" {
  lun           = 2
  plan          = "premium"
  blocks        = 65536
  extent_blocks = 64
  shards        = [0, 1, 2]
  hosts         = 12
  reads         = "read"
  writes        = "write"
}

traffic "classes" {
  volume  = "school"
  hosts   = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]
  lead    = 0.6
  rate    = 150
  reads   = 0.6
  blocks  = [1, 24]
  moves_s = 3
}

traffic "visitors" {
  volume = "museum"
  hosts  = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]
  rate   = 100
  blocks = [1, 24]
}

trouble "all ask more" {
  at_s  = 3
  for_s = 4
  times = 1.8
}

trouble "a third is killed" {
  at_s  = 4
  for_s = 2.5
  host  = "kill"
  hosts = [2, 5, 8, 11]
}
