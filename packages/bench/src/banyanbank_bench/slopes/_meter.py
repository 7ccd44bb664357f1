"""Timing and the list of figures that all measurements share."""

from collections.abc import Callable
import time
import tracemalloc

import attrs

REPEATS = 5
"""Runs of which the fastest counts: other work only ever adds time."""

US = 1e6


@attrs.frozen
class Figure:
    """One measured or derived figure."""

    name: str
    """What was measured, at which size."""
    value: float
    """The figure in its unit."""
    unit: str
    """Unit of the figure."""


def process_us(call: Callable[[], object], rounds: int = 100) -> float:
    """Returns processor time of one call in microseconds."""
    best = float("inf")
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(rounds):
            call()
        best = min(best, time.process_time() - began)
    return best / rounds * US


def once_us(call: Callable[[], object]) -> float:
    """Returns processor time of a call that cannot be repeated, in us."""
    began = time.process_time()
    call()
    return (time.process_time() - began) * US


def held_bytes(build: Callable[[], object]) -> int:
    """Returns bytes that a built value keeps in memory."""
    tracemalloc.start()
    value = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del value
    return size
