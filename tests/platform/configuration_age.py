"""Measures the age of the configuration that entries act on under faults.

python -m tests.platform.configuration_age --seed 7 --seconds 60
python -m tests.platform.configuration_age --case "path to the leader silent"
"""

import collections
import copy
import json
import math
import pathlib
import random
import signal
import sys
import tempfile
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
ENTRIES = 3
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
START_LIMIT_S = 40.0
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
            for event in read_events(entry):
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


def read_events(member: world.Member) -> list[dict[str, typing.Any]]:
    """Returns what a process has logged."""
    events = []
    for line in (member.folder / "log.txt").read_text("utf-8").splitlines():
        try:
            events.append(json.loads(line))
        except ValueError:
            continue
    return [event for event in events if isinstance(event, dict)]


def leads(store: world.Member) -> bool:
    """Whether a store was elected and has not stepped down, by its log."""
    latest = ""
    for event in read_events(store):
        if event["event"] in LEADERSHIP_EVENTS:
            latest = event["event"]
    return store.is_up and latest == "leader.elected"


Inject = typing.Callable[
    [Observer, str, str], typing.Coroutine[typing.Any, typing.Any, None]
]
"""Injects a fault, given an entry and the leader, and returns when it is
over."""


def _cut_path(
    seconds: float,
    *,
    there: bool = True,
    back: bool = True,
    loses: bool = False,
) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        links = observer.there.links
        if there:
            links.cut([entry], [leader])
        if back:
            links.cut([leader], [entry])
        await support.next_turn(seconds)
        if loses:
            links.silence_between([entry], [leader])
        for one, other in ((entry, leader), (leader, entry)):
            links.way(one, other).heal()

    return inject


def _delay_path(one_way_s: float, seconds: float) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        observer.there.links.delay([entry], [leader], one_way_s)
        await support.next_turn(seconds)
        observer.there.links.delay([entry], [leader], 0.0)

    return inject


async def _harm_each_path(observer: Observer, entry: str, leader: str) -> None:
    """Harms the path of each entry to the leader in another way."""
    del entry
    harms = (
        _cut_path(8.0, back=False),
        _cut_path(8.0, there=False),
        _delay_path(0.5, 8.0),
    )
    await defer.gatherResults(
        defer.ensureDeferred(harm(observer, one.name, leader))
        for harm, one in zip(harms, observer.there.entries, strict=True)
    )


def _flap_path(down_s: float, up_s: float, times: int) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        for _ in range(times):
            await _cut_path(down_s, loses=True)(observer, entry, leader)
            await support.next_turn(up_s)

    return inject


def _isolate_entry(seconds: float) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        links = observer.there.links
        stores = [store.name for store in observer.there.stores]
        links.part([entry], stores)
        await support.next_turn(seconds)
        links.silence_between([entry], stores)
        links.heal()

    return inject


def _stop_leader(stopped_s: float, running_s: float, times: int) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        del entry
        for _ in range(times):
            store = observer.there.members[leader]
            store.signal(signal.SIGSTOP)
            await support.next_turn(stopped_s)
            store.signal(signal.SIGCONT)
            await support.next_turn(running_s)
            leader = observer.leader()

    return inject


def _kill_leader(down_s: float, times: int, ahead_ms: int = 0) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        del entry
        for _ in range(times):
            store = observer.there.members[leader]
            store.kill()
            await support.next_turn(down_s)
            store.clock_ahead_ms -= ahead_ms
            store.start()
            await support.next_turn(5.0)
            leader = observer.leader()

    return inject


def _reset_links(every_s: float, times: int) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        del entry, leader
        for _ in range(times):
            observer.there.links.reset()
            await support.next_turn(every_s)

    return inject


def _silence_links(every_s: float, times: int, *, path: bool = False) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        for _ in range(times):
            if path:
                observer.there.links.silence_between([entry], [leader])
            else:
                observer.there.links.silence()
            await support.next_turn(every_s)

    return inject


