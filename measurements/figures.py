"""Cost of samples and figures of shared endpoints, at the leader.

python -m measurements.figures
"""

import sys
import time
import typing

import banyanbank_gateway as gateway
from banyanbank_node import _messages

from tests.gateway import samples

ROUNDS = 20_000
ENDPOINTS = 10


def _measure_us(action: typing.Callable[[], object]) -> float:
    began_at = time.process_time()
    for _ in range(ROUNDS):
        action()
    return 1e6 * (time.process_time() - began_at) / ROUNDS


def _make_poll(successes: int) -> _messages.SyncRequest:
    log = gateway.SampleLog()
    for number in range(successes):
        target = samples.make_announcement(f"endpoint-{number}")
        log.record_success(target, "interactive", 0.024)
    return _messages.SyncRequest(
        "entry", 1, "leader/1", 1, (), figures_revision=2, samples=log.take()
    )


def main() -> None:
    """Prints bytes and processor time of polls and computations."""
    for successes in (0, 1, 8):
        req = _make_poll(successes)
        data = _messages.CODEC.encode(req)
        collector = gateway.FigureCollector()
        decode_us = _measure_us(lambda data=data: _messages.CODEC.decode(data))
        add_us = _measure_us(
            lambda req=req, collector=collector: collector.add(
                req.entry, req.samples, 1.0
            )
        )
        sys.stdout.write(
            f"poll with {successes} samples: {len(data)} B, decoded in "
            f"{decode_us:.0f} us, added in {add_us:.0f} us\n"
        )
    collector = gateway.FigureCollector()
    now = 0.0
    for entry in range(65):
        collector.add(f"entry-{entry}", _make_poll(ENDPOINTS).samples, now)
    began_at = time.process_time()
    for _ in range(1000):
        now += 0.25
        collector.add("entry-1", _make_poll(ENDPOINTS).samples, now)
        collector.find_figures(now)
    took_us = 1e6 * (time.process_time() - began_at) / 1000
    figures = tuple(
        gateway.EndpointFigure(target.endpoint, target.born_ms, 1.59)
        for target in (
            samples.make_announcement(f"endpoint-{number}")
            for number in range(ENDPOINTS)
        )
    )
    part = _messages.CODEC.encode(_messages.FiguresPart(figures))
    sys.stdout.write(
        f"{ENDPOINTS} endpoints: {took_us:.0f} us for each computation with "
        f"its samples, {len(part)} B for all figures\n"
    )


if __name__ == "__main__":
    main()
