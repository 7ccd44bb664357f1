"""State of intents: by account and idempotency key, bucketed by expiry."""

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

CLOCK_SKEW_MARGIN_S = 60.0
"""Wall clock difference that must not shorten a retention, in seconds."""

MAX_ABANDONED_ATTEMPTS = 4096
"""Maximum number of abandoned attempts whose ids are stored."""

IntentKey = tuple[str, str]
"""Client account and idempotency key."""


class IntentStatus(enum.Enum):
    """Known state of an intent's request."""

    OPEN = "open"
    """The request is running, or may have run."""
    DONE = "done"
    """The request ran."""


@attrs.frozen
class Intent:
    """A claim to run one non-idempotent request."""

    account: base.AccountId
    """Client account of the caller."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_digest: bytes
    """Digest of method, path and body of the request."""
    request_id: base.RequestId
    """Id of the attempt that holds the claim."""
    instance: base.InstanceId
    """Entry instance of that attempt."""
    incarnation: base.Incarnation
    """Incarnation of that entry instance."""
    endpoint: base.EndpointId
    """Chosen endpoint; empty if not known."""
    retain_until: float
    """Wall time until which the intent is retained, in seconds."""
    status: IntentStatus = IntentStatus.OPEN
    """Known state of the request."""
    answer: bytes | None = None
    """Encoded response of a request that ran; None if not stored."""

    @property
    def key(self) -> IntentKey:
        """Account and idempotency key."""
        return self.account, self.idempotency_key

    @property
    def bucket(self) -> int:
        """Number of the expiry bucket, rounded up."""
        return math.ceil((self.retain_until + CLOCK_SKEW_MARGIN_S) / BUCKET_S)


_COLUMNS = tuple(field.name for field in attrs.fields(Intent))
_row_values: typing.Callable[[Intent], tuple[typing.Any, ...]] = (
    operator.attrgetter(*_COLUMNS)
)
_STATUS_INDEX = _COLUMNS.index("status")


@attrs.frozen
class IntentRecord:
    """Intents in the form that a snapshot stores.

    Rows omit the field names, since there may be very many intents.
    """

    columns: tuple[str, ...]
    """Field names of the values of a row, in order."""
    rows: bytes
    """CBOR array of rows, sorted by account and idempotency key."""
    abandoned: tuple[base.RequestId, ...] = ()
    """Most recently abandoned attempts, oldest first."""


_Bucket = immutables.Map[IntentKey, None]


def _empty_attempts() -> _fifo.FifoMap[base.RequestId, bool]:
    return _fifo.FifoMap(MAX_ABANDONED_ATTEMPTS)


@attrs.frozen
class IntentState:
    """All intents within their retention; immutable."""

    intents: immutables.Map[IntentKey, Intent] = attrs.Factory(immutables.Map)
    """Intents by account and idempotency key."""
    buckets: immutables.Map[int, _Bucket] = attrs.Factory(immutables.Map)
    """Keys by expiry bucket; empty buckets are absent."""
    counts: immutables.Map[base.AccountId, int] = attrs.Factory(immutables.Map)
    """Number of intents by account; accounts without intents are absent."""
    answer_bytes: int = 0
    """Total size of the stored responses, in bytes."""
    abandoned: _fifo.FifoMap[base.RequestId, bool] = attrs.Factory(
        _empty_attempts
    )
    """Most recently abandoned attempts; a late claim of one is rejected."""

    def with_intent(self, intent: Intent) -> "IntentState":
        """Returns the state with an intent added."""
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
        """Returns the state with an abandoned attempt recorded."""
        abandoned = self.abandoned.with_entry(request_id, True)
        return attrs.evolve(self, abandoned=abandoned)

    def with_answer(
        self, intent: Intent, answer: bytes | None
    ) -> "IntentState":
        """Returns the state with an intent's request marked as run."""
        done = attrs.evolve(intent, status=IntentStatus.DONE, answer=answer)
        return attrs.evolve(
            self,
            intents=self.intents.set(done.key, done),
            answer_bytes=self.answer_bytes + len(answer or b""),
        )

    def without_intent(self, intent: Intent) -> "IntentState":
        """Returns the state with an intent removed."""
        bucket = self.buckets[intent.bucket].delete(intent.key)
        remaining = self.counts[intent.account] - 1
        counts = self.counts.delete(intent.account)
        buckets = self.buckets.delete(intent.bucket)
        return IntentState(
            self.intents.delete(intent.key),
            buckets.set(intent.bucket, bucket) if bucket else buckets,
            counts.set(intent.account, remaining) if remaining else counts,
            self.answer_bytes - len(intent.answer or b""),
            self.abandoned,
        )

    def to_record(self) -> IntentRecord:
        """Returns the record of the intents for a snapshot."""
        rows = [
            [
                *row[:_STATUS_INDEX],
                row[_STATUS_INDEX].value,
                *row[_STATUS_INDEX + 1 :],
            ]
            for row in map(_row_values, self.intents.values())
        ]
        rows.sort(key=operator.itemgetter(0, 1))
        abandoned = tuple(name for name, _ in self.abandoned.items())
        return IntentRecord(_COLUMNS, cbor2.dumps(rows), abandoned)

    @classmethod
    def from_record(cls, record: IntentRecord) -> "IntentState":
        """Returns the state that a snapshot's record describes.

        Raises:
            ValueError: The columns differ from those of this build.
        """
        if record.columns != _COLUMNS:
            raise ValueError(f"Unknown intent columns {record.columns}.")
        intents = immutables.Map[IntentKey, Intent]().mutate()
        buckets: dict[int, dict[IntentKey, None]] = {}
        counts: dict[base.AccountId, int] = {}
        answer_bytes = 0
        abandoned = _empty_attempts()
        for request_id in record.abandoned:
            abandoned = abandoned.with_entry(request_id, True)
        for row in cbor2.loads(record.rows):
            row[_STATUS_INDEX] = IntentStatus(row[_STATUS_INDEX])
            intent = Intent(*row)
            intents[intent.key] = intent
            buckets.setdefault(intent.bucket, {})[intent.key] = None
            counts[intent.account] = counts.get(intent.account, 0) + 1
            answer_bytes += len(intent.answer or b"")
        frozen_buckets: dict[int, _Bucket] = {
            number: immutables.Map(keys) for number, keys in buckets.items()
        }
        return cls(
            intents.finish(),
            immutables.Map(frozen_buckets),
            immutables.Map(counts),
            answer_bytes,
            abandoned,
        )
