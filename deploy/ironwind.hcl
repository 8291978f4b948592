# Operator settings for long-lived client connections, such as those of game servers. They are sized for a router
# configuration that allows 40,000 file descriptors (limits.sockets).
#
# The command `run` in balancer.toml does not pass a settings file, so there all limits have their defaults, which are
# derived from the router configuration. Validate changes with: ironwind check deploy/ironwind.hcl

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
