"""What is known of one peer: its address, its links and its dials."""

import asyncio
import ipaddress
import random

import attrs
import banyanbank_base as base

from banyanbank_mesh import _frames
from banyanbank_mesh import _link

FIRST_DELAY_S = 0.05
"""Mean delay after the first failed dial."""

MAX_PORT = 65535
"""Largest TCP port."""

MAX_DELAY_S = 0.4
"""Largest mean delay between two dials."""


LIFE_MEMORY_S = 2.0
"""Time for which the newest life of a disconnected peer is remembered. It
exceeds `CONNECT_LIMIT_S`, after which no dial of an ended life is made."""

MAX_REMEMBERED = 4096
"""Instances whose lives are remembered."""


class LifeMemory:
    """Newest life of each instance, remembered for a while.

    An older life is refused while a newer one is connected or remembered. The
    memory ends so that an instance whose clock was set back, and which draws
    lower numbers since, is not shut out for ever.

    Args:
        clock: Clock of the memory.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._newest: dict[base.InstanceId, tuple[base.Incarnation, float]] = {}

    def note(
        self, instance: base.InstanceId, incarnation: base.Incarnation
    ) -> None:
        """Remembers a life from now on."""
        if self.newest(instance) > incarnation:
            return
        # Reinserted at the end, so that the stalest is the first.
        self._newest.pop(instance, None)
        until = self._clock.now() + LIFE_MEMORY_S
        self._newest[instance] = (incarnation, until)
        if len(self._newest) > MAX_REMEMBERED:
            del self._newest[next(iter(self._newest))]

    def newest(self, instance: base.InstanceId) -> base.Incarnation:
        """Returns the newest life remembered; 0 when there is none."""
        incarnation, until = self._newest.get(
            instance, (base.Incarnation(0), 0.0)
        )
        if self._clock.now() >= until:
            return base.Incarnation(0)
        return incarnation


@attrs.define(eq=False)
class Backoff:
    """Exponential delay with jitter between failed dials."""

    rng: random.Random
    """Source of jitter."""
    failures: int = 0
    """Failed dials in a row."""
    not_before: float = 0.0
    """Monotonic seconds before which no dial starts."""

    def failed(self, now: float) -> None:
        """Notes a failed dial."""
        mean = min(MAX_DELAY_S, FIRST_DELAY_S * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.not_before = now + mean * self.rng.uniform(0.5, 1.5)

    def succeeded(self) -> None:
        """Notes a connection."""
        self.failures = 0
        self.not_before = 0.0


@attrs.frozen
class Address:
    """Where a peer listens."""

    host: str
    """IP number."""
    port: int
    """TCP port."""

    def __attrs_post_init__(self) -> None:
        ipaddress.ip_address(self.host)
        if not 0 < self.port <= MAX_PORT:
            raise ValueError(f"{self.port} is no TCP port.")


@attrs.define(eq=False)
class LaneState:
    """One lane to one peer."""

    backoff: Backoff
    """When to dial next."""
    links: list[_link.Link] = attrs.Factory(list)
    """Open links, the newest last."""
    dial: asyncio.Task[None] | None = None
    """The dial under way; None when there is none."""
    waiting: _link.OutgoingQueue = attrs.Factory(_link.OutgoingQueue)
    """Frames that wait for the dial under way."""

    def link(self) -> _link.Link | None:
        """Returns the newest usable link."""
        for link in reversed(self.links):
            if link.usable:
                return link
        return None


class Peer:
    """State of one peer.

    Args:
        instance: Its name.
        rng: Source of jitter.
    """

    def __init__(self, instance: base.InstanceId, rng: random.Random) -> None:
        self.instance = instance
        self.address: Address | None = None
        self.refuses_connections = False
        """Whether nothing listened at its address at the latest dial."""
        self.lanes = {lane: LaneState(Backoff(rng)) for lane in _frames.Lane}

    def all_links(self) -> list[_link.Link]:
        """Returns the links of all lanes."""
        return [link for lane in self.lanes.values() for link in lane.links]

    def close(self, code: int, detail: str) -> None:
        """Closes all links and ends all dials."""
        for link in self.all_links():
            link.close(code, detail)
        for lane in self.lanes.values():
            if lane.dial is not None:
                lane.dial.cancel()

    def move(self, address: Address | None) -> None:
        """Takes a new address; links dialled to an older one are closed."""
        if address == self.address:
            return
        self.address = address
        self.refuses_connections = False
        for link in self.all_links():
            if link.dialled:
                link.close(_link.CODE_REPLACED, "The peer has moved.")
        for lane in self.lanes.values():
            lane.backoff.succeeded()
            if lane.dial is not None:
                lane.dial.cancel()

    def connected_life(self) -> base.Incarnation:
        """Returns the newest life with an open link; 0 when there is none."""
        lives = [link.incarnation for link in self.all_links() if link.usable]
        return max(lives, default=base.Incarnation(0))

    def close_older(self, incarnation: base.Incarnation) -> None:
        """Closes links to earlier lives."""
        for link in self.all_links():
            if link.incarnation < incarnation:
                link.close(_link.CODE_REPLACED, "A later life has connected.")
