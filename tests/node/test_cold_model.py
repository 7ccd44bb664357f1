"""Model of the permits for a cold endpoint over many instances.

Leader and entries run the real decisions on one simulated clock; links delay
and cut calls, dials take up to two seconds, and leaders change.
"""

import bisect
import heapq
import itertools
import random
import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _cold_endpoints
from banyanbank_node import _endpoint_limits
from banyanbank_node import _leader_permits
from banyanbank_node import _messages
from banyanbank_node import _permit_messages
from banyanbank_node import _permits
from banyanbank_node import _ports
from banyanbank_node import _store_client
from returns import result
from twisted.internet import defer

from tests.gateway import samples

SIMULATED_S = 20.0
LEADER_COUNT = 3
STALL_PERIOD_S = 2.5
TARGET = samples.make_announcement("e1", is_cold=True)


def make_document(cold_per_s: float) -> gateway.Document:
    """Returns a document whose service states a rate for cold endpoints."""
    service = gateway.Service(
        TARGET.service, 10, cold_start_s=3.0, cold_per_s=cold_per_s
    )
    return gateway.Document(
        1, (), {service.name: service}, gateway.Limits(), None
    )


def count_most_in_second(arrived_at: list[float]) -> int:
    """Returns the most arrivals in any span of one second."""
    arrived_at = sorted(arrived_at)
    return max(
        (
            bisect.bisect_left(arrived_at, start + 1.0) - number
            for number, start in enumerate(arrived_at)
        ),
        default=0,
    )


@attrs.frozen
class Case:
    """Conditions of a run."""

    entry_count: int
    cold_per_s: float
    tries_per_s: float = 60.0
    """Requests a second that callers send, over all entries."""
    loss: float = 0.0
    """Share of calls to the leader that are lost, in each direction."""
    has_slow_links: bool = False
    """Whether calls to the leader take up to 0.2 s in each direction."""
    stall_s: float = 0.0
    """Time in each `STALL_PERIOD_S` during which no dial ends; all end after
    it."""
    has_bursts: bool = False
    """Whether callers send all requests of a second at once."""
    leads_for_s: float = 100.0
    """Time between two leaders."""
    election_s: float = 0.5
    """Longest time without a leader between them."""
    has_items: bool = False
    """Whether the leader sends items, too."""
    orders_per_s: int = 0
    """Reports and orders that the leader sends a second."""


