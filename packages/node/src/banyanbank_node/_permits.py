"""Permits to send requests to endpoints with a rate limit."""

import collections.abc
import math
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_mesh as mesh
from returns import result

from banyanbank_node import _endpoint_limits
from banyanbank_node import _permit_messages
from banyanbank_node import _ports
from banyanbank_node import _store_client

CALL_TIMEOUT_S = 0.3
"""Time for the leader to answer; a request waits for it."""

NO_LEADER_RETRY_AFTER_S = 0.5
"""Time after which a caller is to return because no leader answered."""

UNREADABLE_REPORTS_S = 5.0
"""Time for which a leader that could not handle reports of cold endpoints gets
none. Each of them costs a call; its successor may be of this release."""


@attrs.frozen
class Permit:
    """Answer to the wish to send a request to one of several endpoints."""

    endpoint: base.EndpointId | None
    """Endpoint that the request may be sent to; None for none of them."""
    retry_at: float = 0.0
    """If none: when to try again, on the monotonic clock."""
    expires_at: float = math.inf
    """If the endpoint is cold: when the permit is too old for the request to be
    sent, on the monotonic clock. The rate holds only if permits arrive in the
    order of time in which they were granted, but for this much."""


def withhold_after(
    req: _ports.EndpointRequest, expires_at: float, clock: base.Clock
) -> _ports.EndpointRequest:
    """Returns a request that is not sent once its permit is too old.

    A connection may take seconds to establish, and a process may be stopped. A
    request without a body is complete with its head, and cannot be withheld.

    Args:
        req: Request to a cold endpoint.
        expires_at: When the permit is too old, on the monotonic clock.
        clock: Monotonic clock.
    """
    if not req.body:
        return req
    return attrs.evolve(req, guard=lambda: clock.now() < expires_at)


class PermitSource(typing.Protocol):
    """Decides whether a request may be sent to an endpoint with a limit."""

    async def acquire(
        self,
        targets: collections.abc.Sequence[gateway.Announcement],
        deadline: float,
    ) -> Permit:
        """Takes a permit for the first endpoint that has one.

        Args:
            targets: Endpoints with a limit, in order of preference.
            deadline: When the request must be answered.
        """
        ...


class RemotePermits:
    """Asks the leader for permits; implements `PermitSource`.

    Without an answer of the leader there is no permit.

    Args:
        clock: Monotonic clock.
        client: Calls the leader.
        limits: Rate limits known to this process.
    """

    def __init__(
        self,
        clock: base.Clock,
        client: _store_client.StoreClient,
        limits: _endpoint_limits.EndpointLimits,
    ) -> None:
        self._clock = clock
        self._client = client
        self._limits = limits
        self._no_reports_to: base.InstanceId | None = None
        self._no_reports_until = -math.inf

    async def acquire(
        self,
        targets: collections.abc.Sequence[gateway.Announcement],
        deadline: float,
    ) -> Permit:
        """Takes a permit from the leader."""
        known = (self._limits.known.get(target) for target in targets)
        cold = tuple(
            gateway.ColdReport(target.endpoint, target.born_ms, target.sequence)
            for target in targets
            if target.is_cold
        )
        req = _permit_messages.PermitRequest(
            tuple(target.endpoint for target in targets),
            tuple(limit for limit in known if limit is not None),
            cold if self._may_report() else (),
        )
        # The leader grants it later, so its age is at most the time since now.
        expires_at = self._clock.now() + gateway.MAX_PERMIT_AGE_S
        answer = await self._call(_permit_messages.TAKE_PERMIT, req, deadline)
        if answer is None and req.cold and not self._may_report():
            req = attrs.evolve(req, cold=())
            answer = await self._call(
                _permit_messages.TAKE_PERMIT, req, deadline
            )
        now = self._clock.now()
        if answer is None:
            return Permit(None, now + NO_LEADER_RETRY_AFTER_S)
        granted = answer.endpoint or None
        if not answer.is_cold and all(
            report.endpoint != granted for report in cold
        ):
            return Permit(granted, now + answer.retry_after_s)
        if now >= expires_at:
            return Permit(None, now)
        return Permit(granted, expires_at=expires_at)

    async def report(self, observation: gateway.LimitObservation) -> None:
        """Tells the leader of a limit that this process has observed."""
        await self._call(
            _permit_messages.REPORT_LIMITS,
            _permit_messages.LimitsPart((observation,)),
        )

    def _may_report(self) -> bool:
        """Whether the leader may be able to read which endpoints are cold."""
        return (
            self._client.leader != self._no_reports_to
            or self._clock.now() >= self._no_reports_until
        )

    async def _call(
        self, method: str, message: typing.Any, deadline: float = math.inf
    ) -> typing.Any:
        leader = self._client.leader
        if leader is None:
            return None
        answered = await self._client.call_store(
            leader,
            method,
            message,
            min(deadline, self._clock.now() + CALL_TIMEOUT_S),
        )
        if isinstance(answered, result.Success):
            return answered.unwrap()
        reply = answered.failure().asked.get(leader)
        if (
            isinstance(message, _permit_messages.PermitRequest)
            and message.cold
            and reply == mesh.CallErrorKind.HANDLER_FAILED.value
        ):
            # A store of an earlier release cannot read the reports.
            self._no_reports_to = leader
            self._no_reports_until = self._clock.now() + UNREADABLE_REPORTS_S
        return None
