"""Second attempts of one process: their budget, metrics and log."""

import collections.abc
import random
import typing

import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _attempt_pair
from banyanbank_node import _event_log
from banyanbank_node import _meters
from banyanbank_node import _shared_endpoints


class SecondAttempts:
    """Applies the operators' rules to the requests of one process.

    Args:
        rules: Limits that operators set.
        clock: Monotonic clock.
        shared: Usual times of routes, and what is reported of endpoints.
        rng: Source of randomness; not used if there are no second attempts.
        events: Event log.
        meters: Metrics of the process.
    """

    def __init__(
        self,
        rules: gateway.SecondAttemptRules,
        clock: base.Clock,
        shared: _shared_endpoints.SharedEndpoints,
        rng: random.Random,
        events: _event_log.EventLog,
        meters: _meters.Meters,
    ) -> None:
        self._policy = gateway.SecondAttemptPolicy(rules, rng)
        self._clock = clock
        self._shared = shared
        self._events = events
        self._meters = meters

    def find_delay(
        self, route: gateway.Route, service: str, is_first: bool
    ) -> float | None:
        """Returns when a second attempt may start beside one that begins now.

        Args:
            route: Route of the request; it has at least two attempts left.
            service: Service of the attempt.
            is_first: Whether the request is sent for the first time, and counts
                towards the budget.

        Returns:
            Seconds, or None if there is no second attempt.
        """
        if (
            not self._policy.is_on
            or route.kind is not gateway.RouteKind.IDEMPOTENT
            or service not in self._shared.services
        ):
            return None
        if is_first:
            self._policy.count_request()
        return self._policy.find_delay(
            self._shared.find_latency(service, route.name), route.objective_s
        )

    def start(
        self,
        service: str,
        ranked: collections.abc.Iterable[gateway.Announcement],
    ) -> gateway.Announcement | None:
        """Returns the endpoint of a second attempt; None if there is none.

        Args:
            service: Service of the first attempt.
            ranked: Other endpoints that may be used, the best one first.
        """
        chosen = self._policy.start(service, ranked, self._clock.now())
        if isinstance(chosen, gateway.Obstacle):
            self._meters.second_attempts.add(1, chosen.value)
            return None
        self._meters.second_attempts.add(1, "started")
        return chosen

    def record_end(
        self,
        run: _attempt_pair.Run,
        route: gateway.Route,
        started_at: float,
        delay_s: float,
    ) -> None:
        """Records the end of an attempt that was one of a pair.

        Args:
            run: The attempt.
            route: Route of the request.
            started_at: When it started.
            delay_s: Seconds after which the second attempt was considered.
        """
        if run.is_second:
            self._policy.ended(run.target.endpoint)
        if not run.is_superseded:
            return
        took_s = self._clock.now() - started_at
        self._meters.cancelled_seconds.add(
            took_s, "second" if run.is_second else "first"
        )
        # A shorter one may not have been slow at all.
        if took_s >= delay_s:
            self._shared.record_cut(run.target, route, took_s)

    def record_rejection(
        self, target: gateway.Announcement, route: gateway.Route
    ) -> None:
        """Records that an endpoint had no room for a request."""
        if self._policy.is_on:
            self._policy.rejected(target.service, self._clock.now())
            self._shared.record_rejection(target, route)

    def log(
        self,
        request: str,
        pair: _attempt_pair.AttemptPair[typing.Any],
        first: _attempt_pair.Run,
        delay_s: float,
        is_cancelled: bool,
    ) -> None:
        """Logs and counts the end of a pair with a second attempt.

        Args:
            request: Id of the request.
            pair: The pair.
            first: Its first attempt.
            delay_s: Seconds after which the second attempt was considered.
            is_cancelled: Whether nobody needs the answer any more.
        """
        if pair.second is None:
            return
        if pair.winner is not None:
            outcome = "won" if pair.winner is pair.second else "lost"
        else:
            outcome = "cancelled" if is_cancelled else "failed"
        self._meters.second_attempts.add(1, outcome)
        self._events.write(
            "request.second_attempt",
            request=request,
            first=first.target.endpoint,
            second=pair.second.target.endpoint,
            outcome=outcome,
            after_ms=round(1000 * delay_s),
        )


def make_disabled(
    clock: base.Clock,
    shared: _shared_endpoints.SharedEndpoints,
    events: _event_log.EventLog,
    meters: _meters.Meters,
) -> SecondAttempts:
    """Returns an object for a process without second attempts."""
    return SecondAttempts(
        gateway.SecondAttemptRules(),
        clock,
        shared,
        random.Random(0),
        events,
        meters,
    )
