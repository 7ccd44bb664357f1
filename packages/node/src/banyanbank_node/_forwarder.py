"""Forwards a request to endpoints of a service, with retries."""

import functools
import math
import random

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web
from returns import result

from banyanbank_node import _answer_check
from banyanbank_node import _attempt_pair
from banyanbank_node import _attempt_recorder
from banyanbank_node import _crash_watch
from banyanbank_node import _departures
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_requests
from banyanbank_node import _endpoint_sender
from banyanbank_node import _event_log
from banyanbank_node import _forwarding
from banyanbank_node import _forwarding_refusals
from banyanbank_node import _meters
from banyanbank_node import _permits
from banyanbank_node import _ports
from banyanbank_node import _second_attempts
from banyanbank_node import _shared_endpoints
from banyanbank_node import _target_choice

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer; it is buffered before it is forwarded."""

ATTEMPT_TIME_FRACTION = 0.5
"""Fraction of the remaining time for an attempt that is not the last one."""

MIN_ATTEMPT_TIMEOUT_S = 0.25
"""Minimum time for an attempt, unless the deadline of the request is sooner."""


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
        find_endpoints: _target_choice.EndpointLookup,
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
        self._departures = departures
        self._recorder = _attempt_recorder.AttemptRecorder(
            clock, endpoints, picker, self._shared, self._second, events
        )
        self._crashes = _crash_watch.CrashWatch(suspects, true_time, events)
        self._choice = _target_choice.TargetChoice(
            clock,
            endpoints,
            picker,
            find_endpoints,
            rng,
            limits,
            permits,
            self._crashes,
            self._shared,
        )
        self._clock = clock
        self._endpoints = endpoints
        self._wire = wire
        self._picker = picker
        self._meters = meters
        self._rng = rng
        self._limits = limits

    async def send(
        self, forwarding: _forwarding.Forwarding
    ) -> _forwarding.Answer | base.Refusal:
        """Returns the answer of an endpoint, or a refusal.

        A request is retried only if its route is repeatable or if no endpoint
        may have run it yet, such as after a reply that states this. Such a
        reply uses up no attempt at a shared service, and once all endpoints
        have rejected the request it waits for room, briefly.
        """
        if self._crashes.is_condemned(forwarding):
            return _forwarding_refusals.make_condemned_refusal(
                base.Outcome.NOT_RUN
            )
        service: str | None = None
        while forwarding.has_attempt_left:
            service = await self._find_open_service(forwarding, service)
            if service is None:
                break
            target = await self._choice.choose_endpoint(forwarding, service)
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
            if self._crashes.is_condemned(forwarding):
                return _forwarding_refusals.make_condemned_refusal(
                    base.Outcome.MAY_HAVE_RUN
                )
            if forwarding.is_abandoned or not self._may_retry(forwarding):
                break
        return (
            forwarding.relayed_error_answer
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
        service = self._choice.find_service(forwarding, former)
        while service is not None and forwarding.gate is not None:
            waited_s = await forwarding.gate.wait_for_room(
                service, forwarding.tried - forwarding.retryable
            )
            if waited_s is None:
                break
            forwarding.deadline += waited_s
            service = self._choice.find_service(forwarding, service)
        return service

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
        """Returns the second attempt of a request; None if there is none."""
        view = self._shared.find_view(service)
        if (
            view is None
            or self._clock.now() >= forwarding.deadline
            or forwarding.is_cancelled
            or not forwarding.has_attempt_left
            # It may end its endpoints, so it runs alone.
            or self._crashes.is_suspect(forwarding)
            or not self._is_route_in_force(forwarding)
        ):
            return None
        target = self._second.start(
            service, self._choice.find_spares(forwarding, service, view)
        )
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
        is_suspect = self._crashes.is_suspect(forwarding)
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
            self._crashes.suspects.enter(target.endpoint)
        forwarding.running_attempts += 1
        try:
            exchange_result = await run.settle(
                self._exchange(forwarding, target, req)
            )
        finally:
            forwarding.running_attempts -= 1
            if is_suspect:
                self._crashes.suspects.leave(target.endpoint)
            self._picker.ended(target.endpoint)
            self._meters.requests.record(self._clock.now() - now, "attempt")
        self._crashes.follow_up(forwarding, exchange_result, is_suspect)
        return self._recorder.evaluate(forwarding, run, exchange_result, now)

    async def _exchange(
        self,
        forwarding: _forwarding.Forwarding,
        target: gateway.Announcement,
        req: _ports.EndpointRequest,
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
            if name not in _endpoint_requests.HOP_BY_HOP
            and name != "content-length"
        )
        answer = _forwarding.Answer(
            resp.status, headers, body.unwrap(), response_headers.signature
        )
        return result.Success((response_headers, answer))
