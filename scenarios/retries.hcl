# Attempts fail: nodes answer with errors, reset connections in the middle of an answer, and refuse connections. A retry may
# start only after the failed attempt has ended, and requests that are idempotent by key or not idempotent are retried only where
# no effect can happen twice.

day {
  base      = "pool.hcl"
  seconds   = 5
  hosts     = 2
  seed      = 3
  exercises = [1, 2, 5, 6, 7]
}

trouble "errors" {
  at_s  = 0.5
  for_s = 1.5
  nodes = ["a/0", "b/3"]
  fault = "errors 0.4"
}

trouble "answers cut by resets" {
  at_s  = 1.5
  for_s = 1.5
  nodes = ["a/1", "b/2"]
  fault = "reset-answers 0.2"
}

trouble "refused connections" {
  at_s  = 3
  nodes = ["a/0"]
  fault = "restart 0.4"
}

trouble "all links of a node are reset" {
  at_s  = 3.6
  nodes = ["b"]
  fault = "reset"
}
