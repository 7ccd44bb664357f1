"""Model of entries that choose among shared plain endpoints.

Runs the real picker, collector and figures of each instance in simulated time.
Entries poll every 0.5 s, so that reports and figures are up to 0.5 s old each.
The leader sends bursts of scorer calls, a bounded number to each endpoint.
"""

import collections
import collections.abc
import heapq
import math
import random
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from tests.gateway import samples

POLL_INTERVAL_S = 0.5
SLOTS = 6
QUEUE = 24
REPLY_S = 0.002
"""Time of a round trip, and of a rejection or error."""
LOST_S = 1.0
"""Time after which an answer counts as lost, which half of the failures are."""
MAX_ATTEMPTS = 3
SCORER_ROOM = 4
"""Scorer calls that the leader has in flight at an endpoint."""
OBJECTIVE_S = 0.15
IDLE_S = 20.0
"""Time for which an idle connection is kept."""

Choose = collections.abc.Callable[
    ["Instance", list[gateway.Announcement], set[str], float],
    gateway.Announcement | None,
]


@attrs.define
class Endpoint:
    """An endpoint with slots and a queue."""

    target: gateway.Announcement
    speed: float
    slow_spans: tuple[tuple[float, float], ...] = ()
    """Times in which it takes 2.5 times as long."""
    failing_span: tuple[float, float] = (math.inf, math.inf)
    """Time in which it fails half of its requests."""
    running: int = 0
    waiting: collections.deque[typing.Any] = attrs.Factory(collections.deque)

    def duration(self, work_s: float, now: float) -> float:
        """Returns how long work takes that begins now."""
        is_slow = any(start <= now < end for start, end in self.slow_spans)
        return work_s * (2.5 if is_slow else 1.0) / self.speed


@attrs.define
class Instance:
    """An entry, or the leader."""

    name: str
    picker: gateway.EndpointPicker
    rng: random.Random
    figures: gateway.KnownFigures = attrs.Factory(gateway.KnownFigures)
    log: gateway.SampleLog = attrs.Factory(gateway.SampleLog)
    used_at: dict[str, float] = attrs.Factory(dict)
    """End of the last request by endpoint; its connection is kept."""


@attrs.define
class _Request:
    sender: Instance
    route: str
    work_s: float
    arrived_at: float
    tried: set[str] = attrs.Factory(set)
    sent_at: float = 0.0
    runs: int = 0


@attrs.define
class Result:
    """What happened to the interactive requests."""

    times: list[float] = attrs.Factory(list)
    """Times of the answers."""
    failed: int = 0
    """Requests without an answer."""
    sent: collections.Counter[str] = attrs.Factory(collections.Counter)
    """Attempts by endpoint."""
    sent_at: list[tuple[float, str]] = attrs.Factory(list)
    """Time and endpoint of each attempt."""
    revisions: int = 0
    """Changes of the figures."""

    @property
    def late_share(self) -> float:
        """Share of the requests that failed or missed the objective."""
        late = sum(time > OBJECTIVE_S for time in self.times)
        return (late + self.failed) / (len(self.times) + self.failed)

    def quantile(self, share: float) -> float:
        """Returns a quantile of the times."""
        return sorted(self.times)[int(share * (len(self.times) - 1))]


