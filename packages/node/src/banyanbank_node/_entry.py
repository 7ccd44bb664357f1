"""An entry: takes callers' requests and batch jobs."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from returns import result

from banyanbank_node import _entry_sync
from banyanbank_node import _event_log
from banyanbank_node import _forwarder
from banyanbank_node import _messages
from banyanbank_node import _node
from banyanbank_node import _ports
from banyanbank_node import _settings

JOB_CALL_S = 2.5
"""Seconds in which the stores must accept or end a batch job."""

READ_MARGIN_S = 1.0
"""Seconds beyond its waiting time that a read of results may take."""

RETRY_AFTER_S = 0.5
"""Seconds after which a client may try again while no leader is known."""


class Entry:
    """Serves callers with what the leader has told.

    Args:
        settings: Checked settings.
        reactor: Carries sockets and timers.
        wire: Names of headers and formats of bodies.
        log_fd: File descriptor that the event log is written to.
    """

    def __init__(
        self,
        settings: _settings.EntrySettings,
        reactor: typing.Any,
        wire: _ports.Wire,
        log_fd: int,
    ) -> None:
        self.settings = settings
        self.node = _node.Node(settings.node, reactor, log_fd)
        self.usage = gateway.UsageMeter(settings.node.window_s)
        self.sync = _entry_sync.EntrySync(
            reactor,
            self.node.clock,
            self.node.client,
            wire,
            f"{self.node.instance}/{self.node.incarnation}",
            self.node.true_time,
            self.usage,
            self.node.events,
        )
        picker = gateway.EndpointPicker(settings.node.domain, self.node.rng)
        self.forwarder = _forwarder.Forwarder(
            self.node.clock,
            self.node.upstream,
            wire,
            picker,
            self.sync.directory.of_service,
            self.node.rng,
            self.node.events,
            self.node.meters,
        )
        self.is_stopping = False

    async def start(self) -> None:
        """Joins the mesh and begins to learn."""
        await self.node.mesh.start()
        self.sync.start()
        self.node.events.write("process.started", role="entry")

    async def stop(self) -> None:
        """Leaves the mesh."""
        self.sync.stop()
        await self.node.mesh.stop()
        self.node.events.write("process.stopped", role="entry")
        self.node.events.flush()

    @property
    def is_ready(self) -> bool:
        """Whether new requests can be served."""
        return self.sync.table is not None and not self.is_stopping

    def metrics(self) -> str:
        """Returns the metrics of the process as text."""
        heard_at = self.sync.heard_at
        if heard_at is not None:
            age_s = self.node.clock.now() - heard_at
            self.node.meters.ages.set(age_s)
        return self.node.meters.registry.render()

    @property
    def events(self) -> _event_log.EventLog:
        """Log of decisions."""
        return self.node.events

    def admit(
        self, host: str, path: str, key: str | None
    ) -> tuple[gateway.Route, base.AccountId | None] | base.Refusal:
        """Returns the route and client account of a request."""
        table = self.sync.table
        if table is None:
            return no_leader("No configuration is known here yet.")
        route = table.find(host, path)
        if route is None:
            return base.Refusal(
                base.RefusalReason.NOT_FOUND,
                base.Outcome.NOT_RUN,
                "No route of this host has this path.",
            )
        account = table.account_of(key)
        if account is None and table.needs_key(route):
            return _unauthenticated()
        return route, account

    def account_for_jobs(
        self, key: str | None
    ) -> base.AccountId | base.Refusal:
        """Returns the client account that a key gives access to."""
        table = self.sync.table
        if table is None:
            return no_leader("No configuration is known here yet.")
        if table.document.accounts is None:
            return base.AccountId("")
        account = table.account_of(key)
        return _unauthenticated() if account is None else account

    def begin(
        self,
        req: _ports.CallerRequest,
        route: gateway.Route,
        account: base.AccountId | None,
    ) -> _forwarder.Forwarding:
        """Returns a request that is ready to be sent."""
        is_counted = account is not None and not route.is_public
        now = self.node.clock.now()
        return _forwarder.Forwarding(
            req,
            route,
            account if is_counted else None,
            min(req.deadline, now + route.timeout_s),
        )

    async def forward(
        self, sending: _forwarder.Forwarding
    ) -> _forwarder.Answer | base.Refusal:
        """Returns the answer of an endpoint, or why there is none."""
        began_at = self.node.clock.now()
        try:
            answer = await self.forwarder.send(sending)
        finally:
            self._count(sending)
        took_s = self.node.clock.now() - began_at
        self.node.meters.requests.record(took_s, "whole")
        if isinstance(answer, base.Refusal):
            self.note_refusal(sending.req, answer, sorted(sending.tried))
        else:
            self.events.write(
                "request.answered",
                request=sending.req.request_id,
                route=sending.route.name,
                status=answer.status,
                tried=sorted(sending.tried),
                took_ms=round(1000 * took_s),
            )
        return answer

    def note_refusal(
        self,
        req: _ports.CallerRequest,
        refusal: base.Refusal,
        tried: list[base.EndpointId],
    ) -> None:
        """Logs why a request got no answer of an endpoint."""
        self.events.write(
            "request.refused",
            request=req.request_id,
            host=req.host,
            path=req.path,
            reason=refusal.reason.value,
            ran=refusal.outcome.value,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after,
            tried=tried,
            table=self._number,
            table_age_ms=self._age_ms(),
        )

    async def submit(self, job: jobs.Job) -> base.Refusal | None:
        """Has the stores accept a batch job; None when they have."""
        replied = await self._propose(jobs.AcceptJob(job))
        self.events.write(
            "job.submitted",
            job=job.job,
            account=job.account,
            items=len(job.items),
            outcome=str(getattr(replied, "outcome", "accepted")),
        )
        if isinstance(replied, base.Refusal):
            return replied
        if isinstance(replied, jobs.Applied):
            return None
        return base.Refusal(
            base.RefusalReason.CONFLICT,
            base.Outcome.NOT_RUN,
            "The id belongs to a job of another client account.",
        )

    async def end(
        self, job: str, account: base.AccountId
    ) -> base.Refusal | None:
        """Ends a batch job; None when it is ended."""
        replied = await self._propose(jobs.EndJob(job, account))
        if isinstance(replied, base.Refusal):
            return replied
        return None if isinstance(replied, jobs.Applied) else _no_job()

    async def read_results(
        self, req: _messages.ResultsRequest
    ) -> _messages.ResultsPage | base.Refusal:
        """Returns results of a batch job."""
        limit_s = req.wait_s + READ_MARGIN_S
        read = await self._ask(
            _messages.READ_RESULTS, req, limit_s, req.wait_s + 0.5
        )
        if isinstance(read, _messages.NotThere):
            return _no_job()
        return read

    async def read_body(
        self, req: _messages.BodyRequest
    ) -> bytes | base.Refusal:
        """Returns the body of an item that is not listed."""
        read = await self._ask(_messages.READ_BODY, req, READ_MARGIN_S, 0.5)
        if isinstance(read, _messages.NotThere):
            return _no_job()
        return read.data if isinstance(read, _messages.Body) else read

    async def _ask(
        self, method: str, req: typing.Any, limit_s: float, try_s: float
    ) -> typing.Any:
        deadline = self.node.clock.now() + limit_s
        asked = await self.node.client.call(method, req, deadline, try_s)
        if isinstance(asked, result.Failure):
            return no_leader(asked.failure().detail)
        return asked.unwrap()

    async def _propose(
        self, command: jobs.Command
    ) -> jobs.Reply | base.Refusal:
        deadline = self.node.clock.now() + JOB_CALL_S
        replied = await self.node.client.call_raw(
            _messages.PROPOSE, jobs.COMMAND_CODEC.encode(command), deadline
        )
        if isinstance(replied, result.Success):
            return jobs.REPLY_CODEC.decode(replied.unwrap())
        error = replied.failure()
        refusal = no_leader(error.detail)
        if error.may_have_run:
            return attrs.evolve(
                refusal,
                reason=base.RefusalReason.DEADLINE_EXCEEDED,
                outcome=base.Outcome.MAY_HAVE_RUN,
            )
        return refusal

    def _count(self, sending: _forwarder.Forwarding) -> None:
        if sending.account is None or sending.began_at is None:
            return
        age_s = self.node.clock.now() - sending.began_at
        self.usage.count(sending.account, self.node.true_time.now() - age_s)

    @property
    def _number(self) -> int:
        table = self.sync.table
        return 0 if table is None else table.document.number

    def _age_ms(self) -> int | None:
        heard_at = self.sync.heard_at
        if heard_at is None:
            return None
        return round(1000 * (self.node.clock.now() - heard_at))


def no_leader(detail: str) -> base.Refusal:
    """Returns the refusal of a call that no leader answered."""
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        base.Outcome.NOT_RUN,
        f"No leader answered: {detail}",
        retry_after=RETRY_AFTER_S,
    )


def _unauthenticated() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.UNAUTHENTICATED,
        base.Outcome.NOT_RUN,
        "The key is not known.",
    )


def _no_job() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.NOT_FOUND,
        base.Outcome.NOT_RUN,
        "There is no such job or item for this client account.",
    )
