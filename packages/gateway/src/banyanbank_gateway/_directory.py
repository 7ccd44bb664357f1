"""Directory of endpoints, built from their announcements.

Announcements may be delayed, duplicated and reordered. Each carries the start
time of its sender and a sequence number that increases monotonically within
one incarnation; the two identify the newest announcement.
"""

import collections.abc
import enum

import attrs
import banyanbank_base as base

ANNOUNCEMENT_TTL_S = 5.0
"""An endpoint expires after four announcement intervals without renewal."""

TOMBSTONE_TTL_S = 120.0
"""Time for which delayed announcements of an ended incarnation are rejected."""


class EndpointState(enum.Enum):
    """Announced state of an endpoint."""

    READY = "ready"
    """Accepts requests."""
    DRAINING = "draining"
    """Shuts down soon and must not be sent new requests."""


@attrs.frozen
class LoadedModel:
    """A model that an engine has loaded."""

    name: str
    """Name of the model."""
    version: int
    """Version of its weights."""


@attrs.frozen
class Announcement:
    """Description of an endpoint, sent by the endpoint at an interval."""

    endpoint: base.EndpointId
    """Name of the endpoint; a later incarnation may reuse it."""
    service: str
    """Service that the endpoint belongs to."""
    address: str
    """IP address and port."""
    domain: base.FailureDomain
    """Failure domain."""
    slots: int
    """Requests that the endpoint runs concurrently."""
    state: EndpointState
    """Whether the endpoint accepts requests."""
    born_ms: int
    """Unix time of its start in milliseconds; identifies the incarnation."""
    sequence: int
    """Increases with each announcement of one incarnation."""
    models: tuple[LoadedModel, ...] = ()
    """Models that an engine has loaded."""
    is_cold: bool = False
    """Whether the endpoint has just started and so takes requests at the lower
    rate of its service; False if the service states none."""

    @property
    def order_key(self) -> tuple[int, int]:
        """Sort key of announcements with the same endpoint name."""
        return (self.born_ms, self.sequence)

    def has_same_routing(self, other: "Announcement") -> bool:
        """Whether two announcements lead to the same routing of requests.

        Ignores sequence numbers and weight versions. Only the leader, which
        places items, uses the versions, and they change on every engine with
        each published version.
        """
        return (
            attrs.evolve(self, sequence=other.sequence, models=other.models)
            == other
        )


MAX_DOMAINS = 256
"""Number of failure domains that are remembered after their endpoints are gone;
further ones are not."""

MAX_REMEMBERED = 10_000
"""Number of departures, and of ended lives, that are remembered; the oldest are
dropped."""


@attrs.define
class _KnownEndpoint:
    announcement: Announcement
    last_heard_at: float


