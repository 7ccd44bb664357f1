"""Forwards a request to endpoints of a service, with retries."""

import collections.abc
import functools
import math
import random

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web
from returns import result

from banyanbank_node import _answer_check
from banyanbank_node import _attempt_pair
from banyanbank_node import _departures
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_sender
from banyanbank_node import _event_log
from banyanbank_node import _forwarding
from banyanbank_node import _forwarding_refusals
from banyanbank_node import _meters
from banyanbank_node import _permits
from banyanbank_node import _ports
from banyanbank_node import _second_attempts
from banyanbank_node import _shared_endpoints

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer; it is buffered before it is forwarded."""

ATTEMPT_TIME_FRACTION = 0.5
"""Fraction of the remaining time for an attempt that is not the last one."""

MIN_ATTEMPT_TIMEOUT_S = 0.25
"""Minimum time for an attempt, unless the deadline of the request is sooner."""

MIN_SERVER_ERROR_STATUS = 500
INTERNAL_SERVER_ERROR_STATUS = 500
OTHER_ENDPOINT_STATUS = 421
"""Status of an answer by another endpoint than the one that was meant."""

EndpointLookup = collections.abc.Callable[
    [str], collections.abc.Iterable[gateway.Announcement]
]
"""Returns the latest announcements of a service's endpoints."""


