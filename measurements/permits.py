"""Cost of permits for endpoints with a rate limit, at the leader.

python -m measurements.permits
"""

import sys
import time

from banyanbank_node import _messages

from tests.node import test_permits

CALLS = 20_000
ENTRIES = 360
ENDPOINTS = 3
RATE_PER_S = 25.0


def main() -> None:
    """Prints bytes and processor time of one permit call."""
    names = [f"e{number}" for number in range(ENDPOINTS)]
    cluster = test_permits.Cluster(ENTRIES, *names)
    for number in range(ENDPOINTS):
        cluster.observe(number, RATE_PER_S)
    limits = cluster.limits.known.all()
    req = _messages.PermitRequest(
        tuple(target.endpoint for target in cluster.targets), limits
    )
    data = _messages.CODEC.encode(req)
    answer = _messages.CODEC.encode(_messages.PermitAnswer("e1", 0.0))
    began_at = time.process_time()
    for _ in range(CALLS):
        cluster.clock.advance(0.01)
        cluster.answer_permit_call(data)
    took_s = time.process_time() - began_at
    part = _messages.CODEC.encode(_messages.LimitsPart(limits[:1] * 600))
    sys.stdout.write(
        f"request {len(data)} B, answer {len(answer)} B, "
        f"{1e6 * took_s / CALLS:.0f} us a call at the leader; "
        f"600 limits {len(part)} B\n"
    )


if __name__ == "__main__":
    main()
