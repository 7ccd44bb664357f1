"""Hands rollout attempts on when their leader shuts down gracefully."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
import banyanbank_rollout as rollout
from twisted.internet import defer

METHOD = "rollouts.hand_over"
KEPT_S = 60.0
"""Time for which handed attempts wait for this instance to lead, seconds."""
MAX_TEXT_BYTES = 4 * 1024 * 1024
"""Text that one call carries, at most."""


@attrs.frozen
class HandedAttempt:
    """Output of an attempt that its leader has stopped."""

    slot: rollout.SampleSlot
    """Slot that it was to fill."""
    attempt_id: str
    """The attempt."""
    stretches: tuple[rollout.VersionStretch, ...]
    """Versions of its tokens, as the engine reported them."""
    text: str
    """Their text."""

    def view(self, now: float) -> rollout.AttemptView:
        """Returns what the next leader's scheduler is told.

        The engine is left out: the slot may well go on there, where its
        prefix is cached.
        """
        return rollout.AttemptView(
            slot=self.slot,
            attempt_id=self.attempt_id,
            started_at=now,
            progress=rollout.ResumePoint(self.stretches),
        )


@attrs.frozen
class Handover:
    """Attempts of a leader that shuts down."""

    attempts: tuple[HandedAttempt, ...]
    """Those with tokens, without twins of a slot."""


CODEC: base.Codec[Handover] = base.Codec(Handover)


class HandedAttempts:
    """Attempts that wait until this instance leads.

    Args:
        clock: Clock of their deadline.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._attempts: dict[rollout.SampleSlot, HandedAttempt] = {}
        self._kept_until = 0.0

    async def serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Handles one call of `METHOD`."""
        del sender
        for attempt in CODEC.decode(data).attempts:
            self._attempts[attempt.slot] = attempt
        self._kept_until = self._clock.now() + KEPT_S
        return b"taken"

    def take(self) -> tuple[HandedAttempt, ...]:
        """Returns what is waiting, once."""
        taken = tuple(self._attempts.values())
        self._attempts.clear()
        return taken if self._clock.now() < self._kept_until else ()


async def send(
    transport: mesh.Mesh,
    peers: collections.abc.Sequence[base.InstanceId],
    attempts: collections.abc.Iterable[HandedAttempt],
    deadline: float,
) -> None:
    """Tells every instance that may lead next; nobody knows which will.

    What does not arrive is generated anew.

    Args:
        transport: Mesh of this instance.
        peers: Other voters.
        attempts: What to hand on.
        deadline: When to give up, on the monotonic clock.
    """
    calls = [
        transport.call(peer, METHOD, CODEC.encode(Handover(part)), deadline)
        for part in _parts(attempts)
        for peer in peers
    ]
    waiting: typing.Any = calls
    await defer.DeferredList(waiting, consumeErrors=True)


def _parts(
    attempts: collections.abc.Iterable[HandedAttempt],
) -> collections.abc.Iterator[tuple[HandedAttempt, ...]]:
    part: list[HandedAttempt] = []
    size = 0
    for attempt in attempts:
        part.append(attempt)
        size += len(attempt.text.encode())
        if size >= MAX_TEXT_BYTES:
            yield tuple(part)
            part, size = [], 0
    if part:
        yield tuple(part)
