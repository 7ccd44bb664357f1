"""Time line events and the hybrid logical clock that orders them."""

import collections
import typing

import attrs

from banyanbank_base import _clock
from banyanbank_base import _ids

MAX_DETAIL_CHARS = 500
"""Longer details of events are cut."""


@attrs.frozen(order=True)
class HybridTime:
    """Hybrid logical time: close to wall time, consistent with causality."""

    wall_us: int
    """Microseconds since the Unix epoch, never behind any time seen."""
    tick: int
    """Orders events of one microsecond."""


class HybridClock:
    """Hybrid logical clock of one process.

    Args:
        clock: Source of wall time.
    """

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._last = HybridTime(0, 0)

    def tick(self) -> HybridTime:
        """Returns a time after every time returned or observed before."""
        wall_us = int(self._clock.wall() * 1_000_000)
        if wall_us > self._last.wall_us:
            self._last = HybridTime(wall_us, 0)
        else:
            self._last = HybridTime(self._last.wall_us, self._last.tick + 1)
        return self._last

    def observe(self, remote: HybridTime) -> None:
        """Takes in a time that came with a message of another process."""
        self._last = max(self._last, remote)


@attrs.frozen
class Event:
    """One entry of the time line."""

    time: HybridTime
    """When, in hybrid logical time."""
    instance: _ids.InstanceId
    """Where it was recorded."""
    kind: str
    """What happened, as `area.verb`, for instance `lease.acquired`."""
    request: str = ""
    """Request concerned; empty when none."""
    sample: str = ""
    """Sample slot concerned; empty when none."""
    key: str = ""
    """Public key id concerned, never the secret; empty when none."""
    endpoint: str = ""
    """Endpoint concerned; empty when none."""
    epoch: int = 0
    """Control epoch concerned; 0 when none."""
    detail: str = ""
    """Further facts as short `name=value` words."""


class Recorder(typing.Protocol):
    """Sink of time line events."""

    def record(
        self,
        kind: str,
        *,
        request: str = "",
        sample: str = "",
        key: str = "",
        endpoint: str = "",
        epoch: int = 0,
        detail: str = "",
    ) -> None:
        """Records one event at the current hybrid time."""
        ...


class MemoryRecorder:
    """Keeps the newest events in memory.

    Args:
        instance: Where events are recorded.
        clock: Source of wall time.
        capacity: How many events are kept.
    """

    def __init__(
        self,
        instance: _ids.InstanceId,
        clock: _clock.Clock,
        capacity: int = 20_000,
    ) -> None:
        self._instance = instance
        self.hybrid_clock = HybridClock(clock)
        self.events: collections.deque[Event] = collections.deque(
            maxlen=capacity
        )

    def record(
        self,
        kind: str,
        *,
        request: str = "",
        sample: str = "",
        key: str = "",
        endpoint: str = "",
        epoch: int = 0,
        detail: str = "",
    ) -> None:
        """Records one event at the current hybrid time."""
        self._keep(
            Event(
                time=self.hybrid_clock.tick(),
                instance=self._instance,
                kind=kind,
                request=request,
                sample=sample,
                key=key,
                endpoint=endpoint,
                epoch=epoch,
                detail=detail[:MAX_DETAIL_CHARS],
            )
        )

    def _keep(self, event: Event) -> None:
        """Takes an event in; a subclass may write it elsewhere too."""
        self.events.append(event)
