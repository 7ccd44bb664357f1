"""What an instance believes of the engines' prefix caches."""

import collections

import attrs
import banyanbank_base as base

MAX_PREFIXES = 512
HALF_LIFE_S = 60.0
GAP_FACTOR = 0.5
SENT_CONFIDENCE = 0.8


@attrs.frozen
class CacheEvent:
    """One prefix cache event of an engine."""

    endpoint_id: base.EndpointId
    """Which engine."""
    sequence: int
    """Counts the engine's events; a gap means lost events."""
    prefix: str
    """Digest of the prefix."""
    stored: bool
    """True when stored, False when evicted."""


@attrs.frozen
class _Belief:
    """Confidence that a prefix is cached, at a time."""

    confidence: float
    at: float

    def value(self, now: float) -> float:
        """Returns the confidence, halved every half-life."""
        return self.confidence * 0.5 ** ((now - self.at) / HALF_LIFE_S)


class PrefixIndex:
    """Confidence, from 0 to 1, that an engine holds a prefix.

    Events come late and with gaps: a gap lowers the confidence in all that is
    known of that engine, and confidence fades with time.
    """

    def __init__(self) -> None:
        self._beliefs: dict[
            base.EndpointId, collections.OrderedDict[str, _Belief]
        ] = {}
        self._sequence: dict[base.EndpointId, int] = {}

    def note_sent(
        self, endpoint_id: base.EndpointId, prefix: str, now: float
    ) -> None:
        """Expects the engine to hold a prefix that was just sent to it."""
        known = self.confidence(endpoint_id, prefix, now)
        self._set(endpoint_id, prefix, max(known, SENT_CONFIDENCE), now)

    def apply(self, event: CacheEvent, now: float) -> None:
        """Takes in an event; late duplicates are ignored."""
        last = self._sequence.get(event.endpoint_id)
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self._lower_all(event.endpoint_id)
        self._sequence[event.endpoint_id] = event.sequence
        if event.stored:
            self._set(event.endpoint_id, event.prefix, 1.0, now)
        else:
            known = self._beliefs.get(event.endpoint_id)
            if known is not None:
                known.pop(event.prefix, None)

    def confidence(
        self, endpoint_id: base.EndpointId, prefix: str, now: float
    ) -> float:
        """Returns the confidence that the engine holds the prefix."""
        known = self._beliefs.get(endpoint_id)
        belief = None if known is None else known.get(prefix)
        return 0.0 if belief is None else belief.value(now)

    def forget(self, endpoint_id: base.EndpointId) -> None:
        """Drops what is known of an engine, as after its restart."""
        self._beliefs.pop(endpoint_id, None)
        self._sequence.pop(endpoint_id, None)

    def _set(
        self,
        endpoint_id: base.EndpointId,
        prefix: str,
        confidence: float,
        now: float,
    ) -> None:
        known = self._beliefs.setdefault(endpoint_id, collections.OrderedDict())
        known[prefix] = _Belief(confidence, now)
        known.move_to_end(prefix)
        if len(known) > MAX_PREFIXES:
            known.popitem(last=False)

    def _lower_all(self, endpoint_id: base.EndpointId) -> None:
        known = self._beliefs.get(endpoint_id)
        if known is None:
            return
        for prefix, belief in known.items():
            known[prefix] = attrs.evolve(
                belief, confidence=belief.confidence * GAP_FACTOR
            )
