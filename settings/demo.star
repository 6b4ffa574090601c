# Settings of the demo: two model routes and two engine kinds.
listen(chat = "127.0.0.1:8080")
node(name = "edge0", zone = "ktm-dc1")

kind(name = "prefill", role = "read", memory = 200000)
kind(name = "decode", role = "write", memory = 150000)

route(name = "clip-summary", effect = "retriable", value = 1, first_token_target = "1s",
      target_per_1000_tokens = "40ms", route_timeout = "4s")
route(name = "fan-alert", effect = "non-retriable", value = 5, first_token_target = "800ms",
      target_per_1000_tokens = "60ms", route_timeout = "3s")

rules(drain_grace = "250ms", pin = "1s", cold = "10s", cold_share = 0.3, fall_multiple = 3, fall_window = "1s")
roster(file = "roster.json")