class Model:
    """One run; see `Model.run`."""

    def __init__(
        self,
        endpoints: list[Endpoint],
        choose: Choose,
        seed: int,
        entries: int = 65,
        rate_per_s: float = 6.0,
        burst: tuple[int, int] = (64, 232),
    ) -> None:
        self.endpoints = {one.target.endpoint: one for one in endpoints}
        self.targets = [one.target for one in endpoints]
        self.rng = random.Random(seed)
        self.now = 0.0
        self.result = Result()
        self.collector = gateway.FigureCollector()
        self._choose = choose
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._queue: list[tuple[float, int, typing.Any]] = []
        self._number = 0
        self._calls: collections.deque[_Request] = collections.deque()
        self._calls_at: collections.Counter[str] = collections.Counter()
        self.entries = [self._make(f"entry-{n}", n) for n in range(entries)]
        self.leader = self._make("leader", 0)

    def run(self, seconds: float) -> Result:
        """Returns what happened to the interactive requests."""
        for entry in self.entries:
            self._at(self.rng.uniform(0, POLL_INTERVAL_S), self._poll, entry)
        self._at(0.0, self._arrive)
        if self._burst[1]:
            self._at(0.0, self._start_burst)
        while self._queue and self._queue[0][0] < seconds:
            self.now, _, (action, args) = heapq.heappop(self._queue)
            action(*args)
        self.result.revisions = self.collector.revision - 1
        return self.result

    def _make(self, name: str, number: int) -> Instance:
        rng = random.Random(self.rng.random())
        domain = base.FailureDomain("abc"[number % 3])
        return Instance(name, gateway.EndpointPicker(domain, rng), rng)

    def _at(self, when: float, action: typing.Any, *args: object) -> None:
        self._number += 1
        heapq.heappush(self._queue, (when, self._number, (action, args)))

    def _poll(self, entry: Instance) -> None:
        self.collector.add(entry.name, entry.log.take(), self.now)
        entry.log.confirm()
        figures = self.collector.find_figures(self.now)
        entry.figures.replace("leader/1", figures, self.now)
        self._at(self.now + POLL_INTERVAL_S, self._poll, entry)

    def _arrive(self) -> None:
        self._at(
            self.now + self.rng.expovariate(self._rate_per_s), self._arrive
        )
        sender = self.rng.choice(self.entries)
        work_s = self.rng.uniform(0.022, 0.025)
        self._send(_Request(sender, "interactive", work_s, self.now))

    def _start_burst(self) -> None:
        self._at(self.now + 4.0, self._start_burst)
        for _ in range(self.rng.randint(*self._burst)):
            self._calls.append(_Request(self.leader, "score", 0.2, self.now))
        self._send_calls()

    def _send_calls(self) -> None:
        self.collector.add("leader", self.leader.log.take(), self.now)
        self.leader.log.confirm()
        figures = self.collector.find_figures(self.now)
        self.leader.figures.replace("leader/1", figures, self.now)
        while self._calls and any(
            self._calls_at[target.endpoint] < SCORER_ROOM
            for target in self.targets
        ):
            self._send(self._calls.popleft())

    def _send(self, req: _Request) -> None:
        is_call = req.sender is self.leader
        open_targets = [
            target
            for target in self.targets
            if not is_call or self._calls_at[target.endpoint] < SCORER_ROOM
        ]
        target = self._choose(req.sender, open_targets, req.tried, self.now)
        if target is None or req.runs >= MAX_ATTEMPTS:
            self.result.failed += not is_call
            return
        req.tried.add(target.endpoint)
        req.sent_at = self.now
        req.sender.picker.started(target.endpoint)
        if is_call:
            self._calls_at[target.endpoint] += 1
        else:
            self.result.sent[target.endpoint] += 1
            self.result.sent_at.append((self.now, target.endpoint))
        self._reach(self.endpoints[target.endpoint], req)

    def _reach(self, endpoint: Endpoint, req: _Request) -> None:
        start, end = endpoint.failing_span
        if start <= self.now < end and self.rng.random() < 0.5:
            req.runs += 1
            took_s = self.rng.choice((REPLY_S, LOST_S))
            self._at(self.now + took_s, self._end, endpoint, req, "failed")
        elif endpoint.running < SLOTS:
            self._begin(endpoint, req)
        elif len(endpoint.waiting) < QUEUE:
            endpoint.waiting.append(req)
        else:
            self._at(self.now + REPLY_S, self._end, endpoint, req, "rejected")

    def _begin(self, endpoint: Endpoint, req: _Request) -> None:
        endpoint.running += 1
        req.runs += 1
        took_s = endpoint.duration(req.work_s, self.now)
        self._at(self.now + took_s, self._finish, endpoint, req)

    def _finish(self, endpoint: Endpoint, req: _Request) -> None:
        endpoint.running -= 1
        if endpoint.waiting:
            self._begin(endpoint, endpoint.waiting.popleft())
        self._end(endpoint, req, "answered")

    def _end(self, endpoint: Endpoint, req: _Request, outcome: str) -> None:
        target, sender = endpoint.target, req.sender
        sender.picker.ended(target.endpoint)
        sender.used_at[target.endpoint] = self.now
        if sender is self.leader:
            self._calls_at[target.endpoint] -= 1
        if outcome == "answered":
            took_s = self.now - req.sent_at + REPLY_S
            sender.log.record_success(target, req.route, took_s)
            sender.picker.succeeded(target.endpoint)
            if sender is not self.leader:
                self.result.times.append(self.now - req.arrived_at + REPLY_S)
        else:
            if outcome == "failed":
                sender.log.record_failure(target, req.route)
                sender.picker.failed(target.endpoint, req.sent_at, self.now)
            else:
                sender.picker.rejected(target.endpoint, self.now)
            self._send(req)
        if sender is self.leader:
            self._send_calls()