def _read_while(inject: Inject, readers: int) -> Inject:
    async def read_and_inject(
        observer: Observer, entry: str, leader: str
    ) -> None:
        member = observer.there.members[entry]
        await observer.read_results(member, readers)
        await inject(observer, entry, leader)

    return read_and_inject


def _near_store(observer: Observer, entry: str) -> world.Member:
    """Returns the store in the failure domain of an entry."""
    zone = observer.there.members[entry].settings["zone"]
    [near] = [s for s in observer.there.stores if s.settings["zone"] == zone]
    return near


def _stop_near_store(seconds: float) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        near = _near_store(observer, entry)
        assert near.name != leader
        near.signal(signal.SIGSTOP)
        await support.next_turn(seconds)
        near.signal(signal.SIGCONT)

    return inject


def _lose_near_store(seconds: float) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        near = _near_store(observer, entry)
        assert near.name != leader
        observer.there.links.isolate(near.name)
        near.kill()
        await support.next_turn(seconds)
        observer.there.links.heal()
        near.start()

    return inject


def _silence_near_store(seconds: float) -> Inject:
    async def inject(observer: Observer, entry: str, leader: str) -> None:
        near = _near_store(observer, entry)
        await _cut_path(seconds)(observer, entry, near.name)

    return inject


async def _restart_entry_in_past(
    observer: Observer, entry: str, leader: str
) -> None:
    """Restarts an entry with a clock that was set back by a minute.

    The leader knows the entry's newer life; the other stores may not.
    """
    del leader
    member = observer.there.members[entry]
    member.kill()
    member.clock_ahead_ms -= 60_000
    member.start()
    await support.next_turn(10.0)


async def _let_store_in_past_lead(
    observer: Observer, entry: str, leader: str
) -> None:
    """Lets a store lead whose newer life only the entries remember."""
    del entry
    past, other = [s for s in observer.there.stores if s.name != leader]
    past.kill()
    past.clock_ahead_ms -= 60_000
    past.start()
    for store in (other, observer.there.members[leader]):
        await support.next_turn(3.0)
        store.kill()
        store.start()
    await support.next_turn(3.0)
    for _ in range(4):
        leading = [s for s in observer.there.stores if leads(s)]
        if past in leading:
            break
        for store in leading:
            store.kill()
            await support.next_turn(2.0)
            store.start()
        await support.next_turn(3.0)
    await support.next_turn(8.0)


async def _enlarge_documents(
    observer: Observer, entry: str, leader: str
) -> None:
    del entry, leader
    observer.padding = 3000
    await support.next_turn(12.0)


async def _move_lead_to_store_in_past(
    observer: Observer, entry: str, leader: str
) -> None:
    """Restarts a follower with a clock set back, and lets it lead."""
    del entry
    [first, second] = [s for s in observer.there.stores if s.name != leader]
    first.kill()
    first.clock_ahead_ms -= 60_000
    first.start()
    await support.next_turn(4.0)
    links = observer.there.links
    links.part([leader], [first.name, second.name])
    await support.next_turn(6.0)
    links.heal()


