"""Runs non-idempotent requests at most once across all instances."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web
from returns import result
from twisted.internet import task

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane

INTENT_RETENTION_S = 24 * 3_600.0
COMMIT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.25
MAX_POLLS = 40
MAX_IDEMPOTENCY_KEY_CHARS = 255


@attrs.frozen
class StoredAnswer:
    """A complete response, stored for resends of the request."""

    status: int
    """HTTP status."""
    headers: tuple[tuple[str, str], ...]
    """Headers, names in lower case."""
    body: bytes
    """Complete body."""
    is_replay: bool = False
    """Whether it is replayed from an earlier run of the request."""


ANSWER_CODEC: base.Codec[StoredAnswer] = base.Codec(StoredAnswer)


class IntentCall(typing.Protocol):
    """A request that `IntentRunner` can run."""

    @property
    def request_id(self) -> base.RequestId:
        """Id of the request as received by this instance."""
        ...

    @property
    def account(self) -> base.AccountId:
        """Client account of the caller."""
        ...

    @property
    def idempotency_key(self) -> str:
        """The caller's `Idempotency-Key`; not empty."""
        ...

    @property
    def digest(self) -> bytes:
        """Digest that detects reuse of the key for a different request."""
        ...

    @property
    def deadline(self) -> float:
        """Deadline in monotonic seconds."""
        ...


class IntentProgress(typing.Protocol):
    """Is told how far a call has come."""

    def note_earlier_run(self) -> None:
        """Notes that an earlier run of the call is in progress."""
        ...

    def note_answered(self) -> None:
        """Notes that the whole answer is here, and waits for its commit."""
        ...


Call = typing.TypeVar("Call", bound=IntentCall)
Open = typing.Callable[
    [Call],
    typing.Coroutine[
        typing.Any,
        typing.Any,
        result.Result[web.UpstreamResponse, base.Refusal],
    ],
]
Answer = result.Result[StoredAnswer, base.Refusal]