class Directory:
    """Endpoints that are considered alive.

    Attributes:
        revision: Increases with each change that entries have to receive.
        domains: Failure domains of all endpoints so far, also of those that are
            gone; of more than `MAX_DOMAINS`, the first ones.
        has_forgotten_domains: Whether there were more, so that a domain that is
            not known may have had endpoints.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.domains: set[base.FailureDomain] = set()
        self.has_forgotten_domains = False
        self._known: dict[base.EndpointId, _KnownEndpoint] = {}
        self._tombstones: dict[base.EndpointId, tuple[int, float]] = {}
        self._departures: dict[base.EndpointId, tuple[int, float]] = {}

    def __len__(self) -> int:
        return len(self._known)

    def all(self) -> list[Announcement]:
        """Returns the newest announcement of each endpoint."""
        return [known.announcement for known in self._known.values()]

    def of_service(self, service: str) -> list[Announcement]:
        """Returns the newest announcement of each endpoint of a service."""
        return [
            announcement
            for announcement in self.all()
            if announcement.service == service
        ]

    def get(self, endpoint: base.EndpointId) -> Announcement | None:
        """Returns the newest announcement of an endpoint, or None."""
        known = self._known.get(endpoint)
        return None if known is None else known.announcement

    def apply(self, announcement: Announcement, now: float) -> bool:
        """Applies an announcement.

        Returns:
            False if the announcement is stale or a duplicate, or if its
            address belongs to an endpoint that started later.
        """
        if self.has_ended(announcement):
            return False
        known = self._known.get(announcement.endpoint)
        if (
            known is not None
            and known.announcement.order_key >= announcement.order_key
        ):
            if known.announcement.order_key == announcement.order_key:
                known.last_heard_at = max(known.last_heard_at, now)
                # A leader may take an endpoint for cold after it announced.
                return announcement.is_cold and self.mark_cold(
                    announcement.endpoint
                )
            return False
        if not self._claim_address(announcement):
            return False
        if self._is_leaving(announcement):
            announcement = attrs.evolve(
                announcement, state=EndpointState.DRAINING
            )
        if known is None or not known.announcement.has_same_routing(
            announcement
        ):
            self.revision += 1
        self._known[announcement.endpoint] = _KnownEndpoint(announcement, now)
        if len(self.domains) < MAX_DOMAINS:
            self.domains.add(announcement.domain)
        elif announcement.domain not in self.domains:
            self.has_forgotten_domains = True
        return True

    def knows_domain(self, domain: base.FailureDomain) -> bool:
        """Whether an endpoint of a failure domain is, or was, known."""
        return domain in self.domains or any(
            announcement.domain == domain for announcement in self.all()
        )

    def heard_at(self, endpoint: base.EndpointId) -> float | None:
        """Returns when an endpoint was last heard; None if it is unknown."""
        known = self._known.get(endpoint)
        return None if known is None else known.last_heard_at

    def mark_cold(self, endpoint: base.EndpointId) -> bool:
        """Takes an endpoint for cold until its next announcement.

        Returns:
            False if the endpoint is unknown or known to be cold.
        """
        known = self._known.get(endpoint)
        if known is None or known.announcement.is_cold:
            return False
        known.announcement = attrs.evolve(known.announcement, is_cold=True)
        self.revision += 1
        return True

    def send_again(self) -> None:
        """Has entries receive all announcements, also without a change."""
        self.revision += 1

    def forget_cold(self) -> bool:
        """Takes all endpoints for warm; returns whether any was cold."""
        cold = [
            known
            for known in self._known.values()
            if known.announcement.is_cold
        ]
        for known in cold:
            known.announcement = attrs.evolve(known.announcement, is_cold=False)
        self.revision += bool(cold)
        return bool(cold)

    def mark_leaving(
        self, endpoint: base.EndpointId, born_ms: int, now: float
    ) -> bool:
        """Takes an endpoint for draining, whatever is announced of its life.

        The mark ends with a new life, or `TOMBSTONE_TTL_S` after the endpoint
        was last known.

        Args:
            endpoint: Endpoint that states that it leaves.
            born_ms: Start of its life, as Unix time in milliseconds.
            now: Current time.

        Returns:
            False if this was known.
        """
        marked = self._departures.get(endpoint)
        if marked is not None and marked[0] >= born_ms:
            return False
        self._departures[endpoint] = (born_ms, now + TOMBSTONE_TTL_S)
        _drop_oldest(self._departures)
        known = self._known.get(endpoint)
        if known is not None and self._is_leaving(known.announcement):
            known.announcement = attrs.evolve(
                known.announcement, state=EndpointState.DRAINING
            )
            self.revision += 1
        return True

    def withdraw(
        self, endpoint: base.EndpointId, now: float, unix_ms: int
    ) -> bool:
        """Removes an endpoint that announced its shutdown.

        The life of an unknown endpoint began before now, so delayed
        announcements of such a life are rejected.

        Args:
            endpoint: Endpoint that shuts down.
            now: Current time.
            unix_ms: Current Unix time in milliseconds.

        Returns:
            False if the endpoint is unknown.
        """
        known = self._known.get(endpoint)
        born_ms = unix_ms if known is None else known.announcement.born_ms
        self.end_incarnation(endpoint, born_ms, now)
        return known is not None

    def expire(self, now: float) -> list[Announcement]:
        """Removes and returns expired endpoints; drops old tombstones."""
        expired = [
            known.announcement
            for known in self._known.values()
            if known.last_heard_at + ANNOUNCEMENT_TTL_S < now
        ]
        for announcement in expired:
            del self._known[announcement.endpoint]
        if expired:
            self.revision += 1
        for endpoint, (_, expires_at) in list(self._tombstones.items()):
            if expires_at < now:
                del self._tombstones[endpoint]
        self._expire_departures(now)
        return expired

    def renew_all(self, now: float) -> None:
        """Renews all endpoints while no complete directory is available."""
        for known in self._known.values():
            known.last_heard_at = now

    def end_incarnation(
        self, endpoint: base.EndpointId, born_ms: int, now: float
    ) -> None:
        """Removes an incarnation and rejects its announcements from now on.

        Announcements of earlier incarnations are rejected as well.
        """
        ended = self._tombstones.get(endpoint)
        if ended is None or ended[0] < born_ms:
            self._tombstones[endpoint] = (born_ms, now + TOMBSTONE_TTL_S)
            _drop_oldest(self._tombstones)
            self.revision += 1
        known = self._known.get(endpoint)
        if known is not None and known.announcement.born_ms <= born_ms:
            del self._known[endpoint]
            self.revision += 1

    def ended(self) -> list[tuple[base.EndpointId, int]]:
        """Returns the ended incarnations: names and start times."""
        return [(name, born) for name, (born, _) in self._tombstones.items()]

    def renew(
        self,
        endpoints: collections.abc.Container[base.EndpointId],
        keep_unlisted: bool,
        now: float,
    ) -> None:
        """Renews the endpoints that another instance considers alive.

        Args:
            endpoints: Endpoints that the other instance considers alive.
            keep_unlisted: Whether to keep endpoints that the other instance
                does not list, because it may not have received them yet.
            now: Current time.
        """
        for endpoint, known in list(self._known.items()):
            if endpoint in endpoints:
                known.last_heard_at = now
            elif not keep_unlisted:
                del self._known[endpoint]

    def has_ended(self, announcement: Announcement) -> bool:
        """Whether the announced incarnation is known to have ended."""
        ended = self._tombstones.get(announcement.endpoint)
        return ended is not None and announcement.born_ms <= ended[0]

    def _is_leaving(self, announcement: Announcement) -> bool:
        marked = self._departures.get(announcement.endpoint)
        return marked is not None and announcement.born_ms <= marked[0]

    def _expire_departures(self, now: float) -> None:
        for endpoint, (born_ms, expires_at) in list(self._departures.items()):
            known = self._known.get(endpoint)
            if known is not None and known.announcement.born_ms <= born_ms:
                self._departures[endpoint] = (born_ms, now + TOMBSTONE_TTL_S)
            elif known is not None or expires_at < now:
                del self._departures[endpoint]

    def _claim_address(self, announcement: Announcement) -> bool:
        """Assigns the address to the endpoint that started last."""
        for other in self.all():
            if (
                other.address != announcement.address
                or other.endpoint == announcement.endpoint
            ):
                continue
            if other.born_ms > announcement.born_ms:
                return False
            del self._known[other.endpoint]
            self.revision += 1
        return True


def _drop_oldest(lives: dict[base.EndpointId, tuple[int, float]]) -> None:
    """Bounds remembered lives: start times and expiry times by endpoint."""
    if len(lives) > MAX_REMEMBERED:
        del lives[min(lives, key=lambda endpoint: lives[endpoint][1])]
