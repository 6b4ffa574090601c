# Template for the settings of a planner. Paths are relative to the folder of this file.
planner(listen = "127.0.0.1:9090", store = "planner.db", roster = "roster.json")

kind(name = "prefill", role = "read", memory = 200000)
kind(name = "decode", role = "write", memory = 150000)
pair(read = "prefill", write = "decode")

value(route = "clip-summary", value = 1)
value(route = "fan-alert", value = 5)

changes(drain_time = "20s", load_time = "2m", cold = "12s", rest = "30s", floor = 1, explain_only = True)