class Simulation:
    """Instances around one cold endpoint.

    Attributes:
        arrived_at: Times at which requests reached the endpoint.
        leads_since: Times at which leaders took the lease.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.clock = base.ManualClock(10.0)
        self.arrived_at: list[float] = []
        self.leads_since = [10.0]
        self._events: list[tuple[float, int, typing.Any]] = []
        self._order = itertools.count()
        self._lead_counts = [0] * LEADER_COUNT
        self._handlers: list[dict[str, typing.Any]] = []
        self._stored: list[typing.Any] = []
        self._directories: list[gateway.Directory] = []
        self._colds: list[_cold_endpoints.ColdEndpoints] = []
        self.leaders = [self._make_leader() for _ in range(LEADER_COUNT)]
        self.leader = 0
        self._stored[0].has_lease = True
        self._client = types.SimpleNamespace(
            leader=base.InstanceId("0"), call_store=self._call_store
        )
        self.entries = [self._make_entry() for _ in range(case.entry_count)]

    def _make_limits(self) -> _endpoint_limits.EndpointLimits:
        return _endpoint_limits.EndpointLimits(
            self.clock, gateway.SyncedClock(self.clock), _as_any(_NO_EVENTS)
        )

    def _make_leader(self) -> _leader_permits.LeaderPermits:
        directory = gateway.Directory()
        directory.apply(TARGET, now=10.0)
        handlers: dict[str, typing.Any] = {}
        stored = types.SimpleNamespace(
            has_lease=False,
            node=types.SimpleNamespace(epoch=1),
            ledger=jobs.Ledger(),
            table=gateway.RouteTable(make_document(self.case.cold_per_s)),
        )
        self._handlers.append(handlers)
        self._stored.append(stored)
        self._directories.append(directory)
        cold = _cold_endpoints.ColdEndpoints(
            self.clock,
            gateway.SyncedClock(self.clock),
            _as_any(stored),
            directory,
            _as_any(_NO_EVENTS),
            _as_any(_NO_METERS),
        )
        self._colds.append(cold)
        calls = types.SimpleNamespace(
            serve=handlers.__setitem__,
            changes=types.SimpleNamespace(wake=_ignore),
            send_to_stores=_ignore,
        )
        return _leader_permits.LeaderPermits(
            self.clock,
            _as_any(stored),
            directory,
            self._make_limits(),
            cold,
            _as_any(calls),
        )

    def _make_entry(self) -> _permits.RemotePermits:
        return _permits.RemotePermits(
            self.clock, _as_any(self._client), self._make_limits()
        )

    def run(self) -> None:
        """Plays the whole time."""
        ends_at = self.clock.now() + SIMULATED_S
        self._at(0.0, self._tick)
        self._at(0.0, self._send_from_caller)
        self._at(self.case.leads_for_s, self._lose_lease)
        if self.case.orders_per_s:
            self._at(0.3, self._send_orders)
        while self._events and self._events[0][0] < ends_at:
            moment, _, act = heapq.heappop(self._events)
            self.clock.advance(max(0.0, moment - self.clock.now()))
            act()

    def _at(self, delay_s: float, act: typing.Callable[[], None]) -> None:
        moment = self.clock.now() + delay_s
        heapq.heappush(self._events, (moment, next(self._order), act))

    def _tick(self) -> None:
        if self._stored[self.leader].has_lease:
            permits = self.leaders[self.leader]
            permits.tick()
            room = permits.count_room(TARGET)
            for _ in range(room or 0 if self.case.has_items else 0):
                permits.charge(TARGET)
                self._dial(self.clock.now() + gateway.MAX_PERMIT_AGE_S)
        self._at(0.05, self._tick)

    def _send_orders(self) -> None:
        if self._stored[self.leader].has_lease:
            for _ in range(self.case.orders_per_s):
                self.leaders[self.leader].charge_order(TARGET)
                self.arrived_at.append(self.clock.now())
        self._at(1.0, self._send_orders)

    def _send_from_caller(self) -> None:
        count = round(self.case.tries_per_s) if self.case.has_bursts else 1
        for _ in range(count):
            entry = self.rng.choice(self.entries)
            defer.ensureDeferred(self._send(entry))
        wait_s = (
            1.005
            if self.case.has_bursts
            else self.rng.expovariate(self.case.tries_per_s)
        )
        self._at(wait_s, self._send_from_caller)

    async def _send(self, entry: _permits.RemotePermits) -> None:
        permit = await entry.acquire([TARGET], self.clock.now() + 2.0)
        if permit.endpoint is not None:
            self._dial(permit.expires_at)

    def _dial(
        self, expires_at: float, arrived_at: list[float] | None = None
    ) -> None:
        """Has a request arrive after a dial, unless it is withheld."""
        log = self.arrived_at if arrived_at is None else arrived_at
        req = _permits.withhold_after(
            _ports.EndpointRequest("POST", "", (), 100.0, body=b"x"),
            expires_at,
            self.clock,
        )

        def arrive() -> None:
            assert req.guard is not None
            if req.guard():
                log.append(self.clock.now())

        self._at(self._draw_dial_s(), arrive)

    def _draw_dial_s(self) -> float:
        phase_s = self.clock.now() % STALL_PERIOD_S
        return max(0.001, self.case.stall_s - phase_s)

    def _draw_delay_s(self) -> float:
        if not self.case.has_slow_links:
            return 0.0005
        return self.rng.choice([0.0005, self.rng.uniform(0.0, 0.2)])

    def _call_store(
        self, store: str, method: str, message: object, deadline: float
    ) -> defer.Deferred[typing.Any]:
        answered: defer.Deferred[typing.Any] = defer.Deferred()

        def give_up() -> None:
            if not answered.called:
                answered.callback(
                    result.Failure(_store_client.StoreCallError(True, "late"))
                )

        self._at(deadline - self.clock.now(), give_up)
        data = _messages.CODEC.encode(message)

        def deliver() -> None:
            handler = self._handlers[int(store)][method]
            got: list[typing.Any] = []
            defer.ensureDeferred(handler(store, data)).addBoth(got.append)
            if self._is_lost() or not isinstance(
                got[0], _permit_messages.PermitAnswer
            ):
                return
            self._at(self._draw_delay_s(), lambda: reply(got[0]))

        def reply(answer: _permit_messages.PermitAnswer) -> None:
            if not answered.called:
                answered.callback(result.Success(answer))

        if not self._is_lost():
            self._at(self._draw_delay_s(), deliver)
        return answered

    def _is_lost(self) -> bool:
        return self.rng.random() < self.case.loss

    def _lose_lease(self) -> None:
        self._stored[self.leader].has_lease = False
        self._at(self.rng.uniform(0.01, self.case.election_s), self._take_lease)

    def _take_lease(self) -> None:
        self.leader = self.rng.randrange(LEADER_COUNT)
        epoch = 1 + max(stored.node.epoch for stored in self._stored)
        self._stored[self.leader].node.epoch = epoch
        self._stored[self.leader].has_lease = True
        self.leads_since.append(self.clock.now())
        self._client.leader = base.InstanceId(str(self.leader))
        self._at(self.case.leads_for_s, self._lose_lease)


def _as_any(value: object) -> typing.Any:
    return value


def _ignore(*args: object, **fields: object) -> None:
    """Ignores an event or a value of a metric."""


_NO_EVENTS = types.SimpleNamespace(write=_ignore)
_NO_METERS = types.SimpleNamespace(
    cold_endpoints=types.SimpleNamespace(set=_ignore),
    cold_permits=types.SimpleNamespace(add=_ignore),
)

CASES = (
    ("few entries", Case(7, 13.0), 0.9),
    ("many entries", Case(360, 13.0, 200.0), 0.9),
    ("low rate", Case(65, 1.0), 0.85),
    ("rate below one", Case(65, 0.5), 0.75),
    ("fraction", Case(65, 2.5), 0.75),
    ("high rate", Case(360, 100.0, 400.0), 0.85),
    ("items", Case(65, 13.0, 30.0, has_items=True), 0.9),
    ("items and orders", Case(65, 13.0, has_items=True, orders_per_s=12), 0.9),
    ("calls are lost", Case(360, 13.0, 200.0, loss=0.1), 0.65),
    ("slow links", Case(7, 13.0, 100.0, has_slow_links=True), 0.65),
    ("short stalls", Case(65, 13.0, 200.0, stall_s=0.49), 0.9),
    ("long stalls", Case(360, 13.0, 200.0, stall_s=2.0), 0.3),
    ("bursts", Case(65, 13.0, 40.0, has_bursts=True, stall_s=0.49), 0.15),
    ("leaders change", Case(65, 13.0, leads_for_s=3.0), 0.55),
    (
        "leaders change at once",
        Case(65, 13.0, 200.0, leads_for_s=0.2, election_s=0.01),
        0.0,
    ),
    (
        "everything at once",
        Case(360, 13.0, 300.0, 0.05, True, 1.0, False, 2.0, 0.5, True, 3),
        0.2,
    ),
    (
        "everything, few",
        Case(7, 5.0, 100.0, 0.05, True, 1.0, False, 2.0, 0.5, True, 2),
        0.2,
    ),
)
"""Name, conditions, and the least share of the rate that is to be used."""


class ColdRateTest(unittest.TestCase):
    """Guards against a cold endpoint that gets too many requests, or few."""

    def test_most_requests_in_any_second(self) -> None:
        for name, case, least_share in CASES:
            for seed in range(2):
                with self.subTest(name, seed=seed):
                    simulation = Simulation(case, seed)
                    simulation.run()
                    most = count_most_in_second(simulation.arrived_at)
                    self.assertLessEqual(most, 1.5 * case.cold_per_s + 5)
                    self.assertGreaterEqual(
                        len(simulation.arrived_at),
                        least_share * case.cold_per_s * (SIMULATED_S - 1.0),
                    )

    def test_first_second_of_leaders(self) -> None:
        """Guards against permits beside what a former leader sent."""
        simulation = Simulation(Case(65, 13.0, leads_for_s=2.0), seed=1)
        simulation.run()
        self.assertGreater(len(simulation.leads_since), 5)
        for since in simulation.leads_since:
            # What the former leader granted arrives within 0.01 s.
            for arrived_at in simulation.arrived_at:
                self.assertFalse(since + 0.01 < arrived_at < since + 1.0)


if __name__ == "__main__":
    unittest.main()
