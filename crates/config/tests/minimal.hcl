host {
  number = 0
  hosts = 1
  listen = "127.0.0.1:3260"
  node_list = "127.0.0.1:7000"
}
units {
  bytes = 4096
  most = 8
  mean = 2
}
stream "s" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}
plan "free" { }
volume "v" {
  lun = 0
  plan = "free"
  blocks = 1000
  extent_blocks = 64
  shards = [0]
  hosts = 1
  through = [0]
  reads = "s"
  writes = "s"
}
overrides {
  store = "store"
  admin = "admin"
}
membership {
  listen = "127.0.0.1:7946"
  fleet = "test"
  admit = ["10.0.0.0/8"]
}
agreement {
  voters = [0]
}
plans {
  node_units = 500
}
cold_nodes {
  safe_units = 100
  from = 0.1
  warm_s = 30
  window_s = 1
  multiple = 2
}
