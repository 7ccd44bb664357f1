"""Applies commands about intents.

While the claim of an attempt is open, no other attempt gets one, even if the
entry instance of the first has failed. An intent is removed only when its
retention ends, or when its own attempt reports that the request did not run.
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
"""Maximum retention of an intent, in seconds."""

MAX_INTENTS = 50_000
"""Maximum number of stored intents of all client accounts."""

MAX_INTENTS_PER_ACCOUNT = 20_000
"""Maximum number of stored intents of one client account."""

MAX_ANSWER_BYTES = 262_144
"""Maximum size of a stored response, in bytes."""

MAX_TOTAL_ANSWER_BYTES = 33_554_432
"""Maximum total size of stored responses, in bytes.

A request whose response exceeds it still never runs again; a retry is told
that the request ran, without the response.
"""

MAX_EXPIRED_PER_COMMAND = 1000
"""Maximum number of intents that one command removes."""

EndedIncarnations = immutables.Map[base.InstanceId, base.Incarnation]
"""Newest incarnation of each instance that is known to have ended."""


def begin(
    state: _state.IntentState,
    cmd: commands.BeginIntent,
    lives_over: EndedIncarnations,
) -> tuple[
    _state.IntentState,
    commands.IntentBegun
    | commands.IntentReplay
    | commands.IntentOpen
    | commands.IntentMismatch
    | commands.Rejected,
]:
    """Grants a claim, or reports the state of the attempt that holds it."""
    held = state.intents.get((cmd.account, cmd.idempotency_key))
    if held is not None:
        return state, _reply_to_existing(held, cmd, lives_over)
    if state.abandoned.get(cmd.request_id):
        # Granting a claim that commits after its abandonment would block the
        # caller's next attempt for the complete retention.
        return state, commands.Rejected(
            commands.RejectReason.STALE,
            "This attempt was abandoned; begin a new one.",
        )
    retention_s = cmd.retain_until - cmd.begun_at
    if not (math.isfinite(cmd.begun_at) and 0 < retention_s <= MAX_RETENTION_S):
        return state, commands.Rejected(
            commands.RejectReason.INVALID,
            f"The retention must be above 0 and at most {MAX_RETENTION_S} s.",
        )
    if _is_full(state, cmd.account):
        return state, commands.Rejected(
            commands.RejectReason.FULL,
            f"Account {cmd.account!r}, or all accounts together, reached the"
            " limit of retained requests; retry when older ones expire.",
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


def _reply_to_existing(
    held: _state.Intent,
    cmd: commands.BeginIntent,
    lives_over: EndedIncarnations,
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
    ended = lives_over.get(held.instance)
    return commands.IntentOpen(
        held.instance,
        held.incarnation,
        may_have_run=ended is not None and held.incarnation <= ended,
    )


def complete(
    state: _state.IntentState, cmd: commands.CompleteIntent
) -> tuple[_state.IntentState, commands.IntentClosed | commands.Rejected]:
    """Stores the response of the attempt that holds the claim."""
    held = state.intents.get((cmd.account, cmd.idempotency_key))
    if held is None or held.request_id != cmd.request_id:
        return state, _reject_unknown_claim(cmd.request_id)
    if _lifecycles.INTENT.next(held.status.value, "complete") is None:
        return state, commands.IntentClosed()
    answer = cmd.answer if _may_store_answer(state, cmd.answer) else None
    return state.with_answer(held, answer), commands.IntentClosed()


def _may_store_answer(state: _state.IntentState, answer: bytes | None) -> bool:
    size = len(answer or b"")
    fits_total = state.answer_bytes + size <= MAX_TOTAL_ANSWER_BYTES
    return fits_total and size <= MAX_ANSWER_BYTES


def abandon(
    state: _state.IntentState, cmd: commands.AbandonIntent
) -> tuple[_state.IntentState, commands.IntentClosed | commands.Rejected]:
    """Removes a claim whose attempt provably did not run."""
    held = state.intents.get((cmd.account, cmd.idempotency_key))
    if held is None:
        return state.with_abandoned(cmd.request_id), commands.IntentClosed()
    if held.request_id != cmd.request_id:
        return state, _reject_unknown_claim(cmd.request_id)
    if _lifecycles.INTENT.next(held.status.value, "abandon") is None:
        return state, commands.Rejected(
            commands.RejectReason.INVALID,
            "The request has run; its intent cannot be abandoned.",
        )
    after = state.without_intent(held).with_abandoned(cmd.request_id)
    return after, commands.IntentClosed()


def _reject_unknown_claim(request_id: base.RequestId) -> commands.Rejected:
    return commands.Rejected(
        commands.RejectReason.NOT_FOUND,
        f"Attempt {request_id!r} holds no claim on this idempotency key.",
    )


def expire(
    state: _state.IntentState, cmd: commands.ExpireIntents
) -> tuple[_state.IntentState, commands.IntentsExpired | commands.Rejected]:
    """Removes expired intents, up to a maximum number per command."""
    if not math.isfinite(cmd.now):
        return state, commands.Rejected(
            commands.RejectReason.INVALID,
            "The expiry time must be a finite number.",
        )
    last_bucket = math.floor(cmd.now / _state.BUCKET_S)
    expired_keys = list(
        itertools.islice(
            _iter_expired_keys(state, last_bucket), MAX_EXPIRED_PER_COMMAND + 1
        )
    )
    for key in expired_keys[:MAX_EXPIRED_PER_COMMAND]:
        state = state.without_intent(state.intents[key])
    count = min(len(expired_keys), MAX_EXPIRED_PER_COMMAND)
    return state, commands.IntentsExpired(
        count, len(expired_keys) > MAX_EXPIRED_PER_COMMAND
    )


def has_expired(state: _state.IntentState, now: float) -> bool:
    """Returns whether any intent has expired at a wall time."""
    last_bucket = math.floor(now / _state.BUCKET_S)
    return any(number <= last_bucket for number in state.buckets)


def _iter_expired_keys(
    state: _state.IntentState, last_bucket: int
) -> collections.abc.Iterator[_state.IntentKey]:
    # The number of buckets depends on the maximum retention, not on the
    # number of intents.
    for bucket in sorted(
        number for number in state.buckets if number <= last_bucket
    ):
        yield from sorted(state.buckets[bucket])
