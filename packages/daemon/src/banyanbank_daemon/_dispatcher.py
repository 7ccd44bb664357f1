"""Chooses an engine for a request, sends it to the engine's owner, retries."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch
from returns import result

from banyanbank_daemon import _jobs
from banyanbank_daemon import _retrying

MILLISECONDS = 1_000


@attrs.frozen
class ModelRequest:
    """A request for a model, before an engine is chosen."""

    request_id: str
    """Id of the caller's request or of the rollout attempt."""
    account: base.AccountId
    """Client account that it runs for."""
    key_id: base.KeyId
    """Key that came with it; empty for rollout attempts."""
    revision: int
    """Configuration revision held when it was admitted."""
    kind: dispatch.WorkKind
    """Class of service."""
    model: base.ModelName
    """Model asked for."""
    path: str
    """Path of the engine's call."""
    body: bytes
    """JSON body for the engine."""
    weight: float
    """Fair share of the client account, relative to others."""
    cost_tokens: int
    """Estimated cost in tokens."""
    blocks: tuple[str, ...]
    """Digests of the prompt's blocks; see `_jobs.prompt_blocks`."""
    deadline: float
    """When to give up, on the monotonic clock."""
    min_version: base.WeightVersion = base.WeightVersion(0)  # noqa: RUF009
    """Oldest weight version that will do."""
    avoided: frozenset[base.EndpointId] = frozenset()
    """Engines to avoid where others are left."""


class FleetView(typing.Protocol):
    """What a dispatcher knows of engines and their owners."""

    def engine_candidates(
        self, model: base.ModelName
    ) -> typing.Sequence[dispatch.Candidate]:
        """Returns the engines in service that hold a model."""
        ...

    def note_unserved(self, model: base.ModelName) -> None:
        """Notes a request that found no endpoint of its model."""
        ...

    def runner_of(self, endpoint: base.EndpointId) -> _jobs.JobRunner | None:
        """Returns the way to an engine's owner; None when nobody owns it."""
        ...

    def note_load(
        self, endpoint: base.EndpointId, ended: _jobs.JobEnded
    ) -> None:
        """Takes in the load that an owner told with an answer."""
        ...


class UsageSink(typing.Protocol):
    """Counts what answered requests used."""

    def count_job(self, account: base.AccountId, ended: _jobs.JobEnded) -> None:
        """Counts one whole model answer."""
        ...


PromptCallback = typing.Callable[
    [base.ModelName, tuple[str, ...]], typing.Awaitable[None]
]
EngineCallback = typing.Callable[[base.EndpointId], None]


def _ignore_engine(endpoint: base.EndpointId) -> None:
    """Takes an engine's name and does nothing."""


