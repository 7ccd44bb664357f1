"""Estimated contents of the engines' prefix caches."""

import collections
import collections.abc

import attrs
import banyanbank_base as base

MAX_TRACKED_BLOCKS = 32_768
"""Blocks tracked over all engines, unless their minimums add up to more."""
MIN_TRACKED_BLOCKS_PER_ENGINE = 64
"""Blocks that may be tracked per engine, however many engines there are."""
CONFIDENCE_HALF_LIFE_S = 60.0
SENT_CONFIDENCE = 0.8
"""Confidence in a block after a prompt that contains it was sent."""
MIN_HELD_CONFIDENCE = 0.5
"""Confidence at which a block is reported as cached to other instances."""


@attrs.frozen
class CacheEvent:
    """One change of an engine's prefix cache."""

    block: str
    """Digest of the prompt up to the end of the block."""
    stored: bool
    """True if the block was stored, False if it was evicted."""


@attrs.frozen
class CacheBatch:
    """Consecutive cache events of one engine."""

    endpoint_id: base.EndpointId
    """Engine that the events come from."""
    incarnation: base.Incarnation
    """Incarnation of the engine; each one starts with an empty cache."""
    first_sequence: int
    """Sequence number of the first event; increases by 1 per event within an
    incarnation. Without events, the number of the next event."""
    events: tuple[CacheEvent, ...] = ()
    """Events in the order in which they occurred."""


@attrs.frozen
class _CacheEstimate:
    """Confidence that a block is cached, as of `updated_at`."""

    confidence: float
    updated_at: float

    def confidence_at(self, now: float) -> float:
        """Returns the confidence after exponential decay."""
        return self.confidence * 0.5 ** (
            (now - self.updated_at) / CONFIDENCE_HALF_LIFE_S
        )


@attrs.define
class _EngineCache:
    """Estimates for one engine, least recently used block first."""

    estimates: collections.OrderedDict[str, _CacheEstimate] = attrs.field(
        factory=collections.OrderedDict
    )
    incarnation: int | None = None
    next_sequence: int | None = None

    def reset(self, incarnation: int) -> None:
        self.estimates.clear()
        self.incarnation = incarnation
        self.next_sequence = None


class PrefixIndex:
    """Confidence, from 0 to 1, that an engine has a block in its cache.

    Events can be late, duplicate or lost. Each lost event may have evicted a
    block, so a gap of n events removes the n least recently used blocks, which
    the engine evicts first. Confidence decays over time, and the number of
    tracked blocks is bounded.
    """

    def __init__(self) -> None:
        self._engine_caches: dict[base.EndpointId, _EngineCache] = {}

    def note_sent(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        now: float,
    ) -> None:
        """Raises the confidence in the blocks of a prompt sent to an engine."""
        engine = self._engine_cache(endpoint_id)
        # Engines evict the last block of a prompt first, so it is updated
        # first here.
        for block in reversed(blocks):
            estimate = engine.estimates.get(block)
            current_confidence = (
                0.0 if estimate is None else estimate.confidence_at(now)
            )
            self._set_confidence(
                engine, block, max(current_confidence, SENT_CONFIDENCE), now
            )

    def apply(self, batch: CacheBatch, now: float) -> None:
        """Applies events; ignores earlier incarnations and duplicates."""
        engine = self._engine_cache(batch.endpoint_id)
        current_incarnation = engine.incarnation
        if (
            current_incarnation is not None
            and batch.incarnation < current_incarnation
        ):
            return
        if (
            current_incarnation is None
            or batch.incarnation > current_incarnation
        ):
            engine.reset(batch.incarnation)
        expected = engine.next_sequence
        overlap = 0 if expected is None else expected - batch.first_sequence
        if overlap < 0:
            self._evict_oldest(engine, -overlap)
        end = batch.first_sequence + len(batch.events)
        engine.next_sequence = end if expected is None else max(expected, end)
        for event in batch.events[max(0, overlap) :]:
            if event.stored:
                self._set_confidence(engine, event.block, 1.0, now)
            else:
                engine.estimates.pop(event.block, None)

    def merge_report(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        held: int,
        requested_at: float,
    ) -> None:
        """Merges the report of an instance that receives the engine's events.

        Args:
            endpoint_id: Engine that the report is about.
            blocks: Blocks of one prompt, from its beginning.
            held: Number of leading blocks that the engine has cached.
            requested_at: Monotonic time in seconds at which the report was
                requested; blocks that it lacks stay if they were updated
                since then.
        """
        engine = self._engine_cache(endpoint_id)
        for block in reversed(blocks[:held]):
            self._set_confidence(engine, block, 1.0, requested_at)
        for block in blocks[held:]:
            estimate = engine.estimates.get(block)
            if estimate is not None and estimate.updated_at < requested_at:
                del engine.estimates[block]

    def confidence(
        self, endpoint_id: base.EndpointId, block: str, now: float
    ) -> float:
        """Returns the confidence that the engine has a block cached."""
        engine = self._engine_caches.get(endpoint_id)
        estimate = None if engine is None else engine.estimates.get(block)
        return 0.0 if estimate is None else estimate.confidence_at(now)

    def cached_share(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        now: float,
    ) -> float:
        """Returns the expected cached fraction of a prompt's blocks.

        A cached block counts only if all blocks before it are cached too.
        """
        expected = 0.0
        min_confidence = 1.0
        for block in blocks:
            min_confidence = min(
                min_confidence, self.confidence(endpoint_id, block, now)
            )
            if not min_confidence:
                break
            expected += min_confidence
        return expected / len(blocks) if blocks else 0.0

    def held(
        self,
        endpoint_id: base.EndpointId,
        blocks: collections.abc.Sequence[str],
        now: float,
    ) -> int | None:
        """Returns how many leading blocks of a prompt an engine has cached.

        Returns:
            The number of blocks, or None if no events of the engine have been
            received.
        """
        engine = self._engine_caches.get(endpoint_id)
        if engine is None or engine.next_sequence is None:
            return None
        for count, block in enumerate(blocks):
            if self.confidence(endpoint_id, block, now) < MIN_HELD_CONFIDENCE:
                return count
        return len(blocks)

    def remove_endpoint(self, endpoint_id: base.EndpointId) -> None:
        """Removes the estimates for an engine that has left."""
        self._engine_caches.pop(endpoint_id, None)

    def _engine_cache(self, endpoint_id: base.EndpointId) -> _EngineCache:
        return self._engine_caches.setdefault(endpoint_id, _EngineCache())

    def _set_confidence(
        self, engine: _EngineCache, block: str, confidence: float, now: float
    ) -> None:
        engine.estimates[block] = _CacheEstimate(confidence, now)
        engine.estimates.move_to_end(block)
        max_blocks = max(
            MIN_TRACKED_BLOCKS_PER_ENGINE,
            MAX_TRACKED_BLOCKS // len(self._engine_caches),
        )
        self._evict_oldest(engine, len(engine.estimates) - max_blocks)

    def _evict_oldest(self, engine: _EngineCache, count: int) -> None:
        for _ in range(min(count, len(engine.estimates))):
            engine.estimates.popitem(last=False)
