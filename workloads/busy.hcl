# One of the loads that the planner's bound is held beside (docs/plans.md).

load {
  seconds = 20
  seed    = 7
}

flow "premium" {
  volume = "museum"
  rate   = 300
  writes = 0.3
  blocks = [1, 16]
  span   = 50000
}

flow "basic" {
  volume = "school"
  rate   = 60
  writes = 0.5
  blocks = [1, 16]
  span   = 50000
}
