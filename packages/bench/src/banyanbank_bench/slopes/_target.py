"""Size that the design is built towards."""

DAEMONS = 360
SERVERS = 600
REQUESTS_PER_S = 5_800
TRAINERS = 2
SAMPLES = 1_024
DOMAINS = 6
RESTARTS_PER_DAY = 110
VOTERS = 5
ACCOUNTS = 40
"""Client accounts; the target names none."""
KEYS = 1_000
"""Keys in force; the target names none."""
ANNOUNCE_S = 0.5
"""Seconds between announcements of one server, as the stand-ins do."""
LIMIT_S = 1.0
"""Seconds between requests for shares of limits, as the daemon does."""
TICK_S = 0.02
"""Seconds between ticks of the leader."""
SCHEDULE_S = 1.0
"""Seconds between decisions of the sample scheduler at that many samples."""
WEIGHT_DECIDE_S = 0.1
"""Seconds between decisions about weights, as the daemon does."""
CPU_US_PER_S = 0.02 * 1e6
"""Processor time for control of a daemon, microseconds a second."""
BYTES_PER_S = 19_000
"""Bytes for control of a daemon each second."""
MEMORY_BYTES = 128_000_000
"""Memory for control of a daemon."""
