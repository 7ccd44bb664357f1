"""Runs non-idempotent requests at most once, over all instances."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web
from returns import result
from twisted.internet import task

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane

RETENTION_S = 24 * 3_600.0
COMMIT_S = 10.0
POLL_S = 0.25
POLL_ROUNDS = 40
MAX_KEY_CHARS = 255


@attrs.frozen
class StoredAnswer:
    """A whole answer, as kept for resends."""

    status: int
    """HTTP status."""
    headers: tuple[tuple[str, str], ...]
    """Headers, names in lower case."""
    body: bytes
    """Whole body."""
    is_replay: bool = False
    """Whether it was stored by an earlier run."""


ANSWER_CODEC: base.Codec[StoredAnswer] = base.Codec(StoredAnswer)


class IntentCall(typing.Protocol):
    """What an intent needs of a request."""

    @property
    def request_id(self) -> base.RequestId:
        """Id of this attempt at this entry."""
        ...

    @property
    def account(self) -> base.AccountId:
        """Client account of the caller."""
        ...

    @property
    def idempotency_key(self) -> str:
        """The caller's key; not empty."""
        ...

    @property
    def digest(self) -> bytes:
        """Digest that tells one request from another."""
        ...

    @property
    def deadline(self) -> float:
        """When to give up, on the monotonic clock."""
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
    """Commits an intent before the first byte goes out.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        plane: Way to the replicated log.
        instance: This instance.
        incarnation: Its life.
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

    async def run(self, call: Call, open_call: Open[Call]) -> Answer:
        """Runs a call once, or returns what its one run answered."""
        if len(call.idempotency_key) > MAX_KEY_CHARS:
            return _not_run(
                base.RefusalReason.BAD_REQUEST,
                f"Idempotency-Key is over {MAX_KEY_CHARS} characters.",
            )
        for _round in range(POLL_ROUNDS):
            begun = await self._begin(call)
            if isinstance(begun, result.Failure):
                # A claim that commits all the same would block resends.
                _background.start(self._abandon(call), "abandoning an intent")
                return result.Failure(begun.failure())
            reply = begun.unwrap()
            if isinstance(reply, control.IntentBegun):
                return await self._run_once(call, open_call)
            if not _is_running_elsewhere(reply):
                return _settled(reply)
            if self._clock.now() + POLL_S >= call.deadline:
                break
            await task.deferLater(self._reactor, POLL_S)
        return _may_have_run("Its first run has not ended yet.")

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
            retain_until=wall + RETENTION_S,
        )
        limit = min(call.deadline, self._clock.now() + COMMIT_S)
        proposed = await self._plane.propose(command, limit)
        # Nothing is sent without a reply: a claim that was committed all the
        # same is answered "may have run" to resends, never run.
        return proposed.alt(lambda error: _no_leader(error.detail))

    async def _run_once(self, call: Call, open_call: Open[Call]) -> Answer:
        opened = await open_call(call)
        if isinstance(opened, result.Failure):
            refusal = opened.failure()
            if refusal.outcome is base.Outcome.NOT_RUN:
                await self._abandon(call)
            return opened
        response = opened.unwrap()
        body = await response.read_all(control.MAX_ANSWER_BYTES)
        if isinstance(body, result.Failure):
            return _may_have_run(body.failure().detail)
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
        await self._plane.propose(command, self._clock.now() + COMMIT_S)

    async def _abandon(self, call: Call) -> None:
        command = control.AbandonIntent(
            account=call.account,
            idempotency_key=call.idempotency_key,
            request_id=call.request_id,
        )
        await self._plane.propose(command, self._clock.now() + COMMIT_S)


def _is_running_elsewhere(reply: control.Reply) -> bool:
    return isinstance(reply, control.IntentOpen) and not reply.may_have_run


def _settled(reply: control.Reply) -> Answer:
    match reply:
        case control.IntentReplay(answer=None):
            return result.Failure(
                base.Refusal(
                    base.RefusalReason.CONFLICT,
                    base.Outcome.RAN,
                    "The request ran; its answer was too large to keep.",
                )
            )
        case control.IntentReplay(answer=bytes() as data):
            return result.Success(ANSWER_CODEC.decode(data))
        case control.IntentMismatch():
            return _not_run(
                base.RefusalReason.CONFLICT,
                "The Idempotency-Key belongs to another request.",
            )
        case control.IntentOpen():
            return _may_have_run("The instance that ran it was lost.")
        case control.Rejected(detail=detail):
            return _not_run(base.RefusalReason.OVERLOADED, detail)
    return _may_have_run("The control state gave an unexpected reply.")


def _not_run(reason: base.RefusalReason, detail: str) -> Answer:
    return result.Failure(base.Refusal(reason, base.Outcome.NOT_RUN, detail))


def _may_have_run(detail: str) -> Answer:
    return result.Failure(
        base.Refusal(
            base.RefusalReason.CONFLICT, base.Outcome.MAY_HAVE_RUN, detail
        )
    )


def _no_leader(detail: str) -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        base.Outcome.NOT_RUN,
        f"The request was not sent, since its intent was not committed:"
        f" {detail}",
        retry_after=1.0,
    )
