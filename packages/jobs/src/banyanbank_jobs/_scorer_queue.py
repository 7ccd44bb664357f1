"""Decides which waiting scorer call is sent next; performs no I/O.

The items of a step end together, so that 64 to 232 scorer calls of 200 ms start
at once, and the endpoints that take them serve interactive requests of 25 ms
besides. Without a limit, the calls fill the slots and the queues of all
endpoints, and interactive requests wait behind them or are rejected.
"""

import bisect
import collections
import collections.abc
import functools
import typing

import attrs
import banyanbank_base as base

RESERVE_DIVISOR = 3
"""A shared endpoint keeps one slot in this many, rounded down, free of scorer
calls."""

DUE_INTERVAL_S = 0.5
"""Due times within one such interval count as equal.

Jobs of different accounts never have exactly the same due time, so the calls of
an account with many items would otherwise all precede those of an account whose
job is due a moment later. A step has seconds for the calls that end together.
"""

_LineKey = tuple[str, int, int, base.AccountId]
_Rank = tuple[int, int, int, float, int]


def max_scorer_calls(slots: int, is_shared: bool) -> int:
    """Returns how many scorer calls an endpoint may have in flight.

    Args:
        slots: Requests that the endpoint runs concurrently.
        is_shared: Whether its service takes requests of other routes.
    """
    slots = max(1, slots)
    if slots == 1 or not is_shared:
        return slots
    return slots - max(1, slots // RESERVE_DIVISOR)


@attrs.frozen(eq=False)
class WaitingScorerCall:
    """Scorer call that waits for an endpoint."""

    service: str
    """Service that grades the text."""
    account: base.AccountId
    """Client account of the job."""
    priority: int
    """Priority of the job; 0 is the most urgent."""
    due_at: float
    """Unix time at which the job is due."""
    sequence: int
    """Rises with each call that begins; unique among waiting calls."""
    tried: frozenset[base.EndpointId] = frozenset()
    """Endpoints that the call was sent to already, and is not sent to again."""


@attrs.frozen
class ScorerEndpoint:
    """Endpoint that accepts requests."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int
    """Start of its life, as Unix time in milliseconds."""
    max_calls: int | None
    """Limit on the scorer calls in flight; None for no limit."""
    is_failing: bool = False
    """Whether it failed recently, so that others are preferred."""


class ScorerQueue:
    """Waiting scorer calls, and the number in flight at each endpoint.

    Calls are sent in order of priority and then of due time. Among calls with
    the same priority and about the same due time, the account with the fewest
    calls in flight at the service comes first, so that a large account delays
    the small ones by the time of one call only.

    Calls in flight are counted by life of an endpoint: those of an earlier life
    take no slot of the present one.
    """

    def __init__(self) -> None:
        # Sorted by due time and sequence.
        self._lines: dict[_LineKey, list[WaitingScorerCall]] = {}
        self._retries: set[WaitingScorerCall] = set()
        self._size = 0
        self._in_flight: collections.Counter[tuple[base.EndpointId, int]] = (
            collections.Counter()
        )
        self._in_flight_of: collections.Counter[tuple[str, base.AccountId]] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return self._size

    def services(self) -> list[str]:
        """Returns the services that calls wait for."""
        return sorted({key[0] for key in self._lines})

    def add(self, call: WaitingScorerCall) -> None:
        """Adds a waiting call."""
        line = self._lines.setdefault(_line_key(call), [])
        bisect.insort(line, call, key=_order)
        self._size += 1
        if call.tried:
            self._retries.add(call)

    def discard(self, call: WaitingScorerCall) -> None:
        """Removes a call that is sent or no longer wanted, if it waits."""
        key = _line_key(call)
        line = self._lines.get(key, [])
        index = bisect.bisect_left(line, _order(call), key=_order)
        if index == len(line) or line[index] is not call:
            return
        del line[index]
        if not line:
            del self._lines[key]
        self._size -= 1
        self._retries.discard(call)

    def choose(
        self, service: str, endpoints: collections.abc.Sequence[ScorerEndpoint]
    ) -> WaitingScorerCall | None:
        """Returns the call to send now, or None if all have to wait.

        A call rather waits for an endpoint than goes to a failing one, which
        might hold it until its timeout. Failing endpoints are used if there are
        no others. A retry for which no endpoint is left does not wait, either.

        Args:
            service: Service whose waiting calls are considered.
            endpoints: Endpoints of the service that accept requests.
        """

        # Calls that were lost together have tried the same endpoints.
        @functools.cache
        def may_go(tried: frozenset[base.EndpointId]) -> bool:
            return self._may_go(tried, endpoints)

        if not may_go(frozenset()):
            # Only calls that ignore some of the endpoints can go.
            eligible = (
                call
                for call in self._retries
                if call.service == service and may_go(call.tried)
            )
            return min(eligible, key=self._rank, default=None)
        lines = [line for key, line in self._lines.items() if key[0] == service]
        lines.sort(key=lambda line: self._rank(line[0]))
        for line in lines:
            for call in line:
                if may_go(call.tried):
                    return call
        return None

    def has_room(self, endpoint: ScorerEndpoint) -> bool:
        """Whether an endpoint may get a further call."""
        if endpoint.max_calls is None:
            return True
        life = (endpoint.endpoint, endpoint.born_ms)
        return self._in_flight[life] < endpoint.max_calls

    def started(
        self,
        service: str,
        account: base.AccountId,
        endpoint: base.EndpointId,
        born_ms: int,
    ) -> None:
        """Records that a call was sent to an endpoint."""
        self._in_flight[endpoint, born_ms] += 1
        self._in_flight_of[service, account] += 1

    def ended(
        self,
        service: str,
        account: base.AccountId,
        endpoint: base.EndpointId,
        born_ms: int,
    ) -> None:
        """Records that a call has ended, in whatever way."""
        _decrement(self._in_flight, (endpoint, born_ms))
        _decrement(self._in_flight_of, (service, account))

    def _may_go(
        self,
        tried: frozenset[base.EndpointId],
        endpoints: collections.abc.Iterable[ScorerEndpoint],
    ) -> bool:
        usable = [each for each in endpoints if each.endpoint not in tried]
        if not usable:
            return bool(tried)
        sound = [each for each in usable if not each.is_failing]
        return any(map(self.has_room, sound or usable))

    def _rank(self, call: WaitingScorerCall) -> _Rank:
        return (
            call.priority,
            _due_interval(call),
            self._in_flight_of[call.service, call.account],
            *_order(call),
        )


def _due_interval(call: WaitingScorerCall) -> int:
    return int(call.due_at // DUE_INTERVAL_S)


def _order(call: WaitingScorerCall) -> tuple[float, int]:
    return (call.due_at, call.sequence)


def _line_key(call: WaitingScorerCall) -> _LineKey:
    return (call.service, call.priority, _due_interval(call), call.account)


def _decrement(
    counter: collections.Counter[typing.Any], key: tuple[object, ...]
) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]