CASES: dict[str, Inject] = {
    "path to the leader silent": _cut_path(8.0),
    "path to the leader silent, its bytes lost": _cut_path(8.0, loses=True),
    "path to the leader silent for 3 s": _cut_path(3.0, loses=True),
    "entry not heard by the leader": _cut_path(8.0, back=False),
    "entry does not hear the leader": _cut_path(8.0, there=False),
    "each path to the leader harmed": _harm_each_path,
    "path to the leader flaps": _flap_path(1.6, 0.3, 5),
    "path delayed by 0.15 s": _delay_path(0.15, 8.0),
    "path delayed by 0.3 s": _delay_path(0.3, 8.0),
    "path delayed by 0.5 s": _delay_path(0.5, 8.0),
    "path delayed by 1 s": _delay_path(1.0, 8.0),
    "entry isolated": _isolate_entry(6.0),
    "leader stopped for 0.5 s": _stop_leader(0.5, 1.0, 6),
    "leader stopped for 0.9 s": _stop_leader(0.9, 0.4, 6),
    "leader stopped for 2 s": _stop_leader(2.0, 2.0, 4),
    "leader stopped for 3 s": _stop_leader(3.0, 3.0, 3),
    "leader killed": _kill_leader(0.1, 3),
    "leader killed for 2 s": _kill_leader(2.0, 3),
    "leader killed, its clock set back": _kill_leader(0.1, 1, 60_000),
    "entry restarted, its clock set back": _restart_entry_in_past,
    "store in the past leads": _let_store_in_past_lead,
    "documents of 3000 routes": _enlarge_documents,
    "leader's clock was set back": _move_lead_to_store_in_past,
    "near store stopped": _stop_near_store(10.0),
    "near store stopped, results read": _read_while(_stop_near_store(10.0), 6),
    "near store lost, results read": _read_while(_lose_near_store(10.0), 6),
    "path to the near store silent, results read": _read_while(
        _silence_near_store(10.0), 6
    ),
    "results read": _read_while(_reset_links(8.0, 1), 6),
    "links reset": _reset_links(0.5, 16),
    "links reset often": _reset_links(0.1, 80),
    "links go silent": _silence_links(4.0, 3),
    "links go silent often": _silence_links(1.0, 10),
    "path goes silent": _silence_links(4.0, 3, path=True),
    "path goes silent often": _silence_links(1.0, 10, path=True),
}
"""Faults by name."""


def play_case(
    name: str, folder: pathlib.Path, pause_s: float = 0.6, settle_s: float = 5.0
) -> Report:
    """Makes changes while one fault is in force, and after it.

    Args:
        name: One of `CASES`.
        folder: For settings, data and logs.
        pause_s: Mean time between two changes.
        settle_s: Time for which the observation goes on after the fault.
    """

    async def play() -> Report:
        there = world.World(folder, ENTRIES)
        observer = Observer(there, random.Random(name))
        try:
            await observer.begin()
            await support.next_turn(1.0)
            leader = observer.leader()
            zone = there.members[leader].settings["zone"]
            observer.start(observer.change_until(float("inf"), pause_s))
            await support.next_turn(1.0)
            observer.fault_began_at = there.reactor.seconds()
            [entry, *_] = [
                e for e in there.entries if e.settings["zone"] != zone
            ]
            await observer.inject(
                name, [entry.name], CASES[name](observer, entry.name, leader)
            )
            observer.fault_ended_at = there.reactor.seconds()
            await support.next_turn(settle_s)
            return observer.report()
        finally:
            await observer.end()

    return support.run_async(play, START_LIMIT_S + 60.0)


Draw = typing.Callable[
    [Observer],
    tuple[str, list[str], typing.Coroutine[typing.Any, typing.Any, None]],
]
"""Draws a fault; returns what it is, whom it concerns, and its injection."""


def _draw_path_fault(
    observer: Observer,
) -> tuple[str, list[str], typing.Coroutine[typing.Any, typing.Any, None]]:
    rng = observer.rng
    entry = rng.choice(observer.there.entries).name
    store = (
        observer.leader()
        if rng.random() < 0.7
        else rng.choice(observer.there.stores).name
    )
    seconds = rng.choice((0.3, 1.0, 2.0, 4.0, 8.0)) * rng.uniform(0.6, 1.4)
    ways = rng.choice(((True, True), (True, False), (False, True)))
    end = rng.choice(("heals", "resends", "loses"))

    async def inject() -> None:
        links = observer.there.links
        pairs = ((entry, store), (store, entry))
        for (source, target), is_cut in zip(pairs, ways, strict=True):
            if is_cut:
                links.cut([source], [target])
        await support.next_turn(seconds)
        if end == "loses":
            links.silence_between([entry], [store])
        if end == "resends":
            links.heal_resending([entry], [store])
        for source, target in pairs:
            links.way(source, target).heal()

    what = f"path {entry} {store} {ways} {seconds:.2f} s {end}"
    return what, [entry], inject()


