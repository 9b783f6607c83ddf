# Three operators read and change plans at all hosts while one voter's datagrams are lost in one direction, another voter is
# paused, and a third crashes. The operators' calls must be linearizable.

day {
  base              = "base.hcl"
  seconds           = 8
  hosts             = 5
  seed              = 24
  members           = true
  exercises         = [1]
  operators         = 3
  operators_pause_s = 0.05
  answer_slack_ms   = 200
}

trouble "voter 0 is heard by nobody" {
  at_s    = 1.5
  for_s   = 1.5
  way     = "cut"
  from    = ["host/0"]
  to      = ["hosts"]
  one_way = true
}

trouble "voter 1 stands still" {
  at_s  = 3.5
  for_s = 1.5
  host  = "stop"
  hosts = [1]
}

trouble "voter 2 is killed" {
  at_s  = 5.5
  for_s = 0.5
  host  = "kill"
  hosts = [2]
}
