"""Transfers partial rollout attempts when a leader shuts down gracefully."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
import banyanbank_rollout as rollout
from twisted.internet import defer

METHOD = "rollouts.hand_over"
HANDOVER_TTL_S = 60.0
"""Seconds for which received attempts wait for this instance to lead."""
BATCH_TEXT_BYTES = 4 * 1024 * 1024
"""Text size at which a call is full; its last attempt may exceed it."""


@attrs.frozen
class HandedAttempt:
    """Partial output of an attempt that the previous leader stopped."""

    slot: rollout.SampleSlot
    """Sample slot of the attempt."""
    attempt_id: str
    """Id of the stopped attempt."""
    stretches: tuple[rollout.VersionStretch, ...]
    """Weight versions of its tokens, as reported by the engine."""
    text: str
    """Text of these tokens."""

    def build_view(self, now: float) -> rollout.AttemptView:
        """Builds the view that the next leader's scheduler takes.

        The engine is omitted, so that the slot may be placed there again:
        that engine has the prefix cached.
        """
        return rollout.AttemptView(
            slot=self.slot,
            attempt_id=self.attempt_id,
            started_at=now,
            progress=rollout.ResumePoint(self.stretches),
        )


@attrs.frozen
class Handover:
    """Attempts of a leader that is shutting down."""

    attempts: tuple[HandedAttempt, ...]
    """Attempts with tokens, at most one per slot."""


CODEC: base.Codec[Handover] = base.Codec(Handover)


class HandoverInbox:
    """Keeps attempts received from a leader until this instance leads.

    Args:
        clock: Monotonic clock for their expiry.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._pending: dict[rollout.SampleSlot, HandedAttempt] = {}
        self._expires_at = 0.0

    async def serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Stores the attempts of a `METHOD` call and renews the expiry."""
        del sender
        for attempt in CODEC.decode(data).attempts:
            self._pending[attempt.slot] = attempt
        self._expires_at = self._clock.now() + HANDOVER_TTL_S
        return b"taken"

    def take_all(self) -> tuple[HandedAttempt, ...]:
        """Removes all attempts and returns those that have not expired."""
        pending = tuple(self._pending.values())
        self._pending.clear()
        return pending if self._clock.now() < self._expires_at else ()


async def hand_over(
    transport: mesh.Mesh,
    peers: collections.abc.Sequence[base.InstanceId],
    attempts: collections.abc.Iterable[HandedAttempt],
    deadline: float,
) -> None:
    """Sends attempts to all peers, as the next leader is not known yet.

    Best effort: attempts that do not arrive are generated again.

    Args:
        transport: Mesh of this instance.
        peers: Other voters, any of which may lead next.
        attempts: Attempts to transfer.
        deadline: Deadline of all calls, on the monotonic clock.
    """
    calls = [
        transport.call(peer, METHOD, CODEC.encode(Handover(batch)), deadline)
        for batch in _batch_attempts(attempts)
        for peer in peers
    ]
    waiting: typing.Any = calls
    await defer.DeferredList(waiting, consumeErrors=True)


def _batch_attempts(
    attempts: collections.abc.Iterable[HandedAttempt],
) -> collections.abc.Iterator[tuple[HandedAttempt, ...]]:
    batch: list[HandedAttempt] = []
    size = 0
    for attempt in attempts:
        batch.append(attempt)
        size += len(attempt.text.encode())
        if size >= BATCH_TEXT_BYTES:
            yield tuple(batch)
            batch, size = [], 0
    if batch:
        yield tuple(batch)
