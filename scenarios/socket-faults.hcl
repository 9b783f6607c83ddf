# Faults that only real sockets have, several at once: a node that writes single bytes, bytes that are no frame, frames that are
# cut off, a peer that stops reading, a gap in the endpoint list's updates, and a list service that goes silent.

day {
  base      = "pool.hcl"
  seconds   = 5
  hosts     = 2
  seed      = 8
  exercises = [1, 2, 5]
}

bounds {
  login_ms        = 1000
  link_silence_ms = 600
}

trouble "bytes one at a time" {
  at_s  = 0.5
  for_s = 3
  nodes = ["a/0"]
  fault = "drip on"
}

trouble "bytes that are no frame" {
  at_s  = 1
  for_s = 1
  nodes = ["a/1"]
  fault = "garbage 0.05"
}

trouble "frames cut short" {
  at_s  = 1.5
  for_s = 1.5
  nodes = ["b/2"]
  fault = "cut-answers 0.05"
}

trouble "a peer that stops reading" {
  at_s  = 2.5
  for_s = 1.5
  nodes = ["b/3"]
  fault = "deaf on"
}

trouble "a gap in the list" {
  at_s = 3
  list = "skip 1"
}

trouble "a node drains" {
  at_s  = 3.2
  for_s = 0.5
  drain = ["a/1", "b/2"]
}

trouble "the list goes silent" {
  at_s  = 3.8
  for_s = 1
  list  = "silent"
}
