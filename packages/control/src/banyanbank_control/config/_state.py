"""State of the configuration: items in force, history, withdrawn keys."""

import collections.abc

import attrs
import banyanbank_base as base
import immutables

from banyanbank_control import _fifo
from banyanbank_control import declarations

MAX_HISTORY_REVISIONS = 1024
"""Maximum number of revisions in the history."""

MAX_HISTORY_ITEMS = 20_000
"""Maximum number of changed items in the history; the newest revision is
kept even if it exceeds this."""

MAX_REQUEST_RECORDS = 4096
"""Maximum number of operator requests whose first reply is stored."""


@attrs.frozen
class Delta:
    """Items that one accepted change added, replaced and removed."""

    revision: int
    """Revision that the change produced."""
    operator: str
    """Operator who requested the change."""
    request_id: base.RequestId
    """Id of the operator's request."""
    puts: declarations.Declarations
    """Added or changed items, with their new values."""
    removed: tuple[declarations.ItemRef, ...]
    """References to the removed items."""

    @property
    def size(self) -> int:
        """Number of changed items."""
        return sum(1 for _ in self.puts.items()) + len(self.removed)


@attrs.frozen
class Tombstone:
    """A withdrawn key; neither its id nor its hash may be used again."""

    key_id: base.KeyId
    """Id of the withdrawn key."""
    secret_sha256: str
    """Hash of the key's secret."""
    revision: int
    """Revision that withdrew the key."""


@attrs.frozen
class RequestRecord:
    """First reply to an operator's request; repeated for a retry."""

    request_id: base.RequestId
    """Id of the request."""
    digest: bytes
    """Digest of the request's content."""
    reply: bytes
    """The reply, encoded with `REPLY_CODEC`."""


@attrs.frozen
class ConfigRecord:
    """The configuration in the form that a snapshot stores."""

    revision: int
    """Revision in force."""
    declared: declarations.Declarations
    """All items in force, including keys."""
    tombstones: tuple[Tombstone, ...]
    """Withdrawn keys."""
    history: tuple[Delta, ...]
    """Retained changes, oldest first."""
    requests: tuple[RequestRecord, ...]
    """Retained requests, oldest first."""


def _empty_requests() -> _fifo.FifoMap[base.RequestId, RequestRecord]:
    return _fifo.FifoMap(MAX_REQUEST_RECORDS)


