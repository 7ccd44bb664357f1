"""Calls of an entry to the stores for batch jobs."""

from __future__ import annotations

import math
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from returns import result

from banyanbank_node import _entry_refusals
from banyanbank_node import _event_log
from banyanbank_node import _messages
from banyanbank_node import _near_stores
from banyanbank_node import _ports
from banyanbank_node import _store_client

JOB_CALL_TIMEOUT_S = 2.5
"""Time limit for the stores to accept or end a batch job."""

READ_TIMEOUT_MARGIN_S = 1.0
"""Time that a read of results may take in addition to its wait time."""


@attrs.frozen
class JobCalls:
    """Submits and ends batch jobs, and reads their results."""

    clock: base.Clock
    """Monotonic clock for deadlines."""
    client: _store_client.StoreClient
    """Calls the stores."""
    near_stores: _near_stores.NearStores
    """Chooses the store that results are read from."""
    events: _event_log.EventLog
    """Event log."""

    async def submit(
        self, job: jobs.Job, req: _ports.CallerRequest, route: gateway.Route
    ) -> base.Refusal | None:
        """Submits a batch job to the stores.

        Args:
            job: Job to submit.
            req: Request of the caller that submits it.
            route: Route that the request matched.

        Returns:
            None on success, otherwise the refusal.
        """
        reply = await self._propose(
            jobs.AcceptJob(job),
            req.find_deadline(route.timeout_s, self.clock.now()),
        )
        self.events.write(
            "job.submitted",
            job=job.job,
            account=job.account,
            items=len(job.items),
            outcome=str(getattr(reply, "outcome", "accepted")),
        )
        if isinstance(reply, base.Refusal):
            return reply
        if isinstance(reply, jobs.Applied):
            return None
        return base.Refusal(
            base.RefusalReason.CONFLICT,
            base.Outcome.NOT_RUN,
            "The job id is in use by another client account; use another id.",
        )

    async def end(
        self, job: str, account: base.AccountId
    ) -> base.Refusal | None:
        """Ends a batch job.

        Returns:
            None on success, otherwise the refusal.
        """
        reply = await self._propose(jobs.EndJob(job, account), math.inf)
        if isinstance(reply, base.Refusal):
            return reply
        return (
            None
            if isinstance(reply, jobs.Applied)
            else _entry_refusals.make_not_found_refusal()
        )

    async def read_results(
        self, req: _messages.ResultsRequest
    ) -> _messages.ResultsPage | base.Refusal:
        """Returns a page of results of a batch job, or a refusal."""
        call_timeout_s = req.wait_s + READ_TIMEOUT_MARGIN_S
        resp = await self._call_leader(
            _messages.READ_RESULTS,
            req,
            call_timeout_s,
            req.wait_s + 0.5,
            first=self.near_stores.choose(self.client.leader),
        )
        if isinstance(resp, _messages.NotThere):
            return _entry_refusals.make_not_found_refusal()
        return resp

    async def read_body(
        self, req: _messages.BodyRequest
    ) -> bytes | base.Refusal:
        """Returns the body of an item whose result is not listed yet."""
        resp = await self._call_leader(
            _messages.READ_BODY, req, READ_TIMEOUT_MARGIN_S, 0.5
        )
        if isinstance(resp, _messages.NotThere):
            return _entry_refusals.make_not_found_refusal()
        return resp.data if isinstance(resp, _messages.Body) else resp

    async def _call_leader(
        self,
        method: str,
        req: typing.Any,
        call_timeout_s: float,
        attempt_timeout_s: float,
        first: base.InstanceId | None = None,
    ) -> typing.Any:
        deadline = self.clock.now() + call_timeout_s
        call_result = await self.client.call(
            method, req, deadline, attempt_timeout_s, first
        )
        if isinstance(call_result, result.Failure):
            return _entry_refusals.make_no_leader_refusal(
                call_result.failure().detail
            )
        return call_result.unwrap()

    async def _propose(
        self, command: jobs.Command, req_deadline: float
    ) -> jobs.Reply | base.Refusal:
        deadline = min(req_deadline, self.clock.now() + JOB_CALL_TIMEOUT_S)
        reply = await self.client.call_raw(
            _messages.PROPOSE, jobs.COMMAND_CODEC.encode(command), deadline
        )
        if isinstance(reply, result.Success):
            return jobs.REPLY_CODEC.decode(reply.unwrap())
        error = reply.failure()
        refusal = _entry_refusals.make_no_leader_refusal(error.detail)
        if error.may_have_run:
            return attrs.evolve(
                refusal,
                reason=base.RefusalReason.DEADLINE_EXCEEDED,
                outcome=base.Outcome.MAY_HAVE_RUN,
            )
        return refusal