def _draw_entry_fault(
    observer: Observer,
) -> tuple[str, list[str], typing.Coroutine[typing.Any, typing.Any, None]]:
    rng = observer.rng
    entry = rng.choice(observer.there.entries)
    seconds = rng.uniform(0.3, 4.0)
    stores = [store.name for store in observer.there.stores]
    kind = rng.choice(("stopped", "isolated", "silenced", "delayed"))

    async def inject() -> None:
        links = observer.there.links
        if kind == "silenced":
            links.silence_between([entry.name], stores)
            return
        if kind == "stopped":
            entry.signal(signal.SIGSTOP)
        elif kind == "isolated":
            links.part([entry.name], stores)
        else:
            links.delay([entry.name], stores, 0.3)
        await support.next_turn(seconds)
        if kind == "stopped":
            entry.signal(signal.SIGCONT)
        elif kind == "isolated":
            links.heal_resending([entry.name], stores)
        else:
            links.delay([entry.name], stores, 0.0)

    return f"{entry.name} {kind} {seconds:.2f} s", [entry.name], inject()


def _draw_store_fault(
    observer: Observer,
) -> tuple[str, list[str], typing.Coroutine[typing.Any, typing.Any, None]]:
    rng = observer.rng
    store = (
        observer.there.members[observer.leader()]
        if rng.random() < 0.7
        else rng.choice(observer.there.stores)
    )
    seconds = rng.choice((0.3, 1.0, 3.0)) * rng.uniform(0.5, 1.5)
    kind = rng.choice(("stopped", "killed", "cut", "reset", "silenced"))

    async def inject() -> None:
        links = observer.there.links
        others = [name for name in observer.there.members if name != store.name]
        if kind == "reset":
            links.reset()
        elif kind == "silenced":
            links.silence()
        elif kind == "stopped":
            store.signal(signal.SIGSTOP)
            await support.next_turn(seconds)
            store.signal(signal.SIGCONT)
        elif kind == "killed":
            store.kill()
            await support.next_turn(seconds)
            store.start()
            await support.next_turn(3.0)
        else:
            links.part([store.name], others)
            await support.next_turn(seconds)
            links.heal_resending([store.name], others)

    return f"{store.name} {kind} {seconds:.2f} s", [store.name], inject()


def _draw_silence(
    observer: Observer,
) -> tuple[str, list[str], typing.Coroutine[typing.Any, typing.Any, None]]:
    stores = [store.name for store in observer.there.stores]

    async def inject() -> None:
        observer.there.links.silence()

    return "all links silent", stores, inject()


def _draw_entry_silence(
    observer: Observer,
) -> tuple[str, list[str], typing.Coroutine[typing.Any, typing.Any, None]]:
    stores = [store.name for store in observer.there.stores]
    entries = [entry.name for entry in observer.there.entries]

    async def inject() -> None:
        observer.there.links.silence_between(entries, stores)

    return "all links of entries silent", entries, inject()


DRAWS: dict[str, tuple[Draw, ...]] = {
    "entries": (_draw_path_fault, _draw_entry_fault),
    "stores": (_draw_store_fault,),
    "silence": (_draw_silence,),
    "entry silence": (_draw_entry_silence,),
    "all": (_draw_path_fault, _draw_entry_fault, _draw_store_fault),
}
"""Kinds of faults to draw from in a series, by name."""


