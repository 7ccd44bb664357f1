"""Changes the configuration and observes how old entries let it become."""

import collections
import copy
import json
import math
import random
import typing

import attrs
from banyanbank_platform import _listener
from twisted.internet import defer

from tests import support
from tests.platform import deployment
from tests.platform import fakes
from tests.soak import http
from tests.soak import world

CONTACT_S = 3.0
"""Time after the last disturbance from which an entry counts as in touch
(`contact-ms`)."""
IN_FORCE_S = 2.0
"""Time after the acknowledgement of a change by which it is in force
(`config-ms`)."""
SERVICES = 16
"""Services between which the route moves; successive changes name others."""
ADDED_ROUTES = 8
"""Added routes that a document has; each change drops the oldest."""
BEAT_S = 1.0
CALL_S = 1.0
"""Time after which the operator sends a change again, to another store."""
PROBE_PERIOD_S = 0.3
PROBE_LIMIT_S = 2.5
AGE_PERIOD_S = 0.1
LOOP_PERIOD_S = 0.02
LATE_S = 0.1
"""Delay of the observer's own loop from which on it is noted."""
AGE_METRIC = "banyanbank_belief_age_seconds "
LEADERSHIP_EVENTS = (
    "process.started",
    "leader.elected",
    "leader.stepped_down",
)
OK = 200
ACCEPTED = 202
DENIALS = (401, 403, 404)
"""Statuses that say that the configuration does not allow a request."""
MOVED, ADDED, DROPPED = "moved", "added", "dropped"


@attrs.define
class Change:
    """One version of the configuration."""

    number: int
    """Its version."""
    sent_at: float
    """When it was first sent."""
    acked_at: float | None = None
    """When a store acknowledged it; None until then."""

    @property
    def service(self) -> str:
        """Service of the moved route."""
        return f"service-{self.number % SERVICES}"

    def has_route(self, number: int) -> bool:
        """Whether it has the route that a version added."""
        return self.number - ADDED_ROUTES < number <= self.number


@attrs.define
class Probe:
    """One request and what became of it."""

    entry: str
    """Entry that was asked."""
    kind: str
    """Which route was asked."""
    number: int
    """Version that added the route; 0 for the moved one."""
    request_id: str
    """Names it at the servers."""
    sent_at: float
    """When it was sent."""
    ended_at: float = math.inf
    """When the answer arrived or was given up."""
    status: int | None = None
    """Status of the answer; None if none came in time."""
    contact_age_s: float = 0.0
    """Time since the entry heard of a leader, as it last said itself."""


@attrs.define
class Fault:
    """Disturbance of some processes or their links."""

    what: str
    """What was done."""
    harmed: frozenset[str]
    """Processes that it concerns; all of them if it concerns a store."""
    began_at: float
    """When it began."""
    ended_at: float = math.inf
    """When it was over."""


@attrs.frozen
class Breach:
    """A request that was handled as only an older version allows."""

    entry: str
    """Entry that handled it."""
    what: str
    """What the entry did."""
    late_s: float
    """Time from the acknowledgement of the change to the request."""
    contact_age_s: float
    """Time since the entry heard of a leader."""
    sent_at: float
    """When the request was sent."""
    calm_s: float
    """Time since the last fault that concerned the entry was over."""


@attrs.define
class Report:
    """What a run showed."""

    breaches: list[Breach]
    """Requests that were handled as only an older version allows."""
    acknowledged: int
    """Number of changes that were acknowledged, without the first."""
    acknowledged_under_fault: int
    """Number of these that were acknowledged while the fault was in force."""
    ack_s: list[float]
    """Time that each acknowledgement took."""
    oldest_s: dict[str, float]
    """By entry: longest time after the acknowledgement of a change at which it
    still acted on the version before."""
    contact_age_s: dict[str, float]
    """By entry: longest time without an answer of a leader."""
    longest_recovery_s: dict[str, float]
    """By entry: longest time without an answer of a leader after the last fault
    that concerned it was over."""
    late_loops: list[tuple[float, float]]
    """When the observer's own loop was late, and by how much."""
    statuses: dict[str, dict[str, int]]
    """By entry: how often probes ended with which status."""


