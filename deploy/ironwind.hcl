# For a router whose start facts allow 40,000 descriptors.
#
# Limits of an installation with lasting connections, such as game servers hold. The platform's line `run` names no such
# file, and then everything follows from the router's start facts. Check it with: ironwind check deploy/ironwind.hcl

log {
  form = "pairs"
}

idle {
  connections    = 18000
  per_address    = 4000
  new_per_second = 2000
  new_at_once    = 500

  startup_time = "2s"
  message_time = "2s"
  greeted_time = "10s"
  served_time  = "0s"
  crowded_time = "10m"
  crowded_part = 0.9

  memory           = "48MiB"
  owed_each        = "256KiB"
  owed_all         = "16MiB"
  slow_reader_time = "3s"

  open_rpcs   = 1024
  turn_time   = "1ms"
  crowd_time  = "250ms"
  active_time = "2s"

  keepalive   = "60s"
  send_buffer = "64KiB"
}