@attrs.frozen
class ConfigState:
    """The configuration; immutable, each change returns a new state."""

    revision: int = 0
    """Revision in force; 0 before the first change."""
    items: immutables.Map[declarations.ItemRef, declarations.Item] = (
        attrs.Factory(immutables.Map)
    )
    """Items in force, without keys."""
    keys: immutables.Map[base.KeyId, declarations.Key] = attrs.Factory(
        immutables.Map
    )
    """Keys in force."""
    key_ids_by_hash: immutables.Map[str, base.KeyId] = attrs.Factory(
        immutables.Map
    )
    """Ids of the keys in force, by the hash of their secret."""
    reference_counts: immutables.Map[declarations.ItemRef, int] = attrs.Factory(
        immutables.Map
    )
    """Number of references to each item; unreferenced items are absent."""
    tombstones: immutables.Map[base.KeyId, Tombstone] = attrs.Factory(
        immutables.Map
    )
    """Withdrawn keys."""
    withdrawn_ids_by_hash: immutables.Map[str, base.KeyId] = attrs.Factory(
        immutables.Map
    )
    """Ids of withdrawn keys, by the hash of their secret."""
    history: immutables.Map[int, Delta] = attrs.Factory(immutables.Map)
    """Retained changes by revision, without gaps up to `revision`."""
    history_items: int = 0
    """Number of changed items in the history."""
    requests: _fifo.FifoMap[base.RequestId, RequestRecord] = attrs.Factory(
        _empty_requests
    )
    """First replies to the most recent requests of operators."""

    def accounts(self) -> tuple[declarations.Account, ...]:
        """Returns the client accounts in force without iterating over keys."""
        return tuple(
            item
            for item in self.items.values()
            if isinstance(item, declarations.Account)
        )

    def capacities(self) -> tuple[declarations.Capacity, ...]:
        """Returns the capacity bounds in force without iterating over keys."""
        return tuple(
            item
            for item in self.items.values()
            if isinstance(item, declarations.Capacity)
        )

    def offers(self) -> tuple[declarations.Offer, ...]:
        """Returns the platform's offers without iterating over keys."""
        return tuple(
            item
            for item in self.items.values()
            if isinstance(item, declarations.Offer)
        )

    def declared(self) -> declarations.Declarations:
        """Returns all items in force, including keys."""
        return declarations.Declarations.from_items(
            [*self.items.values(), *self.keys.values()]
        )

    def changes_since(self, revision: int) -> tuple[Delta, ...] | None:
        """Returns the changes after a revision, oldest first.

        Returns:
            None if the history does not reach back to the revision, or the
            revision is unknown; the complete configuration is then needed.
        """
        if revision > self.revision:
            return None
        wanted = range(revision + 1, self.revision + 1)
        if len(wanted) > len(self.history):
            return None
        return tuple(self.history[number] for number in wanted)

    def with_delta(self, delta: Delta) -> "ConfigState":
        """Returns the configuration with an accepted change applied."""
        state = self.with_items(delta.puts.items())
        for ref in delta.removed:
            state = state._without_item(ref, delta.revision)
        return state._with_history(delta)

    def with_items(
        self, items: collections.abc.Iterable[declarations.Item]
    ) -> "ConfigState":
        """Returns the configuration with items added or replaced."""
        non_key_items = self.items.mutate()
        keys = self.keys.mutate()
        key_ids_by_hash = self.key_ids_by_hash.mutate()
        reference_counts = self.reference_counts.mutate()
        for item in items:
            if isinstance(item, declarations.Key):
                old: declarations.Item | None = keys.get(item.key_id)
                keys[item.key_id] = item
                key_ids_by_hash[item.secret_sha256] = item.key_id
            else:
                old = non_key_items.get(item.ref)
                non_key_items[item.ref] = item
            _adjust_reference_counts(reference_counts, old, -1)
            _adjust_reference_counts(reference_counts, item, 1)
        return attrs.evolve(
            self,
            items=non_key_items.finish(),
            keys=keys.finish(),
            key_ids_by_hash=key_ids_by_hash.finish(),
            reference_counts=reference_counts.finish(),
        )

    def get(self, ref: declarations.ItemRef) -> declarations.Item | None:
        """Returns an item or key in force, or None."""
        if ref.kind == declarations.Kind.KEY.value:
            return self.keys.get(base.KeyId(ref.id))
        return self.items.get(ref)

    def with_tombstone(self, tombstone: Tombstone) -> "ConfigState":
        """Returns the configuration with a withdrawn key added."""
        return attrs.evolve(
            self,
            tombstones=self.tombstones.set(tombstone.key_id, tombstone),
            withdrawn_ids_by_hash=self.withdrawn_ids_by_hash.set(
                tombstone.secret_sha256, tombstone.key_id
            ),
        )

    def with_request_record(self, record: RequestRecord) -> "ConfigState":
        """Returns the configuration with the first reply to a request."""
        return attrs.evolve(
            self, requests=self.requests.with_entry(record.request_id, record)
        )

    def _without_item(
        self, ref: declarations.ItemRef, revision: int
    ) -> "ConfigState":
        reference_counts = self.reference_counts.mutate()
        _adjust_reference_counts(reference_counts, self.get(ref), -1)
        state = attrs.evolve(self, reference_counts=reference_counts.finish())
        if ref.kind != declarations.Kind.KEY.value:
            return attrs.evolve(state, items=self.items.delete(ref))
        key = self.keys[base.KeyId(ref.id)]
        state = attrs.evolve(
            state,
            keys=self.keys.delete(key.key_id),
            key_ids_by_hash=self.key_ids_by_hash.delete(key.secret_sha256),
        )
        return state.with_tombstone(
            Tombstone(key.key_id, key.secret_sha256, revision)
        )

    def _with_history(self, delta: Delta) -> "ConfigState":
        history = self.history.set(delta.revision, delta)
        items = self.history_items + delta.size
        oldest = delta.revision + 1 - len(history)
        while len(history) > 1 and (
            len(history) > MAX_HISTORY_REVISIONS or items > MAX_HISTORY_ITEMS
        ):
            items -= history[oldest].size
            history = history.delete(oldest)
            oldest += 1
        return attrs.evolve(
            self,
            revision=delta.revision,
            history=history,
            history_items=items,
        )

    def to_record(self) -> ConfigRecord:
        """Returns the record of this configuration for a snapshot."""
        return ConfigRecord(
            revision=self.revision,
            declared=self.declared(),
            tombstones=tuple(
                sorted(self.tombstones.values(), key=lambda t: t.key_id)
            ),
            history=tuple(
                self.history[number] for number in sorted(self.history)
            ),
            requests=tuple(value for _, value in self.requests.items()),
        )

    @classmethod
    def from_record(cls, record: ConfigRecord) -> "ConfigState":
        """Returns the configuration that a snapshot's record describes."""
        state = cls(revision=record.revision)
        state = state.with_items(record.declared.items())
        for tombstone in record.tombstones:
            state = state.with_tombstone(tombstone)
        for request in record.requests:
            state = state.with_request_record(request)
        return attrs.evolve(
            state,
            history=immutables.Map(
                {delta.revision: delta for delta in record.history}
            ),
            history_items=sum(delta.size for delta in record.history),
        )


def _adjust_reference_counts(
    reference_counts: immutables.MapMutation[declarations.ItemRef, int],
    item: declarations.Item | None,
    step: int,
) -> None:
    """Adds `step` to the count of each item that `item` refers to."""
    if item is None:
        return
    for reference in declarations.find_references(item):
        count = reference_counts.get(reference.ref, 0) + step
        if count:
            reference_counts[reference.ref] = count
        else:
            del reference_counts[reference.ref]
