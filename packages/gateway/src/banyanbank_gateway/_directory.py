"""Directory of endpoints, made from what they announce of themselves.

Announcements arrive late, twice and out of order. Each carries the start of
its sender and a number that rises within one life, so the newest is known
whatever way it took.
"""

import collections.abc
import enum

import attrs
import banyanbank_base as base

LIFE_S = 5.0
"""Seconds of silence after which an endpoint counts as gone: four beats."""

TOMBSTONE_S = 120.0
"""Seconds for which late announcements of an ended life are turned away."""


class EndpointState(enum.Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    """It takes requests."""
    DRAINING = "draining"
    """It will leave; nothing new may be sent to it."""


@attrs.frozen
class LoadedModel:
    """A model that an engine holds."""

    name: str
    """Name of the model."""
    version: int
    """Version of its weights."""


@attrs.frozen
class Announcement:
    """What an endpoint said of itself."""

    endpoint: base.EndpointId
    """Name of the endpoint; a later life may bear it again."""
    service: str
    """Service that it belongs to."""
    address: str
    """IP number and port."""
    domain: base.FailureDomain
    """Failure domain."""
    slots: int
    """Requests that it runs at once."""
    state: EndpointState
    """Whether it takes requests."""
    born_ms: int
    """Unix millisecond of its start; tells lives apart."""
    sequence: int
    """Rises with each announcement of one life."""
    models: tuple[LoadedModel, ...] = ()
    """Models that an engine holds."""

    @property
    def age(self) -> tuple[int, int]:
        """Orders the announcements of one name."""
        return (self.born_ms, self.sequence)

    def serves_like(self, other: "Announcement") -> bool:
        """Whether two announcements route callers' requests alike.

        Their numbers do not matter, nor do weights: only the leader, which
        places items, asks for those, and they change on each engine with each
        version.
        """
        return (
            attrs.evolve(self, sequence=other.sequence, models=other.models)
            == other
        )


@attrs.define
class _Listed:
    announcement: Announcement
    heard_at: float


class Directory:
    """Endpoints that are believed to run.

    Attributes:
        revision: Rises with each change that entries must learn of.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._listed: dict[base.EndpointId, _Listed] = {}
        self._ended: dict[base.EndpointId, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._listed)

    def all(self) -> list[Announcement]:
        """Returns the newest announcement of each endpoint."""
        return [listed.announcement for listed in self._listed.values()]

    def of_service(self, service: str) -> list[Announcement]:
        """Returns the newest announcement of each endpoint of a service."""
        return [said for said in self.all() if said.service == service]

    def get(self, endpoint: base.EndpointId) -> Announcement | None:
        """Returns the newest announcement of an endpoint, or None."""
        listed = self._listed.get(endpoint)
        return None if listed is None else listed.announcement

    def announce(self, said: Announcement, now: float) -> bool:
        """Takes an announcement in; False when a newer one is known."""
        if self._is_over(said):
            return False
        listed = self._listed.get(said.endpoint)
        if listed is not None and listed.announcement.age >= said.age:
            if listed.announcement.age == said.age:
                listed.heard_at = max(listed.heard_at, now)
            return False
        if not self._take_address(said):
            return False
        if listed is None or not listed.announcement.serves_like(said):
            self.revision += 1
        self._listed[said.endpoint] = _Listed(said, now)
        return True

    def withdraw(self, endpoint: base.EndpointId, now: float) -> bool:
        """Ends the life of an endpoint that says it leaves."""
        listed = self._listed.get(endpoint)
        if listed is None:
            return False
        self.end_life(endpoint, listed.announcement.born_ms, now)
        return True

    def expire(self, now: float) -> list[Announcement]:
        """Drops endpoints that have been silent, and returns them."""
        silent = [
            listed.announcement
            for listed in self._listed.values()
            if listed.heard_at + LIFE_S < now
        ]
        for announcement in silent:
            del self._listed[announcement.endpoint]
        if silent:
            self.revision += 1
        for endpoint, (_, until) in list(self._ended.items()):
            if until < now:
                del self._ended[endpoint]
        return silent

    def hold(self, now: float) -> None:
        """Goes on believing in all endpoints while nobody tells of them."""
        for listed in self._listed.values():
            listed.heard_at = now

    def end_life(
        self, endpoint: base.EndpointId, born_ms: int, now: float
    ) -> None:
        """Turns away what an endpoint said in this life or an earlier one."""
        ended = self._ended.get(endpoint)
        if ended is None or ended[0] < born_ms:
            self._ended[endpoint] = (born_ms, now + TOMBSTONE_S)
        listed = self._listed.get(endpoint)
        if listed is not None and listed.announcement.born_ms <= born_ms:
            del self._listed[endpoint]
            self.revision += 1

    def ended(self) -> list[tuple[base.EndpointId, int]]:
        """Returns the lives that are over, with their starts."""
        return [(name, born) for name, (born, _) in self._ended.items()]

    def refresh(
        self,
        endpoints: collections.abc.Container[base.EndpointId],
        keep_others: bool,
        now: float,
    ) -> None:
        """Takes over which endpoints another instance believes in.

        Args:
            endpoints: Endpoints that it believes in.
            keep_others: Whether the others may only be unknown to it yet.
            now: Present time.
        """
        for endpoint, listed in list(self._listed.items()):
            if endpoint in endpoints:
                listed.heard_at = now
            elif not keep_others:
                del self._listed[endpoint]

    def _is_over(self, said: Announcement) -> bool:
        ended = self._ended.get(said.endpoint)
        return ended is not None and said.born_ms <= ended[0]

    def _take_address(self, said: Announcement) -> bool:
        """Gives an address to the endpoint that started last."""
        for other in self.all():
            if other.address != said.address or other.endpoint == said.endpoint:
                continue
            if other.born_ms > said.born_ms:
                return False
            del self._listed[other.endpoint]
            self.revision += 1
        return True
