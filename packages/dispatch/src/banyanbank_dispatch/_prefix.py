"""What an instance believes of the engines' prefix caches."""

import collections
import collections.abc

import attrs
import banyanbank_base as base

MAX_BLOCKS = 32_768
"""Blocks known of all engines together."""
MIN_BLOCKS = 64
"""Blocks known of one engine, however many engines there are."""
HALF_LIFE_S = 60.0
SENT_CONFIDENCE = 0.8
HELD_CONFIDENCE = 0.5
"""Confidence from which on a block counts as held when others ask."""


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache."""

    block: str
    """Digest of the prompt up to the end of the block."""
    stored: bool
    """True when stored, False when evicted."""


@attrs.frozen
class CacheBatch:
    """Consecutive cache events of one engine."""

    endpoint_id: base.EndpointId
    """Which engine."""
    incarnation: base.Incarnation
    """Its life; a later one begins with an empty cache."""
    first_sequence: int
    """Number of the first event in that life, rising by one an event. Without
    events, the number that the next one will have."""
    events: tuple[CacheEvent, ...] = ()
    """In the order in which they happened."""


@attrs.frozen
class _Belief:
    """Confidence that a block is cached, at a time."""

    confidence: float
    at: float

    def value(self, now: float) -> float:
        """Returns the confidence, halved every half-life."""
        return self.confidence * 0.5 ** ((now - self.at) / HALF_LIFE_S)


@attrs.define
class _Engine:
    """What is known of one engine."""

    beliefs: collections.OrderedDict[str, _Belief] = attrs.field(
        factory=collections.OrderedDict
    )
    incarnation: int | None = None
    next_sequence: int | None = None

    def restart(self, incarnation: int) -> None:
        self.beliefs.clear()
        self.incarnation = incarnation
        self.next_sequence = None


class PrefixIndex:
    """Confidence, from 0 to 1, that an engine holds a block.

    Events come late and with gaps. Each lost event may have evicted a block,
    so a gap of some length forgets as many: those used longest ago, which the
    engine evicts first. Confidence fades with time, and memory is bounded.
    """

    def __init__(self) -> None:
        self._engines: dict[base.EndpointId, _Engine] = {}

    def note_sent(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        now: float,
    ) -> None:
        """Expects the engine to hold what was just sent to it."""
        engine = self._engine(endpoint_id)
        # The last block is the first to be evicted.
        for block in reversed(blocks):
            belief = engine.beliefs.get(block)
            known = 0.0 if belief is None else belief.value(now)
            self._set(engine, block, max(known, SENT_CONFIDENCE), now)

    def apply(self, batch: CacheBatch, now: float) -> None:
        """Takes in events, but none of an earlier life and none twice."""
        engine = self._engine(batch.endpoint_id)
        life = engine.incarnation
        if life is not None and batch.incarnation < life:
            return
        if life is None or batch.incarnation > life:
            engine.restart(batch.incarnation)
        expected = engine.next_sequence
        known = 0 if expected is None else expected - batch.first_sequence
        if known < 0:
            self._forget_oldest(engine, -known)
        end = batch.first_sequence + len(batch.events)
        engine.next_sequence = end if expected is None else max(expected, end)
        for event in batch.events[max(0, known) :]:
            if event.stored:
                self._set(engine, event.block, 1.0, now)
            else:
                engine.beliefs.pop(event.block, None)

    def learn(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        held: int,
        asked_at: float,
    ) -> None:
        """Takes over what a better informed instance says.

        Args:
            endpoint_id: Which engine.
            blocks: Blocks of one prompt, from its beginning.
            held: How many of them, from the beginning, the engine holds.
            asked_at: Monotonic seconds when it was asked; what was sent since
                then is still expected.
        """
        engine = self._engine(endpoint_id)
        for block in reversed(blocks[:held]):
            self._set(engine, block, 1.0, asked_at)
        for block in blocks[held:]:
            belief = engine.beliefs.get(block)
            if belief is not None and belief.at < asked_at:
                del engine.beliefs[block]

    def confidence(
        self, endpoint_id: base.EndpointId, block: str, now: float
    ) -> float:
        """Returns the confidence that the engine holds a block."""
        engine = self._engines.get(endpoint_id)
        belief = None if engine is None else engine.beliefs.get(block)
        return 0.0 if belief is None else belief.value(now)

    def cached_share(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        now: float,
    ) -> float:
        """Returns the share of a prompt's blocks that is expected cached.

        A block helps only where all blocks before it are held as well.
        """
        expected = 0.0
        least = 1.0
        for block in blocks:
            least = min(least, self.confidence(endpoint_id, block, now))
            if not least:
                break
            expected += least
        return expected / len(blocks) if blocks else 0.0

    def held(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        now: float,
    ) -> int | None:
        """Returns how many blocks, from the beginning, an engine holds.

        None for an engine whose events were never heard.
        """
        engine = self._engines.get(endpoint_id)
        if engine is None or engine.next_sequence is None:
            return None
        for count, block in enumerate(blocks):
            if self.confidence(endpoint_id, block, now) < HELD_CONFIDENCE:
                return count
        return len(blocks)

    def forget(self, endpoint_id: base.EndpointId) -> None:
        """Drops what is known of an engine that has left."""
        self._engines.pop(endpoint_id, None)

    def _engine(self, endpoint_id: base.EndpointId) -> _Engine:
        return self._engines.setdefault(endpoint_id, _Engine())

    def _set(
        self, engine: _Engine, block: str, confidence: float, now: float
    ) -> None:
        engine.beliefs[block] = _Belief(confidence, now)
        engine.beliefs.move_to_end(block)
        most = max(MIN_BLOCKS, MAX_BLOCKS // len(self._engines))
        self._forget_oldest(engine, len(engine.beliefs) - most)

    def _forget_oldest(self, engine: _Engine, count: int) -> None:
        for _ in range(min(count, len(engine.beliefs))):
            engine.beliefs.popitem(last=False)
