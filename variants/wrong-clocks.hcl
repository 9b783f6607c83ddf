# Hosts whose wall clocks are off by up to two minutes.
change {
  wall_off_s = 120
}