class IntentRunner:
    """Runs a request after committing its intent to the replicated log.

    Args:
        reactor: Twisted reactor for timers.
        clock: Monotonic clock of the deadlines.
        plane: Proposes commands to the replicated log.
        instance: Id of this instance.
        incarnation: Incarnation of this instance.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        plane: _control_plane.ControlPlane,
        instance: base.InstanceId,
        incarnation: base.Incarnation,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._plane = plane
        self._instance = instance
        self._incarnation = incarnation

    async def run(
        self,
        call: Call,
        open_call: Open[Call],
        progress: IntentProgress,
    ) -> Answer:
        """Runs a call, or returns the stored answer of its earlier run.

        While an earlier run is in progress, polls until it ends, up to the
        deadline and `MAX_POLLS`.

        Args:
            call: The call.
            open_call: Sends the call.
            progress: Told how far the call has come.
        """
        if len(call.idempotency_key) > MAX_IDEMPOTENCY_KEY_CHARS:
            return _refuse_not_run(
                base.RefusalReason.BAD_REQUEST,
                "Idempotency-Key is longer than"
                f" {MAX_IDEMPOTENCY_KEY_CHARS} characters.",
            )
        for _round in range(MAX_POLLS):
            begun = await self._begin(call)
            if isinstance(begun, result.Failure):
                # The intent may still commit and would then block resends.
                _background.start(self._abandon(call), "abandoning an intent")
                return result.Failure(begun.failure())
            reply = begun.unwrap()
            if isinstance(reply, control.IntentBegun):
                return await self._run_once(call, open_call, progress)
            if not _is_in_progress(reply):
                return _to_answer(reply)
            progress.note_earlier_run()
            if self._clock.now() + POLL_INTERVAL_S >= call.deadline:
                break
            await task.deferLater(self._reactor, POLL_INTERVAL_S)
        return _refuse_may_have_run(
            "An earlier request with this key has no recorded outcome yet."
        )

    async def _begin(
        self, call: Call
    ) -> result.Result[control.Reply, base.Refusal]:
        wall = self._clock.wall()
        command = control.BeginIntent(
            account=call.account,
            idempotency_key=call.idempotency_key,
            request_digest=call.digest,
            request_id=call.request_id,
            instance=self._instance,
            incarnation=self._incarnation,
            endpoint=base.EndpointId(""),
            begun_at=wall,
            retain_until=wall + INTENT_RETENTION_S,
        )
        commit_deadline = min(
            call.deadline, self._clock.now() + COMMIT_TIMEOUT_S
        )
        proposed = await self._plane.propose(command, commit_deadline)
        # Without a reply the request is not sent. If the intent did commit,
        # resends get "may have run" and do not run.
        return proposed.alt(lambda error: _refuse_uncommitted(error.detail))

    async def _run_once(
        self, call: Call, open_call: Open[Call], progress: IntentProgress
    ) -> Answer:
        opened = await open_call(call)
        if isinstance(opened, result.Failure):
            refusal = opened.failure()
            if refusal.outcome is base.Outcome.NOT_RUN:
                await self._abandon(call)
            return opened
        response = opened.unwrap()
        body = await response.read_all(control.MAX_ANSWER_BYTES)
        if isinstance(body, result.Failure):
            return _refuse_may_have_run(body.failure().detail)
        progress.note_answered()
        answer = StoredAnswer(response.status, response.headers, body.unwrap())
        await self._complete(call, answer)
        return result.Success(answer)

    async def _complete(self, call: Call, answer: StoredAnswer) -> None:
        data = ANSWER_CODEC.encode(attrs.evolve(answer, is_replay=True))
        command = control.CompleteIntent(
            account=call.account,
            idempotency_key=call.idempotency_key,
            request_id=call.request_id,
            answer=data if len(data) <= control.MAX_ANSWER_BYTES else None,
        )
        await self._plane.propose(command, self._clock.now() + COMMIT_TIMEOUT_S)

    async def _abandon(self, call: Call) -> None:
        command = control.AbandonIntent(
            account=call.account,
            idempotency_key=call.idempotency_key,
            request_id=call.request_id,
        )
        await self._plane.propose(command, self._clock.now() + COMMIT_TIMEOUT_S)


def _is_in_progress(reply: control.Reply) -> bool:
    return isinstance(reply, control.IntentOpen) and not reply.may_have_run


def _to_answer(reply: control.Reply) -> Answer:
    match reply:
        case control.IntentReplay(answer=None):
            return result.Failure(
                base.Refusal(
                    base.RefusalReason.CONFLICT,
                    base.Outcome.RAN,
                    "The request ran; its response was too large to store.",
                )
            )
        case control.IntentReplay(answer=bytes() as data):
            return result.Success(ANSWER_CODEC.decode(data))
        case control.IntentMismatch():
            return _refuse_not_run(
                base.RefusalReason.CONFLICT,
                "The Idempotency-Key was used for a different request.",
            )
        case control.IntentOpen():
            return _refuse_may_have_run(
                "The instance that ran the request was lost."
            )
        case control.Rejected(detail=detail):
            return _refuse_not_run(base.RefusalReason.OVERLOADED, detail)
    return _refuse_may_have_run(
        "The replicated log returned an unexpected reply."
    )


def _refuse_not_run(reason: base.RefusalReason, detail: str) -> Answer:
    return result.Failure(base.Refusal(reason, base.Outcome.NOT_RUN, detail))


def _refuse_may_have_run(detail: str) -> Answer:
    return result.Failure(
        base.Refusal(
            base.RefusalReason.CONFLICT, base.Outcome.MAY_HAVE_RUN, detail
        )
    )


def _refuse_uncommitted(detail: str) -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        base.Outcome.NOT_RUN,
        "The request was not sent because its intent was not committed:"
        f" {detail}",
        retry_after=1.0,
    )
