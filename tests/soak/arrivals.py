"""Checks which requests reach servers that are evacuated or cold.

Times are those of the reactor; a request counts from when it has reached its
server. Only requests of entries and stores count.
"""

import collections.abc
import math
import time
import typing

import attrs

from tests.node import test_cold_model
from tests.soak import documents
from tests.soak import servers

if typing.TYPE_CHECKING:
    from tests.soak import load
    from tests.soak import world

EVACUATION_S = 5.0
"""Seconds from the 200 of an order until it holds (`evac-ms`)."""
CONNECTION_S = 2.0
"""Seconds within which a connection is used that an entry was making when it
heard of an evacuation."""
CONTACT_S = 4.0
"""Seconds after which an entry that was suspended or cut off is in contact
again: a silent link is given up after 1.5 s, the next dial begins within 0.6 s,
and the rest is for a poll beside the starts of other processes."""
MOST_COLD = documents.COLD_PER_S * 1.5 + 5
"""Most requests that a cold server gets in one second."""


@attrs.frozen
class Arrival:
    """Request that reached a server."""

    server: str
    """Name of the server."""
    at: float
    """When it was there."""
    sender: "world.Member"
    """Process that sent it."""


@attrs.frozen
class Evacuation:
    """Order that was acknowledged."""

    domain: str
    """Failure domain."""
    acknowledged_at: float
    """When the operator got the 200."""
    withdrawn_at: float
    """When the operator first sent the withdrawal."""


@attrs.define
class Disturbance:
    """Time during which processes are suspended or cut off."""

    names: frozenset[str]
    """Names of the processes."""
    began_at: float
    """When it began."""
    ended_at: float = math.inf
    """When it ended."""


@attrs.define
class ColdSpan:
    """Time during which a server is cold."""

    server: str
    """Name of the server."""
    began_at: float
    """When it became cold."""
    ended_at: float
    """When it is warm."""
    news: list[tuple[float, float]] = attrs.Factory(list)
    """When announcements of the cold state that a leader accepted were sent,
    and when they were answered."""


@attrs.define
class Records:
    """What happened, as far as it decides which requests may arrive."""

    now: collections.abc.Callable[[], float]
    """Clock of the reactor."""
    acknowledged_at: list[float] = attrs.Factory(list)
    """When operators' calls were answered that wait for entries in contact;
    the state that these then act on includes all earlier changes."""
    evacuations: list[Evacuation] = attrs.Factory(list)
    """Orders that were withdrawn since."""
    ordered: dict[str, float] = attrs.Factory(dict)
    """When each domain may be ordered again."""
    disturbances: list[Disturbance] = attrs.Factory(list)
    """Suspended processes and harmed links."""
    cold: list[ColdSpan] = attrs.Factory(list)
    """Cold servers."""

    def record_acknowledgement(self) -> None:
        """Records that an operator's call was answered with 200."""
        self.acknowledged_at.append(self.now())

    def record_news(
        self, name: str, sent_at: float, accepted_at: float
    ) -> None:
        """Records that a leader has accepted a server's announcement."""
        for span in self.cold:
            if span.server == name and span.began_at <= sent_at < span.ended_at:
                span.news.append((sent_at, accepted_at))

    def disturb(self, names: collections.abc.Iterable[str]) -> Disturbance:
        """Records that a disturbance of processes begins."""
        self.disturbances.append(Disturbance(frozenset(names), self.now()))
        return self.disturbances[-1]

    def has_heard(self, name: str, since: float, until: float) -> bool:
        """Whether an entry must have heard of what a leader knew at a time.

        The page excepts an entry out of contact, which acts on the last state
        that it knew: one that was suspended or cut off in the seconds before
        each acknowledgement. A start is no exception, since an entry serves
        nothing before it has the leader's state.

        Args:
            name: Name of the entry.
            since: When the leader knew it.
            until: When the entry must have heard of it.
        """
        return any(
            since <= moment <= until
            and not any(
                name in one.names
                and one.began_at <= moment
                and one.ended_at >= moment - CONTACT_S
                for one in self.disturbances
            )
            for moment in self.acknowledged_at
        )


def check(there: "world.World", promises: "load.Promises") -> None:
    """Checks all requests that reached servers during a run."""
    members = (*there.members.values(), *there.removed)
    hosts = {member.host: member for member in members}
    leases = _find_first_leases(there)
    for name, server in there.farm.servers.items():
        arrived = [
            Arrival(name, moment, hosts[request.getClientAddress().host])
            for moment, request in zip(
                server.arrived_at, server.requests, strict=True
            )
            if request.code != 421
        ]
        for order in there.records.evacuations:
            _check_evacuation(there.records, order, arrived, promises)
        spans = [span for span in there.records.cold if span.server == name]
        counted = [
            one.at
            for one in arrived
            if any(_counts(there.records, span, leases, one) for span in spans)
        ]
        for _ in counted:
            promises.count("requests to cold servers")
        most = test_cold_model.count_most_in_second(counted)
        promises.check(
            most <= MOST_COLD,
            f"{name} got {most} requests in a second while it was cold: "
            f"{counted}",
        )


def _check_evacuation(
    records: Records,
    order: Evacuation,
    arrived: list[Arrival],
    promises: "load.Promises",
) -> None:
    """Nothing arrives from the leader or an entry in contact.

    Suspended and killed stores are no exception: the lease of a former leader
    ends before the next one acknowledges, and a new leader has the order.
    """
    for one in arrived:
        if (
            order.acknowledged_at + EVACUATION_S < one.at < order.withdrawn_at
        ) and (
            one.sender.role == "store"
            or records.has_heard(
                one.sender.name, order.acknowledged_at, one.at - CONNECTION_S
            )
        ):
            promises.count("requests during evacuations")
            promises.check(
                order.domain != servers.zone_of(one.server),
                f"{one.sender.name} reached {one.server} at {one.at:.2f} "
                f"during {order}",
            )


def _counts(
    records: Records, span: ColdSpan, leases: list[float], one: Arrival
) -> bool:
    """Whether a request counts against the rate of a cold server.

    The page excepts what an instance sends before it has heard that the server
    is cold, and the permits of a new leader until the next announcement.
    """
    if not span.began_at < one.at < span.ended_at:
        return False
    led_since = max((at for at in leases if at <= one.at), default=0.0)
    heard_at = min(
        (accepted for sent, accepted in span.news if sent >= led_since),
        default=math.inf,
    )
    if one.sender.role == "store":
        return heard_at <= one.at
    return records.has_heard(one.sender.name, heard_at, one.at)


def _find_first_leases(there: "world.World") -> list[float]:
    """Returns when each leader took its first lease, from the stores' logs."""
    times: dict[int, float] = {}
    unix_offset_s = time.time() - there.reactor.seconds()
    for store in (*there.stores, *there.removed):
        for event in store.events():
            if event["event"] == "lease.acquired":
                known = times.get(event["epoch"], math.inf)
                at = event["t"] - unix_offset_s
                times[event["epoch"]] = min(known, at)
    return list(times.values())
