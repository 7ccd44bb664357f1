"""Which running streams should go on at a faster engine."""

import collections.abc
import statistics

import attrs
import banyanbank_base as base

MIN_TOKENS_RATIO = 2.0
MOVE_COST_S = 2.0
MIN_LEAD_TOKENS = 200.0
"""How much longer a stream must be than one that makes room for it."""


@attrs.frozen
class Stream:
    """One running rollout stream."""

    request_id: base.RequestId
    """Which request."""
    endpoint_id: base.EndpointId
    """Engine that runs it."""
    tokens: float
    """Tokens generated so far."""
    rank: int = 0
    """How many older steps its trainer still waits for."""

    @property
    def order(self) -> tuple[int, float]:
        """Sorts what a trainer waits for soonest and longest to the front."""
        return self.rank, -self.tokens


@attrs.frozen
class Lane:
    """One engine as a place for streams."""

    endpoint_id: base.EndpointId
    """Which engine."""
    token_s: float
    """Seconds between tokens of each of its streams at present."""
    free_slots: int
    """Rollout streams that it can still take."""
    is_fast: bool
    """Whether it keeps its batch small for the longest streams."""


@attrs.frozen
class Move:
    """Export a stream's KV cache and go on elsewhere."""

    request_id: base.RequestId
    """Which request."""
    target: base.EndpointId | None
    """Where it goes on; None for any engine that is not fast."""


class StreamMover:
    """Moves the longest streams to engines that keep their batches small.

    Lengths are heavy-tailed: a stream that has run for long is expected to
    run for about as long again. It is moved once it is much longer than the
    typical one and the move should save more than it costs.
    """

    def moves(
        self,
        streams: collections.abc.Sequence[Stream],
        lanes: collections.abc.Sequence[Lane],
    ) -> tuple[Move, ...]:
        """Returns the moves to make now."""
        by_id = {lane.endpoint_id: lane for lane in lanes}
        fast = [lane for lane in lanes if lane.is_fast]
        if not streams or not fast:
            return ()
        typical = statistics.median(stream.tokens for stream in streams)
        slow = [
            stream
            for stream in streams
            if (lane := by_id.get(stream.endpoint_id)) and not lane.is_fast
            if stream.tokens >= MIN_TOKENS_RATIO * typical
        ]
        slow.sort(key=lambda stream: stream.order)
        moves: list[Move] = []
        for lane in fast:
            held = [s for s in streams if s.endpoint_id == lane.endpoint_id]
            worth = [s for s in slow if _gain_s(s, by_id, lane) > MOVE_COST_S]
            moves += _fill(lane, held, worth)
            taken = {move.request_id for move in moves}
            slow = [s for s in slow if s.request_id not in taken]
        return tuple(moves)


def _fill(lane: Lane, held: list[Stream], waiting: list[Stream]) -> list[Move]:
    """Takes the longest in; the shortest held ones make room."""
    held = sorted(held, key=lambda stream: stream.order)
    free = max(0, lane.free_slots)
    moves: list[Move] = []
    for stream in waiting:
        if free:
            free -= 1
        elif held and _yields(held[-1], stream):
            moves.append(Move(held.pop().request_id, None))
        else:
            break
        moves.append(Move(stream.request_id, lane.endpoint_id))
    return moves


def _yields(held: Stream, stream: Stream) -> bool:
    if held.rank != stream.rank:
        return held.rank > stream.rank
    return held.tokens + MIN_LEAD_TOKENS < stream.tokens


def _gain_s(
    stream: Stream,
    lanes: collections.abc.Mapping[base.EndpointId, Lane],
    target: Lane,
) -> float:
    here = lanes[stream.endpoint_id].token_s
    return stream.tokens * (here - target.token_s)
