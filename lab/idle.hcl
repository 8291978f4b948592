# Operator settings for `ironwind lab idle`: the connection limit admits all clients of the benchmark, and a fixed send
# buffer bounds the kernel memory of each client.
idle {
  connections  = 40000
  greeted_time = "60s"
  send_buffer  = "64KiB"
}