class Forwarder:
    """Sends requests to endpoints and retries failed attempts.

    Args:
        clock: Monotonic clock of deadlines.
        endpoints: Sends requests to endpoints.
        wire: Adapter for header names.
        picker: Selects endpoints.
        find_endpoints: Returns the endpoints of a service.
        rng: Selects the service of a route with several targets.
        events: Event log of the process.
        meters: Metrics of the process.
        limits: Rate limits of the endpoints.
        permits: Decides about requests to endpoints with a limit.
        departures: Records which endpoints state that they leave.
        suspects: Requests that may have ended their endpoints.
        true_time: Unix time that the processes agree on.
        shared: What is known of shared services; None if there are none.
        second: Decides about second attempts; None if there are none.
    """

    def __init__(
        self,
        clock: base.Clock,
        endpoints: _endpoint_sender.EndpointSender,
        wire: _ports.WireProtocol,
        picker: gateway.EndpointPicker,
        find_endpoints: EndpointLookup,
        rng: random.Random,
        events: _event_log.EventLog,
        meters: _meters.Meters,
        limits: _endpoint_limits.EndpointLimits,
        permits: _permits.PermitSource,
        departures: _departures.Departures,
        suspects: gateway.CrashSuspects,
        true_time: gateway.SyncedClock,
        shared: _shared_endpoints.SharedEndpoints | None = None,
        second: _second_attempts.SecondAttempts | None = None,
    ) -> None:
        self._shared = shared or _shared_endpoints.make_unshared(clock)
        self._second = second or _second_attempts.make_disabled(
            clock, self._shared, events, meters
        )
        self._true_time = true_time
        self._departures = departures
        self._suspects = suspects
        self._clock = clock
        self._endpoints = endpoints
        self._wire = wire
        self._picker = picker
        self._meters = meters
        self._find_endpoints = find_endpoints
        self._rng = rng
        self._events = events
        self._limits = limits
        self._permits = permits

    async def send(
        self, forwarding: _forwarding.Forwarding
    ) -> _forwarding.Answer | base.Refusal:
        """Returns the answer of an endpoint, or a refusal.

        A request is retried only if its route is repeatable or if no endpoint
        may have run it yet, such as after a reply that it was not run. Such a
        reply uses up no attempt at a shared service, and once all endpoints
        have rejected the request it waits for room, briefly.
        """
        if self._is_condemned(forwarding):
            return _forwarding_refusals.make_condemned_refusal(
                base.Outcome.NOT_RUN
            )
        service: str | None = None
        while forwarding.has_attempt_left:
            service = await self._find_open_service(forwarding, service)
            if service is None:
                break
            target = await self._choose_endpoint(forwarding, service)
            if target is None and await self._wait_for_room(
                forwarding, service
            ):
                continue
            if target is None or self._clock.now() >= forwarding.deadline:
                break
            is_last = (
                forwarding.attempts_used + 1 >= forwarding.route.max_attempts
            )
            answer = await self._run_attempts(forwarding, target, is_last)
            if answer is not None:
                return answer
            if self._is_condemned(forwarding):
                return _forwarding_refusals.make_condemned_refusal(
                    base.Outcome.MAY_HAVE_RUN
                )
            if forwarding.is_abandoned or not self._may_retry(forwarding):
                break
        return (
            forwarding.last_error_answer
            or _forwarding_refusals.make_refusal(
                forwarding,
                self._clock.now(),
                self._shared.draw_retry_after(forwarding.route),
            )
        )

    async def _find_open_service(
        self, forwarding: _forwarding.Forwarding, former: str | None
    ) -> str | None:
        """Returns the service of the next attempt once it may be sent.

        The time that a request waits does not count towards its timeout.
        """
        service = self._find_service(forwarding, former)
        while service is not None and forwarding.gate is not None:
            waited_s = await forwarding.gate.wait_for_room(
                service, forwarding.tried - forwarding.retryable
            )
            if waited_s is None:
                break
            forwarding.deadline += waited_s
            service = self._find_service(forwarding, service)
        return service

    def _find_service(
        self, forwarding: _forwarding.Forwarding, former: str | None
    ) -> str | None:
        """Returns the service of the next attempt; None if there is none.

        Args:
            forwarding: Request to send.
            former: Service of the attempt before; None for the first attempt.
        """
        if forwarding.find_route is not None:
            route = forwarding.find_route()
            if route is None:
                return None
            if route != forwarding.route:
                forwarding.route = route
                former = None
        return self._avoid_closed(
            forwarding,
            former or gateway.draw_service(forwarding.route, self._rng),
        )

    def _avoid_closed(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> str:
        """Returns a service whose endpoints the request may be sent to.

        Args:
            forwarding: Request to send.
            service: Service that is returned unless it is closed and another
                target of the route is not.
        """
        route = forwarding.route
        if len(route.targets) == 1 or not self._is_closed(forwarding, service):
            return service
        others = tuple(
            target
            for target in route.targets
            if target.weight > 0 and self._is_served(target.service)
        )
        if not others:
            return service
        return gateway.draw_service(
            attrs.evolve(route, targets=others), self._rng
        )

    def _is_closed(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> bool:
        """Whether a request has to go to another service of its route.

        A caller's request does if all endpoints are in evacuated domains. One
        that waits for room does if there are no endpoints either, as it might
        wait without end.
        """
        if forwarding.gate is not None:
            return not self._is_served(service)
        known = list(self._find_endpoints(service))
        return bool(known) and not any(map(self._endpoints.may_send, known))

    def _is_served(self, service: str) -> bool:
        return any(
            target.state is gateway.EndpointState.READY
            and self._endpoints.may_send(target)
            for target in self._find_endpoints(service)
        )

    async def _choose_endpoint(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> gateway.Announcement | None:
        """Returns the best endpoint that may be sent the request now."""
        ranked = self._rank_endpoints(forwarding, service)
        forwarding.permit_expected_at = None
        forwarding.permit_expires_at = math.inf
        if not ranked or not self._limits.is_limited(ranked[0]):
            return ranked[0] if ranked else None
        limited = [
            target for target in ranked if self._limits.is_limited(target)
        ]
        permit = await self._permits.acquire(limited, forwarding.deadline)
        # Endpoints may have left while the leader was asked.
        ranked = self._rank_endpoints(forwarding, service)
        for target in ranked:
            if target.endpoint == permit.endpoint:
                forwarding.permit_expires_at = permit.expires_at
                return target
        if permit.endpoint is None:
            forwarding.permit_expected_at = permit.retry_at
        for target in ranked:
            if not self._limits.is_limited(target):
                return target
        return None

    async def _wait_for_room(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> bool:
        """Waits after rejections; False if the request must be refused."""
        if (
            service not in self._shared.services
            or not forwarding.rejected_by
            or forwarding.permit_expected_at is not None
        ):
            return False
        if forwarding.backoff is None:
            forwarding.backoff = gateway.Backoff.of_objective(
                forwarding.route.objective_s
            )
        wait_s = forwarding.backoff.next_wait(
            self._clock.now(), forwarding.deadline, self._rng
        )
        if wait_s is None:
            return False
        await self._shared.sleep(wait_s)
        self._meters.requests.record(wait_s, "backoff")
        forwarding.retryable |= forwarding.rejected_by
        return not forwarding.is_abandoned

    def _rank_endpoints(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> list[gateway.Announcement]:
        known = list(self._find_endpoints(service))
        candidates = list(filter(self._endpoints.may_send, known))
        forwarding.has_only_evacuated = bool(known) and not candidates
        if forwarding.gate is not None:
            candidates = list(filter(forwarding.gate.has_room, candidates))
        if self._is_suspect(forwarding):
            candidates = [
                target
                for target in candidates
                if self._suspects.is_free(target.endpoint)
            ]
        return self._picker.rank(
            candidates,
            forwarding.tried - forwarding.retryable,
            self._clock.now(),
            self._limits.is_limited,
            self._shared.find_view(service),
        )

    def _is_suspect(self, forwarding: _forwarding.Forwarding) -> bool:
        return (
            forwarding.follows_crashes
            and bool(self._suspects)
            and self._suspects.is_suspect(
                forwarding.digest, self._true_time.now()
            )
        )

    def _is_condemned(self, forwarding: _forwarding.Forwarding) -> bool:
        return (
            forwarding.follows_crashes
            and bool(self._suspects)
            and self._suspects.is_condemned(
                forwarding.digest, self._true_time.now()
            )
        )

    def _may_retry(self, forwarding: _forwarding.Forwarding) -> bool:
        return (
            forwarding.may_have_run_since is None
            or forwarding.route.kind.is_repeatable
        )

    async def _run_attempts(
        self,
        forwarding: _forwarding.Forwarding,
        target: gateway.Announcement,
        is_last: bool,
    ) -> _forwarding.Answer | None:
        """Runs an attempt, with a second one beside it if that takes long."""
        cut_at = self._find_attempt_deadline(forwarding, is_last)
        delay_s = (
            None
            if is_last
            else self._second.find_delay(
                forwarding.route, target.service, not forwarding.tried
            )
        )
        if delay_s is None:
            return await self._attempt_admitted(
                forwarding, _attempt_pair.Run(target, cut_at)
            )
        # Beside a second attempt it may run on to the deadline of the request.
        first = _attempt_pair.Run(target, forwarding.deadline, cut_at)
        pair = _attempt_pair.AttemptPair[_forwarding.Answer | None](
            self._clock,
            self._shared.sleep,
            functools.partial(self._attempt_of_pair, forwarding, delay_s),
            functools.partial(self._start_second, forwarding, target.service),
            lambda: forwarding.has_attempt_left,
        )
        try:
            return await pair.run(first, delay_s)
        finally:
            self._second.log(
                forwarding.req.request_id,
                pair,
                first,
                delay_s,
                forwarding.is_cancelled,
            )

    async def _attempt_of_pair(
        self,
        forwarding: _forwarding.Forwarding,
        delay_s: float,
        run: _attempt_pair.Run,
    ) -> _forwarding.Answer | None:
        started_at = self._clock.now()
        try:
            return await self._attempt_admitted(forwarding, run)
        finally:
            self._second.record_end(run, forwarding.route, started_at, delay_s)

    def _start_second(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> _attempt_pair.Run | None:
        """Returns the second attempt of a request; None if there is none.

        It goes neither to endpoints that need a permit, which it would take
        from other requests, nor to those that are likely to fail it.
        """
        now = self._clock.now()
        view = self._shared.find_view(service)
        if (
            view is None
            or now >= forwarding.deadline
            or forwarding.is_cancelled
            or not forwarding.has_attempt_left
            # It may end its endpoints, so it runs alone.
            or self._is_suspect(forwarding)
            or not self._is_route_in_force(forwarding)
        ):
            return None
        ranked = [
            target
            for target in self._rank_endpoints(forwarding, service)
            if target.endpoint not in forwarding.tried
            and not self._limits.is_limited(target)
            and self._picker.is_spare(target, now, view)
        ]
        target = self._second.start(service, ranked)
        if target is None:
            return None
        is_last = forwarding.attempts_used + 1 >= forwarding.route.max_attempts
        return _attempt_pair.Run(
            target,
            forwarding.deadline,
            self._find_attempt_deadline(forwarding, is_last),
            is_second=True,
        )

    def _is_route_in_force(self, forwarding: _forwarding.Forwarding) -> bool:
        find_route = forwarding.find_route
        return find_route is None or find_route() == forwarding.route

    def _find_attempt_deadline(
        self, forwarding: _forwarding.Forwarding, is_last: bool
    ) -> float:
        """Returns when an attempt that begins now has to end."""
        deadline = forwarding.deadline
        if is_last or not forwarding.route.kind.is_repeatable:
            return deadline
        now = self._clock.now()
        attempt_timeout_s = ATTEMPT_TIME_FRACTION * (deadline - now)
        return min(
            deadline, now + max(attempt_timeout_s, MIN_ATTEMPT_TIMEOUT_S)
        )

    async def _attempt_admitted(
        self, forwarding: _forwarding.Forwarding, run: _attempt_pair.Run
    ) -> _forwarding.Answer | None:
        gate = forwarding.gate
        if gate is None:
            return await self._attempt(forwarding, run)
        gate.started(run.target)
        try:
            return await self._attempt(forwarding, run)
        finally:
            # Only now is it known whether the endpoint has failed.
            gate.ended(run.target)

    async def _attempt(
        self, forwarding: _forwarding.Forwarding, run: _attempt_pair.Run
    ) -> _forwarding.Answer | None:
        now = self._clock.now()
        target = run.target
        is_suspect = self._is_suspect(forwarding)
        req = self._wire.build_forward_request(
            forwarding.req,
            forwarding.account,
            target,
            run.deadline,
            now,
            # A suspect gets a connection of its own.
            forwarding.route.kind.is_repeatable and not is_suspect,
        )
        # A second attempt needs no permit; the first may have had one.
        if forwarding.permit_expires_at < math.inf and not run.is_second:
            req = _permits.withhold_after(
                req, forwarding.permit_expires_at, self._clock
            )
        forwarding.tried.add(target.endpoint)
        forwarding.rejected_by.discard(target.endpoint)
        forwarding.retryable.discard(target.endpoint)
        forwarding.attempts_used += 1
        self._picker.started(target.endpoint)
        self._limits.note_sent(target, _endpoint_limits.Purpose.FORWARD)
        if is_suspect:
            self._suspects.enter(target.endpoint)
        try:
            exchange_result = await run.settle(
                self._exchange(forwarding, target, req)
            )
        finally:
            if is_suspect:
                self._suspects.leave(target.endpoint)
            self._picker.ended(target.endpoint)
            self._meters.requests.record(self._clock.now() - now, "attempt")
        self._follow_up(forwarding, exchange_result, is_suspect)
        return self._evaluate_exchange(forwarding, run, exchange_result, now)

    def _follow_up(
        self,
        forwarding: _forwarding.Forwarding,
        exchange_result: result.Result[
            tuple[_ports.ResponseHeaders, _forwarding.Answer], web.UpstreamError
        ],
        was_alone: bool,
    ) -> None:
        """Records whether the endpoint may have crashed under the request."""
        if not forwarding.follows_crashes:
            return
        if isinstance(exchange_result, result.Success):
            response_headers, _ = exchange_result.unwrap()
            if self._suspects and not response_headers.has_not_run:
                self._suspects.record_answer(forwarding.digest)
        elif (
            exchange_result.failure().is_unanswered
            and not forwarding.is_abandoned
        ):
            now = self._true_time.now()
            self._suspects.record_loss(forwarding.digest, was_alone, now)
            if self._is_condemned(forwarding):
                self._events.write(
                    "request.condemned",
                    request=forwarding.req.request_id,
                    digest=forwarding.digest.hex(),
                    tried=sorted(forwarding.tried),
                )

    async def _exchange(
        self,
        forwarding: _forwarding.Forwarding,
        target: gateway.Announcement,
        req: web.UpstreamRequest,
    ) -> result.Result[
        tuple[_ports.ResponseHeaders, _forwarding.Answer], web.UpstreamError
    ]:
        sent_at = self._clock.now()
        send_result = await self._endpoints.send(target, req)
        if isinstance(send_result, result.Failure):
            return send_result
        resp = send_result.unwrap()
        response_headers = self._wire.read_response_headers(resp)
        mismatch = _answer_check.find_mismatch(
            forwarding.req, resp.status, response_headers
        )
        if mismatch is not None:
            resp.cancel()
            return result.Failure(
                web.UpstreamError(base.Outcome.MAY_HAVE_RUN, mismatch)
            )
        self._departures.observe(target, resp.status, response_headers)
        self._limits.observe(target, resp.status, response_headers, sent_at)
        try:
            body = await resp.read_all(MAX_ANSWER_BYTES)
        except BaseException:
            resp.cancel()
            raise
        if isinstance(body, result.Failure):
            return body
        headers = tuple(
            (name, value)
            for name, value in resp.headers
            if name not in _forwarding.HOP_BY_HOP and name != "content-length"
        )
        answer = _forwarding.Answer(
            resp.status, headers, body.unwrap(), response_headers.signature
        )
        return result.Success((response_headers, answer))

    def _evaluate_exchange(
        self,
        forwarding: _forwarding.Forwarding,
        run: _attempt_pair.Run,
        exchange_result: result.Result[
            tuple[_ports.ResponseHeaders, _forwarding.Answer], web.UpstreamError
        ],
        sent_at: float,
    ) -> _forwarding.Answer | None:
        now = self._clock.now()
        target = run.target
        if isinstance(exchange_result, result.Failure):
            error = exchange_result.failure()
            if error.is_withheld:
                self._record_withheld(forwarding, run, error.detail)
                return None
            if error.outcome is base.Outcome.NOT_RUN and not error.is_timeout:
                self._return_attempt(forwarding, target)
            if error.outcome is not base.Outcome.NOT_RUN:
                forwarding.note_may_have_run(sent_at)
            if not (forwarding.is_cancelled or run.is_superseded):
                if not error.is_stale_connection:
                    self._picker.failed(target.endpoint, sent_at, now)
                self._shared.record_loss(
                    target, forwarding.route, error, now - sent_at
                )
                self._log_attempt(forwarding, target, "lost", error.detail)
            return None
        response_headers, answer = exchange_result.unwrap()
        if response_headers.has_not_run:
            self._record_not_run(forwarding, target, response_headers, answer)
            return None
        forwarding.note_may_have_run(sent_at)
        self._picker.succeeded(target.endpoint)
        self._shared.record_answer(
            target, forwarding.route, answer.status, now - sent_at
        )
        if answer.status < MIN_SERVER_ERROR_STATUS:
            return answer
        self._log_attempt(
            forwarding, target, "failed", f"status {answer.status}"
        )
        forwarding.last_error_answer = answer
        forwarding.internal_error_count += (
            answer.status == INTERNAL_SERVER_ERROR_STATUS
        )
        return None

    def _record_withheld(
        self,
        forwarding: _forwarding.Forwarding,
        run: _attempt_pair.Run,
        detail: str,
    ) -> None:
        """Records nothing against an endpoint that was sent nothing."""
        forwarding.note_withheld(
            run.target.endpoint, not self._endpoints.may_send(run.target)
        )
        if not (forwarding.is_cancelled or run.is_superseded):
            self._log_attempt(forwarding, run.target, "withheld", detail)

    def _record_not_run(
        self,
        forwarding: _forwarding.Forwarding,
        target: gateway.Announcement,
        response_headers: _ports.ResponseHeaders,
        answer: _forwarding.Answer,
    ) -> None:
        is_shared = self._return_attempt(forwarding, target)
        if answer.status != OTHER_ENDPOINT_STATUS:
            self._picker.rejected(target.endpoint, self._clock.now())
            if is_shared:
                forwarding.rejected_by.add(target.endpoint)
            # One that leaves rejects requests however few there are.
            if not response_headers.is_leaving:
                self._second.record_rejection(target, forwarding.route)
        self._log_attempt(
            forwarding, target, "not-run", f"status {answer.status}"
        )

    def _return_attempt(
        self, forwarding: _forwarding.Forwarding, target: gateway.Announcement
    ) -> bool:
        """Does not count an attempt that did not run at a shared service.

        Returns:
            Whether the service is shared.
        """
        is_shared = target.service in self._shared.services
        forwarding.attempts_used -= is_shared
        return is_shared

    def _log_attempt(
        self,
        forwarding: _forwarding.Forwarding,
        target: gateway.Announcement,
        outcome: str,
        detail: str,
    ) -> None:
        self._events.write(
            "request.attempt",
            request=forwarding.req.request_id,
            endpoint=target.endpoint,
            address=target.address,
            outcome=outcome,
            detail=detail,
            tried=len(forwarding.tried),
            left_ms=round(1000 * (forwarding.deadline - self._clock.now())),
        )
