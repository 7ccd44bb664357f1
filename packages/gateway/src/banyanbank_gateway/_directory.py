"""Directory of endpoints, built from their announcements.

Announcements may be delayed, duplicated and reordered. Each carries the start
time of its sender and a sequence number that increases monotonically within
one incarnation; the two identify the newest announcement.
"""

import collections.abc
import enum

import attrs
import banyanbank_base as base

from banyanbank_gateway import _ended_incarnations
from banyanbank_gateway import _leaving_marks

ANNOUNCEMENT_TTL_S = 5.0
"""An endpoint expires after four announcement intervals without renewal."""


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
        self._ended = _ended_incarnations.EndedIncarnations()
        self._departures = _leaving_marks.LeavingMarks()

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
        endpoint, order_key = announcement.endpoint, announcement.order_key
        if self._ended.covers(endpoint, order_key):
            return False
        if self._ended.settle_doubt(endpoint, order_key, now):
            self.revision += 1
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
        """Takes an endpoint for draining, whatever it announces.

        The mark ends with a new incarnation, or two minutes after the endpoint
        was last known.

        Args:
            endpoint: Endpoint that states that it leaves.
            born_ms: Start of its incarnation, as Unix time in milliseconds.
            now: Current time.

        Returns:
            False if this was known.
        """
        if not self._departures.add(endpoint, born_ms, now):
            return False
        known = self._known.get(endpoint)
        if known is not None and self._is_leaving(known.announcement):
            known.announcement = attrs.evolve(
                known.announcement, state=EndpointState.DRAINING
            )
            self.revision += 1
        return True

    def withdraw(
        self,
        endpoint: base.EndpointId,
        now: float,
        unix_ms: int,
        born_ms: int | None = None,
        sequence: int | None = None,
    ) -> bool:
        """Removes an endpoint that announced its shutdown.

        The removal may be late, and the endpoint may have started again
        meanwhile. If it does not say which incarnation it ends, the end of one
        that has just begun is in doubt until it announces more, or does not.

        Args:
            endpoint: Endpoint that shuts down.
            now: Current time.
            unix_ms: Current Unix time in milliseconds.
            born_ms: Start of the incarnation that ends, as Unix time in
                milliseconds; None if the removal does not state it.
            sequence: Number of the removal in its incarnation; None if the
                removal does not state it.

        Returns:
            False if the endpoint is unknown.
        """
        known = self.get(endpoint)
        if born_ms is not None:
            self.end_incarnation(endpoint, born_ms, now)
        elif known is None:
            self.revision += self._ended.add_unknown(endpoint, now, unix_ms)
        elif sequence is not None and sequence < known.sequence:
            # A removal has the highest number, so another incarnation sent it.
            pass
        elif known.state is EndpointState.READY and _has_just_begun(
            known, unix_ms
        ):
            self._end(
                _ended_incarnations.doubt_end(endpoint, known.order_key), now
            )
        else:
            self.end_incarnation(endpoint, known.born_ms, now)
        return known is not None

    def expire(self, now: float) -> list[Announcement]:
        """Removes and returns expired endpoints; forgets old ends."""
        expired = [
            known.announcement
            for known in self._known.values()
            if known.last_heard_at + ANNOUNCEMENT_TTL_S < now
        ]
        for announcement in expired:
            del self._known[announcement.endpoint]
        if expired:
            self.revision += 1
        self._ended.expire(now)
        self._departures.expire(self._find_start, now)
        return expired

    def renew_all(self, now: float) -> None:
        """Renews all endpoints while no complete directory is available."""
        for known in self._known.values():
            known.last_heard_at = now

    def end_incarnation(
        self,
        endpoint: base.EndpointId,
        born_ms: int,
        now: float,
        last_sequence: int | None = None,
    ) -> None:
        """Removes an incarnation and rejects its announcements from now on.

        Announcements of earlier incarnations are rejected as well.

        Args:
            endpoint: Name of the endpoint.
            born_ms: Start of the incarnation, as Unix time in milliseconds.
            now: Current time.
            last_sequence: Number up to which its announcements are rejected if
                its end is in doubt; None for all.
        """
        self._end(
            _ended_incarnations.EndedIncarnation(
                endpoint, born_ms, last_sequence
            ),
            now,
        )

    def _end(
        self, end: _ended_incarnations.EndedIncarnation, now: float
    ) -> None:
        self.revision += self._ended.add(end, now)
        known = self._known.get(end.endpoint)
        if known is not None and end.covers(known.announcement.order_key):
            del self._known[end.endpoint]
            self.revision += 1

    def ended(self) -> list[_ended_incarnations.EndedIncarnation]:
        """Returns the ended incarnations."""
        return self._ended.all()

    def is_end_in_doubt(self, endpoint: base.EndpointId) -> bool:
        """Whether the incarnation that ended last may turn out to go on."""
        end = self._ended.get(endpoint)
        return end is not None and end.last_sequence is not None

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
        return self._ended.covers(announcement.endpoint, announcement.order_key)

    def _is_leaving(self, announcement: Announcement) -> bool:
        return self._departures.covers(
            announcement.endpoint, announcement.born_ms
        )

    def _find_start(self, endpoint: base.EndpointId) -> int | None:
        known = self.get(endpoint)
        return None if known is None else known.born_ms

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


def _has_just_begun(announcement: Announcement, unix_ms: int) -> bool:
    """Whether a removal that arrives now may have been sent before it began."""
    age_ms = unix_ms - announcement.born_ms
    return age_ms < 1000 * _ended_incarnations.MAX_CALL_DELAY_S
