# One of the loads that the planner's bound is held beside (docs/plans.md).

load {
  seconds = 20
  seed    = 7
}

flow "premium" {
  volume = "museum"
  rate   = 120
  writes = 0.3
  blocks = [1, 16]
  span   = 50000
  surges = [[6, 2, 3]]
}

flow "basic" {
  volume = "school"
  rate   = 30
  writes = 0.5
  blocks = [1, 16]
  span   = 50000
}