def make_endpoints(
    speeds: collections.abc.Sequence[float],
) -> list[Endpoint]:
    """Returns endpoints in three failure domains."""
    return [
        Endpoint(
            samples.make_announcement(
                f"e{number}",
                address=f"10.0.0.{number + 1}:80",
                domain=base.FailureDomain("abc"[number % 3]),
                slots=SLOTS,
            ),
            speed,
        )
        for number, speed in enumerate(speeds)
    ]


UNEQUAL = [0.7 + number / 9 for number in range(10)]
"""Speeds of endpoints of one service."""

EQUAL = [1.0] * 10


def choose_random(
    sender: Instance,
    targets: list[gateway.Announcement],
    tried: set[str],
    now: float,
) -> gateway.Announcement | None:
    """Any endpoint."""
    del now
    fresh = [target for target in targets if target.endpoint not in tried]
    return sender.rng.choice(fresh) if fresh else None


def choose_least_load(
    sender: Instance,
    targets: list[gateway.Announcement],
    tried: set[str],
    now: float,
) -> gateway.Announcement | None:
    """The least own load, as for services that are not shared."""
    ranked = sender.picker.rank(targets, tried, now)
    return ranked[0] if ranked else None


def choose_fastest(
    sender: Instance,
    targets: list[gateway.Announcement],
    tried: set[str],
    now: float,
) -> gateway.Announcement | None:
    """The least expected time by the figures, without a draw."""
    fresh = [target for target in targets if target.endpoint not in tried]
    return min(fresh, key=lambda one: _expect(sender, one, now), default=None)


def choose_of_two(
    sender: Instance,
    targets: list[gateway.Announcement],
    tried: set[str],
    now: float,
) -> gateway.Announcement | None:
    """The better of two random endpoints, by expected time."""
    fresh = [target for target in targets if target.endpoint not in tried]
    drawn = sender.rng.sample(fresh, min(2, len(fresh)))
    return min(drawn, key=lambda one: _expect(sender, one, now), default=None)


def choose_weighted(
    sender: Instance,
    targets: list[gateway.Announcement],
    tried: set[str],
    now: float,
) -> gateway.Announcement | None:
    """The choice for shared services."""
    view = gateway.SharedView(
        sender.figures,
        lambda target: (
            sender.used_at.get(target.endpoint, -math.inf) + IDLE_S > now
        ),
    )
    ranked = sender.picker.rank(targets, tried, now, view=view)
    return ranked[0] if ranked else None


def _expect(
    sender: Instance, target: gateway.Announcement, now: float
) -> tuple[bool, float, float]:
    figure = sender.figures.get(target, now)
    factor = 1.0 if figure is None else figure.time_factor
    load = sender.picker._find_load(target)
    return (
        figure is not None and figure.is_failing,
        factor * (1.0 + load),
        sender.rng.random(),
    )


def find_worst_share(
    result: Result, endpoints: list[Endpoint], since: float = 5.0
) -> float:
    """Returns the largest ratio of an endpoint's requests to its fair share.

    Args:
        result: Result of a run.
        endpoints: Endpoints of the run; shares are proportional to speeds.
        since: Beginning of the count, when speeds are known.
    """
    counts = collections.Counter(
        name for when, name in result.sent_at if when >= since
    )
    speed_sum = sum(one.speed for one in endpoints)
    total = sum(counts.values())
    return max(
        counts[one.target.endpoint] / total * speed_sum / one.speed
        for one in endpoints
    )