class Observer:
    """Changes the configuration and observes what entries do with it.

    Args:
        there: Processes and the relays between them.
        rng: Source of all choices.
    """

    def __init__(self, there: world.World, rng: random.Random) -> None:
        self.there = there
        self.rng = rng
        self.changes: list[Change] = []
        self.is_running = True
        self._began_at = 0.0
        self.fault_began_at = 0.0
        self.fault_ended_at = 0.0
        self._probes: list[Probe] = []
        self._contact_age_s: dict[str, float] = {}
        self._oldest_contact_s: dict[str, float] = {}
        self._longest_recovery_s: dict[str, float] = {}
        self.faults: list[Fault] = []
        self.padding = 0
        self.late_loops: list[tuple[float, float]] = []
        self._caller = http.Caller(there.reactor)
        self._serial = 0
        self._reads: dict[str, dict[str, int]] = collections.defaultdict(
            lambda: collections.defaultdict(int)
        )
        self._defects: list[str] = []
        self._services = {
            f"service-{number}": fakes.PlainServer(
                there.reactor, "127.0.0.1", port
            )
            for number, port in enumerate(support.free_ports(SERVICES))
        }

    def start(
        self, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Starts work that nobody waits for."""
        running = defer.ensureDeferred(work)
        running.addErrback(
            lambda failure: self._defects.append(failure.getTraceback())
        )

    async def begin(self) -> None:
        """Starts the processes and waits until each entry serves."""
        await self.there.start()
        self.start(self._announce())
        self.start(self._watch_loop())
        await self.change()
        for entry in self.there.entries:
            while await self._probe(entry, MOVED) != OK:
                await support.next_turn(0.1)
            self.start(self._observe(entry))
            self.start(self._read_contact_age(entry))
        self._probes.clear()
        self._began_at = self._now()
        self._oldest_contact_s.clear()

    async def end(self) -> None:
        """Ends everything."""
        self.is_running = False
        await self._caller.close()
        await self.there.stop()
        for service in self._services.values():
            await service.stop()

    async def _watch_loop(self) -> None:
        """Measures how late the loop is that carries relays and probes."""
        while self.is_running:
            due_at = self._now() + LOOP_PERIOD_S
            await support.next_turn(LOOP_PERIOD_S)
            late_s = self._now() - due_at
            if late_s > LATE_S:
                self.late_loops.append((self._now(), late_s))
                # Relays that are late delay everything between processes.
                stores = frozenset(store.name for store in self.there.stores)
                self.faults.append(
                    Fault("observer late", stores, due_at, self._now())
                )

    async def change(self) -> Change:
        """Makes a change and sends it until it is acknowledged."""
        change = Change(len(self.changes) + 1, self._now())
        self.changes.append(change)
        body = json.dumps(make_document(change, self.padding)).encode()
        while self.is_running:
            store = self.rng.choice(self.there.stores)
            url = self.there.control_url(store) + "/-/config"
            reply = await self._caller.call("PUT", url, body, CALL_S)
            if reply is not None and reply.status == OK:
                change.acked_at = self._now()
                break
            await support.next_turn(0.05)
        return change

    async def change_until(self, until: float, pause_s: float) -> None:
        """Makes one change after the other."""
        while self.is_running and self._now() < until:
            await self.change()
            await support.next_turn(pause_s * self.rng.uniform(0.5, 1.5))

    async def inject(
        self,
        what: str,
        harmed: typing.Iterable[str],
        fault: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Notes a fault and returns when it is over."""
        noted = Fault(what, frozenset(harmed), self._now())
        self.faults.append(noted)
        await fault
        noted.ended_at = self._now()

    def calm_s(self, entry: str, at: float) -> float:
        """Returns for how long no fault has concerned an entry."""
        stores = {store.name for store in self.there.stores}
        return min(
            (
                max(0.0, at - fault.ended_at)
                for fault in self.faults
                if fault.began_at <= at and fault.harmed & {entry, *stores}
            ),
            default=math.inf,
        )

    def leader(self) -> str:
        """Name of the store that the entries follow."""
        latest = 0.0
        host = ""
        for entry in self.there.entries:
            for event in entry.events():
                if event["event"] == "endpoints.changed" and (
                    event["t"] > latest
                ):
                    latest = event["t"]
                    host = event["source"].partition(":")[0]
        [name] = [s.name for s in self.there.stores if s.settings["ip"] == host]
        return name

    def report(self) -> Report:
        """Judges all requests so far."""
        if self._defects:
            raise AssertionError(self._defects)
        breaches: list[Breach] = []
        oldest_s: dict[str, float] = collections.defaultdict(float)
        statuses: dict[str, dict[str, int]] = collections.defaultdict(
            lambda: collections.defaultdict(int)
        )
        for probe in self._probes:
            statuses[probe.entry][f"{probe.kind} {probe.status}"] += 1
            acted = self._describe_action(probe)
            if acted is None:
                continue
            what, may = acted
            late_s = self._late_s(probe, may)
            oldest_s[probe.entry] = max(oldest_s[probe.entry], late_s)
            if late_s > IN_FORCE_S:
                breaches.append(
                    Breach(
                        probe.entry,
                        what,
                        late_s,
                        probe.contact_age_s,
                        probe.sent_at,
                        self.calm_s(probe.entry, probe.sent_at),
                    )
                )
        acked = [
            (change.acked_at, change.acked_at - change.sent_at)
            for change in self.changes[1:]
            if change.acked_at is not None
        ]
        return Report(
            breaches,
            len(acked),
            sum(
                self.fault_began_at <= acked_at <= self.fault_ended_at
                for acked_at, _ in acked
            ),
            [took_s for _, took_s in acked],
            dict(oldest_s),
            dict(self._oldest_contact_s),
            dict(self._longest_recovery_s),
            [late for late in self.late_loops if late[0] > self._began_at],
            {
                name: dict(counts) | self._reads[name]
                for name, counts in statuses.items()
            },
        )

    def _describe_action(
        self, probe: Probe
    ) -> tuple[str, typing.Callable[[Change], bool]] | None:
        """Returns what an entry did, and which versions allow it."""
        ran_at = [
            name
            for name, service in self._services.items()
            if probe.request_id in service.ran_request_ids
        ]
        if probe.kind == MOVED and ran_at:
            return (
                f"ran the moved route at {ran_at}",
                lambda change: change.service in ran_at,
            )
        if probe.kind != MOVED and ran_at:
            return (
                f"ran the route of {probe.number}",
                lambda change: change.has_route(probe.number),
            )
        if probe.status in DENIALS:
            return (
                f"answered {probe.status} on the {probe.kind} route "
                f"of {probe.number}",
                lambda change: (
                    probe.kind != MOVED and not change.has_route(probe.number)
                ),
            )
        return None

    def _late_s(
        self, probe: Probe, may: typing.Callable[[Change], bool]
    ) -> float:
        """Returns for how long a version that allows the action was overtaken.

        The newest version sent before the request ended that allows it counts.
        """
        allowing = [
            change.number
            for change in self.changes
            if change.sent_at <= probe.ended_at and may(change)
        ]
        newest = max(allowing, default=0)
        overtaken_at = min(
            (
                change.acked_at
                for change in self.changes
                if change.number > newest and change.acked_at is not None
            ),
            default=probe.sent_at,
        )
        return max(0.0, probe.sent_at - overtaken_at)

    async def read_results(self, entry: world.Member, readers: int) -> None:
        """Submits a batch job without engines, and waits for its results."""
        self._serial += 1
        job = f"job-{self._serial}"
        url = f"{self.there.front_url(entry)}/jobs/x"
        reply = None
        while reply is None or reply.status != ACCEPTED:
            reply = await self._caller.call(
                "POST",
                url,
                deployment.make_job(),
                PROBE_LIMIT_S,
                x_banyanbank_request_id=job,
            )
            await support.next_turn(0.1)
        for _ in range(readers):
            self.start(self._read_results(entry, job))
            await support.next_turn(1.0 / readers)

    async def _read_results(self, entry: world.Member, job: str) -> None:
        url = f"{self.there.front_url(entry)}/-/lots/{job}?after=0"
        while self.is_running:
            reply = await self._caller.call(
                "GET", url, b"", PROBE_LIMIT_S, x_banyanbank_wait_ms="1000"
            )
            status = None if reply is None else reply.status
            self._reads[entry.name][f"read {status}"] += 1
            await support.next_turn(0.01)

    async def _announce(self) -> None:
        sequence = 0
        while self.is_running:
            sequence += 1
            for name, service in self._services.items():
                body = json.dumps(
                    {
                        "service": name,
                        "address": service.address,
                        "zone": "zone-1",
                        "slots": 4,
                        "state": "ready",
                        "sequence": sequence,
                        "born": 1_000,
                        "models": [],
                    }
                ).encode()
                self.start(self._announce_one(name, body))
            await support.next_turn(BEAT_S)

    async def _announce_one(self, name: str, body: bytes) -> None:
        for store in self.rng.sample(self.there.stores, world.STORES):
            url = f"{self.there.control_url(store)}/-/instances/{name}-1"
            reply = await self._caller.call("PUT", url, body, CALL_S)
            if reply is not None and reply.status == OK:
                return

    async def _observe(self, entry: world.Member) -> None:
        while self.is_running:
            self.start(self._probe(entry, MOVED))
            due = self._newest_due()
            if due:
                self.start(self._probe(entry, ADDED, due))
            if due > ADDED_ROUTES:
                self.start(self._probe(entry, DROPPED, due - ADDED_ROUTES))
            await support.next_turn(PROBE_PERIOD_S)

    def _newest_due(self) -> int:
        """Returns the newest version that must be in force; 0 if none must."""
        return max(
            (
                change.number
                for change in self.changes
                if change.acked_at is not None
                and change.acked_at + IN_FORCE_S < self._now()
            ),
            default=0,
        )

    async def _probe(
        self, entry: world.Member, kind: str, number: int = 0
    ) -> int | None:
        self._serial += 1
        probe = Probe(
            entry.name,
            kind,
            number,
            f"probe-{self._serial}",
            self._now(),
            contact_age_s=self._contact_age_s.get(entry.name, 0.0),
        )
        self._probes.append(probe)
        path = "moved" if kind == MOVED else f"of-{number}"
        reply = await self._caller.call(
            "POST",
            f"{self.there.front_url(entry)}/{path}/x",
            b"x",
            PROBE_LIMIT_S,
            x_banyanbank_request_id=probe.request_id,
        )
        probe.ended_at = self._now()
        probe.status = None if reply is None else reply.status
        return probe.status

    async def _read_contact_age(self, entry: world.Member) -> None:
        url = f"http://{entry.host}:{_listener.METRICS_PORT}/metrics"
        while self.is_running:
            reply = await self._caller.call("GET", url)
            text = "" if reply is None else reply.body.decode()
            for line in text.splitlines():
                if line.startswith(AGE_METRIC):
                    age_s = float(line.removeprefix(AGE_METRIC))
                    self._contact_age_s[entry.name] = age_s
                    self._oldest_contact_s[entry.name] = max(
                        age_s, self._oldest_contact_s.get(entry.name, 0.0)
                    )
                    calm_s = self.calm_s(entry.name, self._now())
                    if calm_s < age_s:
                        self._longest_recovery_s[entry.name] = max(
                            calm_s,
                            self._longest_recovery_s.get(entry.name, 0.0),
                        )
            await support.next_turn(AGE_PERIOD_S)

    def _now(self) -> float:
        return float(self.there.reactor.seconds())


def make_document(change: Change, padding: int = 0) -> dict[str, typing.Any]:
    """Returns the document of a change.

    Args:
        change: What changes.
        padding: Number of further routes, which change each time.
    """
    document = copy.deepcopy(deployment.DOCUMENT) | {"version": change.number}
    plain = document["routes"][0]
    [jobs] = [route for route in document["routes"] if route["name"] == "jobs"]
    [engines] = [s for s in document["services"] if s["name"] == "engines"]
    document["services"] = [
        engines,
        *(
            document["services"][0] | {"name": f"service-{number}"}
            for number in range(SERVICES)
        ),
    ]
    document["routes"] = [jobs] + [
        plain
        | {
            "name": name,
            "path-prefix": f"/{name}/",
            "service": change.service,
        }
        for name in (
            MOVED,
            *(
                f"of-{number}"
                for number in range(1, change.number + 1)
                if change.has_route(number)
            ),
            *(f"further-{number}" for number in range(padding)),
        )
    ]
    return document


def leads(store: world.Member) -> bool:
    """Whether a store was elected and has not stepped down, by its log."""
    latest = ""
    for event in store.events():
        if event["event"] in LEADERSHIP_EVENTS:
            latest = event["event"]
    return store.is_up and latest == "leader.elected"
