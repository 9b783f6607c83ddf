host {
  number = 1
  hosts = 4
  listen = "127.0.0.1:3260"
  listen_nbd = "127.0.0.1:10809"
  node_list = "127.0.0.1:7000"
  target = "iqn.2026-12.org.example:pool"
  tick_ms = 1
  answer_lead_ms = 5
  seed = 7
  saved_list = "list.saved"
  site = 3
}
bounds {
  sessions = 100
  window = 64
  transfers = 2000
  bytes = 1048576
  command_bytes = 65536
  first_burst = 8192
  segment = 16384
  burst = 32768
  parts = 8
  nodes = 50
  links = 3
  link_queue = 32
  link_bytes = 8192
  connect_ms = 200
  client_stall_ms = 1000
  link_silence_ms = 2000
  login_ms = 3000
  drain_ms = 4000
}
units {
  bytes = 4096
  most = 8
  mean = 2
}
load {
  most_legs = 5
  longest_wait_s = 3
  settle_s = 0.5
  drain_grace_ms = 300
  tells_others = false
}
further_legs {
  free = 10
  share = 0.2
  window_s = 5
}
cold_nodes {
  safe_units = 100
  from = 0.1
  warm_s = 30
  window_s = 1
  multiple = 2
  saved = 0.5
}
overrides {
  store = "store.redb"
  admin = "admin.sock"
  most = 100
  zone_part = 0.25
}
membership {
  listen = "127.0.0.1:7946"
  advertise = "10.0.0.1:7946"
  fleet = "example"
  seeds = ["10.0.0.2:7946"]
  admit = ["10.0.0.0/8"]
  period_ms = 200
  term_s = 1
  leave_s = 30
  drift = 0.002
  left_file = "left"
}
agreement {
  voters = [0, 1, 2]
  lease_s = 2
  beat_ms = 50
  patience_ms = 300
  drift = 0.003
}
plans {
  home = 2
  settle_s = 4
  node_units = 500
  bears = { "1" = 250 }
}
stream "small" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "keyed"
  group = "zone"
  window_s = 60
  in_order = true
  order_blocks = 16
}
stream "large" {
  slo_ms = 400
  expiry_ms = 2000
  effect = "repeatable"
}
stream "once" {
  slo_ms = 300
  expiry_ms = 1500
  effect = "unrepeatable"
}
plan "basic" {
  limit = 200
  burst = 64
  slack = 8
  reserve = 50
  weight = 2
  floor = 20
}
plan "free" { }
volume "v" {
  lun = 1
  plan = "basic"
  blocks = 1000
  block_bytes = 4096
  extent_blocks = 64
  shards = [0, 1]
  hosts = 2
  through = [0, 1]
  reads = "small"
  writes = "once"
  large_reads = "large"
  large_from_blocks = 32
}
volume "w" {
  lun = 2
  plan = "free"
  blocks = 10
  extent_blocks = 4
  shards = [2]
  hosts = 4
  through = [0, 1, 2, 3]
  reads = "large"
  writes = "once"
}
