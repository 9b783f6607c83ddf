# A mixed load of two plans with a surge, a busiest host that moves, and large reads now and then.

load {
  seconds = 8
  seed    = 4
}

flow "premium" {
  volume  = "museum"
  rate    = 300
  writes  = 0.3
  blocks  = [1, 16]
  large   = [10, 48]
  span    = 50000
  surges  = [[3, 2, 3]]
  busiest = [0.3, 1]
}

flow "basic" {
  volume = "school"
  rate   = 40
  writes = 0.5
  blocks = [1, 16]
  span   = 50000
}
