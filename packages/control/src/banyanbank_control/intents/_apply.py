"""Applies commands about intents.

A second attempt never gets a claim while the first is open, whoever asks and
whatever happened to the first entry: an intent is forgotten only after its
retention or when its own attempt proves that nothing ran.
"""

import collections.abc
import itertools
import math

import banyanbank_base as base
import immutables

from banyanbank_control import _lifecycles
from banyanbank_control import commands
from banyanbank_control.intents import _state

MAX_RETENTION_S = 172_800.0
"""Longest retention that may be asked for, in seconds."""

MAX_INTENTS = 50_000
"""Intents that may be kept at once, over all accounts."""

MAX_INTENTS_PER_ACCOUNT = 20_000
"""Intents that one account may have kept at once."""

MAX_ANSWER_BYTES = 262_144
"""Largest answer kept, in bytes."""

MAX_ANSWERS_BYTES = 33_554_432
"""Bytes of all answers kept at once; a request whose answer finds no room
still never runs again, but its resend is told that it ran in place of how."""

MAX_EXPIRED = 1000
"""Intents that one command forgets at most."""

Lives = immutables.Map[base.InstanceId, base.Incarnation]
"""Newest life of each instance that is known to be over."""


def begin(
    state: _state.IntentState, cmd: commands.BeginIntent, lives_over: Lives
) -> tuple[
    _state.IntentState,
    commands.IntentBegun
    | commands.IntentReplay
    | commands.IntentOpen
    | commands.IntentMismatch
    | commands.Rejected,
]:
    """Grants a claim, or tells what became of the first attempt."""
    held = state.intents.get((cmd.account, cmd.idempotency_key))
    if held is not None:
        return state, _answer_held(held, cmd, lives_over)
    if state.abandoned.get(cmd.request_id):
        # A claim that was under way while its attempt was given up would
        # block the caller's next attempt for the whole retention.
        return state, commands.Rejected(
            commands.RejectReason.STALE, "This attempt was given up."
        )
    retention = cmd.retain_until - cmd.begun_at
    if not (math.isfinite(cmd.begun_at) and 0 < retention <= MAX_RETENTION_S):
        return state, commands.Rejected(
            commands.RejectReason.INVALID,
            f"The retention must be above 0 and at most {MAX_RETENTION_S} s.",
        )
    if _is_full(state, cmd.account):
        return state, commands.Rejected(
            commands.RejectReason.FULL,
            f"Too many requests of account {cmd.account!r}, or of all, are"
            " within their retention; retry when older ones expire.",
        )
    intent = _state.Intent(
        account=cmd.account,
        idempotency_key=cmd.idempotency_key,
        request_digest=cmd.request_digest,
        request_id=cmd.request_id,
        instance=cmd.instance,
        incarnation=cmd.incarnation,
        endpoint=cmd.endpoint,
        retain_until=cmd.retain_until,
    )
    return state.with_intent(intent), commands.IntentBegun()


def _is_full(state: _state.IntentState, account: base.AccountId) -> bool:
    if len(state.intents) >= MAX_INTENTS:
        return True
    return state.counts.get(account, 0) >= MAX_INTENTS_PER_ACCOUNT


def _answer_held(
    held: _state.Intent, cmd: commands.BeginIntent, lives_over: Lives
) -> (
    commands.IntentBegun
    | commands.IntentReplay
    | commands.IntentOpen
    | commands.IntentMismatch
):
    if held.request_digest != cmd.request_digest:
        return commands.IntentMismatch()
    if held.status is _state.IntentStatus.DONE:
        return commands.IntentReplay(held.answer)
    attempt = (held.request_id, held.instance, held.incarnation)
    if attempt == (cmd.request_id, cmd.instance, cmd.incarnation):
        return commands.IntentBegun()
    over = lives_over.get(held.instance)
    return commands.IntentOpen(
        held.instance,
        held.incarnation,
        may_have_run=over is not None and held.incarnation <= over,
    )


def complete(
    state: _state.IntentState, cmd: commands.CompleteIntent
) -> tuple[_state.IntentState, commands.IntentClosed | commands.Rejected]:
    """Stores the answer of the attempt that holds the claim."""
    held = state.intents.get((cmd.account, cmd.idempotency_key))
    if held is None or held.request_id != cmd.request_id:
        return state, _not_held(cmd.request_id)
    if _lifecycles.INTENT.next(held.status.value, "complete") is None:
        return state, commands.IntentClosed()
    answer = cmd.answer if _has_room(state, cmd.answer) else None
    return state.with_answer(held, answer), commands.IntentClosed()


def _has_room(state: _state.IntentState, answer: bytes | None) -> bool:
    size = len(answer or b"")
    fits = state.answer_bytes + size <= MAX_ANSWERS_BYTES
    return fits and size <= MAX_ANSWER_BYTES


def abandon(
    state: _state.IntentState, cmd: commands.AbandonIntent
) -> tuple[_state.IntentState, commands.IntentClosed | commands.Rejected]:
    """Forgets a claim whose attempt provably did not run."""
    held = state.intents.get((cmd.account, cmd.idempotency_key))
    if held is None:
        return state.with_abandoned(cmd.request_id), commands.IntentClosed()
    if held.request_id != cmd.request_id:
        return state, _not_held(cmd.request_id)
    if _lifecycles.INTENT.next(held.status.value, "abandon") is None:
        return state, commands.Rejected(
            commands.RejectReason.INVALID, "The request has run."
        )
    after = state.without(held).with_abandoned(cmd.request_id)
    return after, commands.IntentClosed()


def _not_held(request_id: base.RequestId) -> commands.Rejected:
    return commands.Rejected(
        commands.RejectReason.NOT_FOUND,
        f"Attempt {request_id!r} holds no claim on this idempotency key.",
    )


def expire(
    state: _state.IntentState, cmd: commands.ExpireIntents
) -> tuple[_state.IntentState, commands.IntentsExpired | commands.Rejected]:
    """Forgets intents past their retention, a bounded number at once."""
    if not math.isfinite(cmd.now):
        return state, commands.Rejected(
            commands.RejectReason.INVALID, "The time is not a number."
        )
    last = math.floor(cmd.now / _state.BUCKET_S)
    due = list(itertools.islice(_due_keys(state, last), MAX_EXPIRED + 1))
    for key in due[:MAX_EXPIRED]:
        state = state.without(state.intents[key])
    count = min(len(due), MAX_EXPIRED)
    return state, commands.IntentsExpired(count, len(due) > MAX_EXPIRED)


def has_due(state: _state.IntentState, now: float) -> bool:
    """Returns whether any intent is past its retention at a wall time."""
    last = math.floor(now / _state.BUCKET_S)
    return any(number <= last for number in state.buckets)


def _due_keys(
    state: _state.IntentState, last: int
) -> collections.abc.Iterator[_state.IntentKey]:
    # Bounded by the longest retention, however many intents there are.
    for bucket in sorted(number for number in state.buckets if number <= last):
        yield from sorted(state.buckets[bucket])
