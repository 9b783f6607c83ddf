# One of the loads that the planner's bound is held beside (docs/plans.md).

load {
  seconds = 20
  seed    = 7
}

flow "premium" {
  volume = "museum"
  rate   = 150
  writes = 0.8
  blocks = [1, 16]
  span   = 50000
}

flow "basic" {
  volume = "school"
  rate   = 40
  writes = 0.5
  blocks = [1, 16]
  span   = 50000
}