def play_series(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    draws: str = "all",
    entries: int = 2 * ENTRIES,
    pause_s: float = 1.5,
) -> tuple[Report, list[Fault]]:
    """Makes changes while faults come in series and overlap.

    Args:
        seed: Draws all that is drawn.
        seconds: For how long faults are injected.
        folder: For settings, data and logs.
        draws: One of `DRAWS`.
        entries: Number of entries.
        pause_s: Mean time between two faults.
    """

    async def play() -> tuple[Report, list[Fault]]:
        there = world.World(folder, entries)
        observer = Observer(there, random.Random(seed))
        try:
            await observer.begin()
            await support.next_turn(1.0)
            observer.start(observer.change_until(math.inf, 0.7))
            observer.fault_began_at = there.reactor.seconds()
            while there.reactor.seconds() < observer.fault_began_at + seconds:
                what, harmed, fault = observer.rng.choice(DRAWS[draws])(
                    observer
                )
                observer.start(observer.inject(what, harmed, fault))
                await support.next_turn(
                    pause_s * observer.rng.choice((0.2, 0.6, 1.0, 4.0))
                )
            await support.until(
                lambda: all(f.ended_at < math.inf for f in observer.faults)
            )
            observer.fault_ended_at = there.reactor.seconds()
            await support.next_turn(8.0)
            return observer.report(), observer.faults
        finally:
            await observer.end()

    return support.run_async(play, 2 * START_LIMIT_S + 2 * seconds)


def main(
    case: str = "",
    keep: str = "",
    seed: int = 0,
    runs: int = 1,
    seconds: float = 60.0,
    draws: str = "all",
    entries: int = 2 * ENTRIES,
    pause_s: float = 1.5,
) -> None:
    """Plays cases or series and prints what entries did.

    Args:
        case: Part of the names of the cases to play; all if empty.
        keep: Folder for the logs.
        seed: Seed of the first series; 0 for cases.
        runs: Number of series.
        seconds: For how long a series injects faults.
        draws: Kinds of faults of a series, one of `DRAWS`.
        entries: Number of entries of a series.
        pause_s: Mean time between two faults of a series.
    """
    for number in range(seed, seed + runs) if seed else ():
        folder = pathlib.Path(tempfile.mkdtemp(prefix="age-", dir=keep or None))
        report, faults = play_series(
            number, seconds, folder, draws, entries, pause_s
        )
        sys.stdout.write(
            f"== seed {number}: {format_report(report)}  logs {folder}\n"
        )
        calm = [b for b in report.breaches if b.calm_s >= CONTACT_S]
        sys.stdout.write(f"  {len(calm)} breaches in contact\n")
        for breach in calm[:20]:
            sys.stdout.write(f"  in contact: {breach}\n")
        if report.breaches:
            sys.stdout.writelines(f"  {fault}\n" for fault in faults)
        sys.stdout.flush()
    if seed:
        return
    for name in CASES:
        if case not in name:
            continue
        folder = pathlib.Path(tempfile.mkdtemp(prefix="age-", dir=keep or None))
        report = play_case(name, folder)
        sys.stdout.write(f"== {name}: {format_report(report)}  logs {folder}\n")
        sys.stdout.flush()


def format_report(report: Report) -> str:
    """Returns a report as text."""
    ages = ", ".join(
        f"{entry}: acted on a version overtaken {oldest_s:.2f} s before, "
        f"{report.contact_age_s.get(entry, 0.0):.2f} s without a leader, "
        f"{report.longest_recovery_s.get(entry, 0.0):.2f} s after faults"
        for entry, oldest_s in sorted(report.oldest_s.items())
    )
    worst: dict[str, Breach] = {}
    for breach in report.breaches:
        held = worst.get(breach.entry)
        if held is None or held.late_s < breach.late_s:
            worst[breach.entry] = breach
    return (
        f"{len(report.breaches)} breaches\n"
        f"  observer late by up to "
        f"{max((late for _, late in report.late_loops), default=0.0):.2f} s, "
        f"{len(report.late_loops)} times\n"
        f"  {report.acknowledged} changes, {report.acknowledged_under_fault} "
        "of them acknowledged under the fault, in at most "
        f"{max(report.ack_s):.2f} s\n  {ages}\n"
        + "".join(f"  worst {breach}\n" for breach in worst.values())
        + "".join(f"  {e} {c}\n" for e, c in sorted(report.statuses.items()))
    )


if __name__ == "__main__":
    import fire

    fire.Fire(main)
