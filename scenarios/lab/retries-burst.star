# The request rate triples for ten seconds; clients retry up to four times. Shows whether the fleet recovers.
day(length = "90s", rate = 12, retries = 4, seeds = 8)
trouble(kind = "burst", at = "20s", length = "10s", part = 3)

arm(name = "any retries")
arm(name = "no retries", retries = 0)
arm(name = "budget 0.05", retry_share = 0.05)
arm(name = "budget 0.1", retry_share = 0.1)
arm(name = "budget 0.2", retry_share = 0.2)
arm(name = "budget 0.4", retry_share = 0.4)
