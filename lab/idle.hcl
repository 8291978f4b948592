# For `ironwind lab idle`: room for all, and what the system holds for one client bounded.
idle {
  connections  = 40000
  greeted_time = "60s"
  send_buffer  = "64KiB"
}
