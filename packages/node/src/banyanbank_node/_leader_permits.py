"""Hands out permits for endpoints with a rate limit, on the leader only."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _cold_endpoints
from banyanbank_node import _endpoint_limits
from banyanbank_node import _leadership
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _permit_messages
from banyanbank_node import _permits
from banyanbank_node import _store_calls

SPREAD_INTERVAL_S = 1.0
"""Interval at which the other stores are told all limits, for the case that
one of them leads next."""

NEW_LEADER_PAUSE_S = 1.0
"""Time after which a new leader's permits for cold endpoints begin to accrue;
what the former one sent without a permit is not known."""


class LeaderPermits:
    """Permits for this process and, by calls, for the entries.

    Implements `consensus.Duty` and `_permits.PermitSource`.

    Args:
        clock: Monotonic clock.
        stored: Replicated ledger.
        directory: Endpoints that are considered alive.
        limits: Rate limits known to this process.
        cold: Cold endpoints, and the rates they take.
        calls: Registers the handlers for calls of entries.
    """

    def __init__(
        self,
        clock: base.Clock,
        stored: _ledger_replica.LedgerReplica,
        directory: gateway.Directory,
        limits: _endpoint_limits.EndpointLimits,
        cold: _cold_endpoints.ColdEndpoints,
        calls: _store_calls.StoreCalls,
    ) -> None:
        self._clock = clock
        self._stored = stored
        self._directory = directory
        self._limits = limits
        self._calls = calls
        self._cold = cold
        self._limiter = gateway.RateLimiter(limits.known, cold.find_rate)
        self._limiter_epoch = 0
        self._led_since = 0.0
        self._next_spread_at = 0.0
        limits.on_observed = self._spread_change
        calls.serve(_permit_messages.TAKE_PERMIT, self._handle_take)
        calls.serve(_permit_messages.REPORT_LIMITS, self._handle_report)

    def tick(self) -> None:
        """Tells the other stores the limits in force."""
        now = self._clock.now()
        self._begin_cold_rates(now)
        if now < self._next_spread_at:
            return
        self._next_spread_at = now + SPREAD_INTERVAL_S
        self._limiter.forget_ended()
        observations = self._limits.known.all()
        if observations:
            self._calls.send_to_stores(
                _permit_messages.LIMITS,
                _permit_messages.LimitsPart(observations),
            )

    def stop(self) -> None:
        """Ends the log of cold endpoints; permits are valid for one epoch."""
        self._cold.stop_observing()

    async def acquire(
        self,
        targets: collections.abc.Sequence[gateway.Announcement],
        deadline: float,
    ) -> _permits.Permit:
        """Takes a permit for a request of this process, without a wait."""
        del deadline
        permit = self._take_first(targets)
        if permit.endpoint is None or not any(
            target.is_cold and target.endpoint == permit.endpoint
            for target in targets
        ):
            return permit
        return attrs.evolve(
            permit, expires_at=self._clock.now() + gateway.MAX_PERMIT_AGE_S
        )

    def count_room(self, target: gateway.Announcement) -> int | None:
        """Returns how many requests an endpoint may get now, or None."""
        return self._current_limiter().count_room(target, self._clock.now())

    def charge(self, target: gateway.Announcement) -> None:
        """Counts a request that this process sends in any case."""
        self._current_limiter().charge(target, self._clock.now())

    def charge_order(self, target: gateway.Announcement) -> None:
        """Counts a report request or an order of weights to an engine."""
        self._current_limiter().charge_order(target, self._clock.now())

    def _current_limiter(self) -> gateway.RateLimiter:
        epoch = self._stored.node.epoch
        if self._limiter_epoch != epoch:
            self._led_since = self._clock.now()
            self._limiter.reset(self._led_since + NEW_LEADER_PAUSE_S)
            if self._stored.has_lease:
                self._limiter_epoch = epoch
        return self._limiter

    def _begin_cold_rates(self, now: float) -> None:
        """Has permits accrue from when an endpoint is first seen as cold.

        Otherwise the first request to each would be refused.
        """
        self._cold.apply_readmissions()
        limiter = self._current_limiter()
        cold = self._cold.observe()
        limiter.forget_warm(cold)
        for target in map(self._directory.get, cold):
            if target is not None:
                limiter.count_room(target, now)

    def _take_first(
        self, targets: collections.abc.Sequence[gateway.Announcement]
    ) -> _permits.Permit:
        now = self._clock.now()
        if not self._stored.has_lease or not targets:
            return _permits.Permit(None, now + _permits.NO_LEADER_RETRY_AFTER_S)
        limiter = self._current_limiter()
        for target in targets:
            if limiter.take(target, now):
                self._cold.count_decision((target,), is_granted=True)
                return _permits.Permit(target.endpoint)
        self._cold.count_decision(targets, is_granted=False)
        soonest = min(
            targets, key=lambda target: limiter.find_turn(target, now)
        )
        return _permits.Permit(None, limiter.promise_turn(soonest, now))

    async def _handle_take(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        if not self._stored.has_lease:
            raise _leadership.NotLeaderError
        req: _permit_messages.PermitRequest = _messages.CODEC.decode(data)
        self._apply(req.limits)
        self._current_limiter()
        if self._cold.apply_reports(req.cold, self._led_since):
            self._calls.changes.wake()
        targets = [
            announcement
            for announcement in map(self._directory.get, req.endpoints)
            if announcement is not None
        ]
        permit = self._take_first(targets)
        retry_after_s = max(0.0, permit.retry_at - self._clock.now())
        return _permit_messages.PermitAnswer(
            permit.endpoint or "",
            retry_after_s,
            is_cold=any(
                target.endpoint == permit.endpoint
                and self._cold.find_rate(target) is not None
                for target in targets
            ),
        )

    async def _handle_report(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        part: _permit_messages.LimitsPart = _messages.CODEC.decode(data)
        self._apply(part.observations)
        return _messages.Accepted()

    def _apply(
        self, observations: typing.Iterable[gateway.LimitObservation]
    ) -> None:
        for observation in observations:
            if self._limits.apply(observation):
                self._spread_change(observation)

    def _spread_change(self, observation: gateway.LimitObservation) -> None:
        self._calls.changes.wake()
        self._calls.send_to_stores(
            _permit_messages.LIMITS, _permit_messages.LimitsPart((observation,))
        )