class Dispatcher:
    """Runs model requests.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        fleet: What is known of engines.
        router: Chooses among engines.
        retries: Decides whether a failed attempt is repeated.
        usage: Counts whole answers.
        on_prompt: Told of a prompt's model and blocks before its engine is
            chosen.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        fleet: FleetView,
        router: dispatch.Router,
        retries: dispatch.RetryPolicy,
        usage: UsageSink,
        on_prompt: PromptCallback,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._fleet = fleet
        self._router = router
        self._retries = retries
        self._usage = usage
        self._on_prompt = on_prompt

    async def run(
        self,
        req: ModelRequest,
        sink: _jobs.JobSink,
        on_engine: EngineCallback = _ignore_engine,
    ) -> _jobs.JobResult:
        """Runs a request to its end.

        Attempts are repeated on other engines. A lookup whose engine was lost
        in mid-stream goes on from the tokens that were delivered; samples are
        resumed by the sample scheduler, outside the retry budget.

        Args:
            req: What to run.
            sink: Takes the output.
            on_engine: Told of the engine chosen for each attempt.
        """
        partial = _jobs.PartialAnswer(req.body)
        joining = _jobs.JoiningSink(sink, partial)
        series = _retrying.AttemptSeries(
            self._reactor,
            self._clock,
            self._retries,
            req.deadline,
            is_idempotent=True,
        )
        run_before: _jobs.JobFailed | None = None
        while True:
            endpoint, ended = await self._attempt(
                attrs.evolve(req, avoided=req.avoided | series.tried),
                series.number,
                joining,
                on_engine,
            )
            if isinstance(ended, result.Success):
                return self._count(req, partial.whole(ended.unwrap()))
            failed = ended.failure()
            if failed.is_cut and partial.is_complete:
                return await self._finish(req, partial, failed, sink)
            if not self._can_go_on(req, failed, partial, joining) or (
                not await series.may_repeat(
                    endpoint, base.Outcome(failed.outcome), failed.retry_after
                )
            ):
                return result.Failure(_truest(run_before, failed))
            if failed.outcome != base.Outcome.NOT_RUN.value:
                run_before = failed
            req = attrs.evolve(req, body=partial.continued(failed))

    def _count(
        self, req: ModelRequest, ended: _jobs.JobEnded
    ) -> _jobs.JobResult:
        self._usage.count_job(req.account, ended)
        return result.Success(ended)

    async def _finish(
        self,
        req: ModelRequest,
        partial: _jobs.PartialAnswer,
        failed: _jobs.JobFailed,
        sink: _jobs.JobSink,
    ) -> _jobs.JobResult:
        """Ends an answer that lacks nothing but its engine's last word."""
        last, ended = partial.finish(failed)
        if last is not None:
            try:
                await sink.emit(last)
            except _jobs.SinkClosed:
                return result.Failure(failed)
        return self._count(req, ended)

    def _can_go_on(
        self,
        req: ModelRequest,
        failed: _jobs.JobFailed,
        partial: _jobs.PartialAnswer,
        joining: _jobs.JoiningSink,
    ) -> bool:
        """Tells whether another attempt could be of use to the caller."""
        is_withdrawn = failed.reason == base.RefusalReason.KEY_WITHDRAWN.value
        if joining.is_closed or is_withdrawn:
            return False
        if not partial.has_emitted:
            return True
        # Samples are resumed by their scheduler. What breaks the protocol
        # can't be trusted to go on from.
        is_lookup = req.kind is dispatch.WorkKind.INTERACTIVE
        is_trusted = failed.is_cut or not partial.has_new
        return is_lookup and is_trusted and partial.can_continue

    async def _attempt(
        self,
        req: ModelRequest,
        number: int,
        sink: _jobs.JobSink,
        on_engine: EngineCallback,
    ) -> tuple[base.EndpointId | None, _jobs.JobResult]:
        await self._on_prompt(req.model, req.blocks)
        now = self._clock.now()
        query = dispatch.RouteQuery(
            cost_tokens=req.cost_tokens,
            blocks=req.blocks,
            prefix_tokens=len(req.blocks) * _jobs.BLOCK_TOKENS,
            min_version=req.min_version,
            avoided=req.avoided,
        )
        candidates = self._fleet.engine_candidates(req.model)
        if not candidates:
            self._fleet.note_unserved(req.model)
        chosen = self._router.choose(query, candidates, now)
        if isinstance(chosen, result.Failure):
            failed = _jobs.JobFailed.from_refusal(chosen.failure())
            return None, result.Failure(failed)
        endpoint = chosen.unwrap().endpoint_id
        runner = self._fleet.runner_of(endpoint)
        if runner is None:
            return endpoint, result.Failure(_no_owner())
        # Each attempt has its own id, so that a late end of one can't be
        # taken for the end of the next.
        attempt_id = base.RequestId(f"{req.request_id}.{number}")
        self._router.note_sent(attempt_id, endpoint, query, now)
        ended = await runner.run(_job_of(req, attempt_id, endpoint, now), sink)
        self._router.note_done(
            attempt_id, endpoint, _is_healthy(ended), self._clock.now()
        )
        if isinstance(ended, result.Success):
            self._fleet.note_load(endpoint, ended.unwrap())
        return endpoint, ended


def _job_of(
    req: ModelRequest,
    attempt_id: str,
    endpoint: base.EndpointId,
    now: float,
) -> _jobs.ModelJob:
    remaining_ms = int((req.deadline - now) * MILLISECONDS)
    return _jobs.ModelJob(
        request_id=attempt_id,
        account=req.account,
        key_id=req.key_id,
        revision=req.revision,
        kind=req.kind.value,
        endpoint=endpoint,
        path=req.path,
        body=req.body,
        weight=req.weight,
        cost_tokens=req.cost_tokens,
        blocks=req.blocks,
        remaining_ms=remaining_ms,
    )


def _truest(
    run_before: _jobs.JobFailed | None, failed: _jobs.JobFailed
) -> _jobs.JobFailed:
    """Returns the failure to tell; an earlier run goes before NOT_RUN."""
    if run_before is None or failed.outcome != base.Outcome.NOT_RUN.value:
        return failed
    return run_before


def _is_healthy(ended: _jobs.JobResult) -> bool:
    if isinstance(ended, result.Success):
        return True
    return ended.failure().reason != base.RefusalReason.ENDPOINT_FAILED.value


def _no_owner() -> _jobs.JobFailed:
    return _jobs.JobFailed(
        base.RefusalReason.NO_ENDPOINT.value,
        base.Outcome.NOT_RUN.value,
        "No instance owns the chosen engine now; try again.",
        retry_after=0.2,
    )
