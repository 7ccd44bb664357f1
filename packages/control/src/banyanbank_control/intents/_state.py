"""Intents by client account and idempotency key, bucketed by expiry."""

import enum
import math
import operator
import typing

import attrs
import banyanbank_base as base
import cbor2
import immutables

from banyanbank_control import _fifo

BUCKET_S = 60.0
"""Width of an expiry bucket, in seconds."""

CLOCK_MARGIN_S = 60.0
"""Difference of wall clocks that never shortens a retention, in seconds."""

ABANDONED_KEPT = 4096
"""Attempts given up that are remembered."""

IntentKey = tuple[str, str]
"""Client account and idempotency key."""


class IntentStatus(enum.Enum):
    """What is known of an intent's request."""

    OPEN = "open"
    """It runs, or may have run."""
    DONE = "done"
    """It ran."""


@attrs.frozen
class Intent:
    """One claim."""

    account: base.AccountId
    """Client account."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_digest: bytes
    """Digest of the request."""
    request_id: base.RequestId
    """Attempt that holds the claim."""
    instance: base.InstanceId
    """Entry of that attempt."""
    incarnation: base.Incarnation
    """Life of that entry."""
    endpoint: base.EndpointId
    """Endpoint chosen; empty when not known."""
    retain_until: float
    """Wall time up to which it is kept, in seconds."""
    status: IntentStatus = IntentStatus.OPEN
    """What is known."""
    answer: bytes | None = None
    """Answer of a request that ran; None when not kept."""

    @property
    def key(self) -> IntentKey:
        """Account and idempotency key."""
        return self.account, self.idempotency_key

    @property
    def bucket(self) -> int:
        """Number of the expiry bucket, rounded towards later."""
        return math.ceil((self.retain_until + CLOCK_MARGIN_S) / BUCKET_S)


_ROW = tuple(field.name for field in attrs.fields(Intent))
_row_of: typing.Callable[[Intent], tuple[typing.Any, ...]] = (
    operator.attrgetter(*_ROW)
)
_STATUS = _ROW.index("status")


@attrs.frozen
class IntentRecord:
    """Intents as a snapshot holds them.

    There may be very many, so their rows go without field names.
    """

    columns: tuple[str, ...]
    """Field of each value of a row."""
    rows: bytes
    """CBOR array of rows, sorted by account and idempotency key."""
    abandoned: tuple[base.RequestId, ...] = ()
    """Newest attempts given up, oldest first."""


_Bucket = immutables.Map[IntentKey, None]


def _no_attempts() -> _fifo.FifoMap[base.RequestId, bool]:
    return _fifo.FifoMap(ABANDONED_KEPT)


@attrs.frozen
class IntentState:
    """Every intent within its retention."""

    intents: immutables.Map[IntentKey, Intent] = attrs.Factory(immutables.Map)
    """Intents by account and idempotency key."""
    buckets: immutables.Map[int, _Bucket] = attrs.Factory(immutables.Map)
    """Keys by expiry bucket; empty buckets are absent."""
    counts: immutables.Map[base.AccountId, int] = attrs.Factory(immutables.Map)
    """Intents kept by account; accounts without any are absent."""
    answer_bytes: int = 0
    """Bytes of all answers kept."""
    abandoned: _fifo.FifoMap[base.RequestId, bool] = attrs.Factory(_no_attempts)
    """Newest attempts given up: a claim of theirs that comes late is void."""

    def with_intent(self, intent: Intent) -> "IntentState":
        """Returns the state with a new intent."""
        bucket = self.buckets.get(intent.bucket, immutables.Map())
        count = self.counts.get(intent.account, 0) + 1
        return IntentState(
            self.intents.set(intent.key, intent),
            self.buckets.set(intent.bucket, bucket.set(intent.key, None)),
            self.counts.set(intent.account, count),
            self.answer_bytes + len(intent.answer or b""),
            self.abandoned,
        )

    def with_abandoned(self, request_id: base.RequestId) -> "IntentState":
        """Returns the state with one more attempt given up."""
        abandoned = self.abandoned.with_entry(request_id, True)
        return attrs.evolve(self, abandoned=abandoned)

    def with_answer(
        self, intent: Intent, answer: bytes | None
    ) -> "IntentState":
        """Returns the state after an intent's request has run."""
        done = attrs.evolve(intent, status=IntentStatus.DONE, answer=answer)
        return attrs.evolve(
            self,
            intents=self.intents.set(done.key, done),
            answer_bytes=self.answer_bytes + len(answer or b""),
        )

    def without(self, intent: Intent) -> "IntentState":
        """Returns the state without one intent."""
        bucket = self.buckets[intent.bucket].delete(intent.key)
        left = self.counts[intent.account] - 1
        counts = self.counts.delete(intent.account)
        buckets = self.buckets.delete(intent.bucket)
        return IntentState(
            self.intents.delete(intent.key),
            buckets.set(intent.bucket, bucket) if bucket else buckets,
            counts.set(intent.account, left) if left else counts,
            self.answer_bytes - len(intent.answer or b""),
            self.abandoned,
        )

    def record(self) -> IntentRecord:
        """Returns the intents for a snapshot."""
        rows = [
            [*row[:_STATUS], row[_STATUS].value, *row[_STATUS + 1 :]]
            for row in map(_row_of, self.intents.values())
        ]
        rows.sort(key=operator.itemgetter(0, 1))
        abandoned = tuple(name for name, _ in self.abandoned.items())
        return IntentRecord(_ROW, cbor2.dumps(rows), abandoned)

    @classmethod
    def from_record(cls, record: IntentRecord) -> "IntentState":
        """Returns the intents that a snapshot holds.

        Raises:
            ValueError: The rows have other columns than this build's.
        """
        if record.columns != _ROW:
            raise ValueError(f"Intents have columns {record.columns}.")
        intents = immutables.Map[IntentKey, Intent]().mutate()
        buckets: dict[int, dict[IntentKey, None]] = {}
        counts: dict[base.AccountId, int] = {}
        answer_bytes = 0
        abandoned = _no_attempts()
        for request_id in record.abandoned:
            abandoned = abandoned.with_entry(request_id, True)
        for row in cbor2.loads(record.rows):
            row[_STATUS] = IntentStatus(row[_STATUS])
            intent = Intent(*row)
            intents[intent.key] = intent
            buckets.setdefault(intent.bucket, {})[intent.key] = None
            counts[intent.account] = counts.get(intent.account, 0) + 1
            answer_bytes += len(intent.answer or b"")
        filled: dict[int, _Bucket] = {
            number: immutables.Map(keys) for number, keys in buckets.items()
        }
        return cls(
            intents.finish(),
            immutables.Map(filled),
            immutables.Map(counts),
            answer_bytes,
            abandoned,
        )
