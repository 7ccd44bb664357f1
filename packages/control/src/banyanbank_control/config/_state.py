"""The configuration in force, its history and its withdrawn keys."""

import collections.abc

import attrs
import banyanbank_base as base
import immutables

from banyanbank_control import _fifo
from banyanbank_control import declarations

HISTORY_REVISIONS = 1024
"""Revisions of which the changes are kept, at most."""

HISTORY_ITEMS = 20_000
"""Changed items that the history keeps, at most."""

REMEMBERED_REQUESTS = 4096
"""Operators' requests whose first reply is kept."""


@attrs.frozen
class Delta:
    """What one accepted change did."""

    revision: int
    """Revision that it made."""
    operator: str
    """Who asked."""
    request_id: base.RequestId
    """The operator's request."""
    puts: declarations.Declarations
    """Items added or changed, with their new values."""
    removed: tuple[declarations.ItemRef, ...]
    """Items removed."""

    @property
    def size(self) -> int:
        """How many items changed."""
        return sum(1 for _ in self.puts.items()) + len(self.removed)


@attrs.frozen
class Tombstone:
    """A withdrawn key: neither its id nor its hash ever comes back."""

    key_id: base.KeyId
    """The key."""
    secret_sha256: str
    """Hash of its secret."""
    revision: int
    """Revision that withdrew it."""


@attrs.frozen
class RequestRecord:
    """First reply to an operator's request."""

    request_id: base.RequestId
    """The request."""
    digest: bytes
    """Digest of its content."""
    reply: bytes
    """The reply as bytes of `REPLY_CODEC`."""


@attrs.frozen
class ConfigRecord:
    """The configuration as a snapshot holds it."""

    revision: int
    """Revision in force."""
    declared: declarations.Declarations
    """All items, keys included."""
    tombstones: tuple[Tombstone, ...]
    """Withdrawn keys."""
    history: tuple[Delta, ...]
    """Newest changes, oldest first."""
    requests: tuple[RequestRecord, ...]
    """Newest requests, oldest first."""


def _no_requests() -> _fifo.FifoMap[base.RequestId, RequestRecord]:
    return _fifo.FifoMap(REMEMBERED_REQUESTS)


@attrs.frozen
class ConfigState:
    """The configuration; immutable, each change makes a new one."""

    revision: int = 0
    """Revision in force; 0 before the first change."""
    items: immutables.Map[declarations.ItemRef, declarations.Item] = (
        attrs.Factory(immutables.Map)
    )
    """Items in force, keys left out."""
    keys: immutables.Map[base.KeyId, declarations.Key] = attrs.Factory(
        immutables.Map
    )
    """Keys in force."""
    hashes: immutables.Map[str, base.KeyId] = attrs.Factory(immutables.Map)
    """Keys in force by the hash of their secret."""
    referrers: immutables.Map[declarations.ItemRef, int] = attrs.Factory(
        immutables.Map
    )
    """References to each item by others; items without any are absent."""
    tombstones: immutables.Map[base.KeyId, Tombstone] = attrs.Factory(
        immutables.Map
    )
    """Withdrawn keys."""
    dead_hashes: immutables.Map[str, base.KeyId] = attrs.Factory(immutables.Map)
    """Withdrawn keys by the hash of their secret."""
    history: immutables.Map[int, Delta] = attrs.Factory(immutables.Map)
    """Newest changes by revision, without gaps up to `revision`."""
    history_items: int = 0
    """Changed items that the history holds."""
    requests: _fifo.FifoMap[base.RequestId, RequestRecord] = attrs.Factory(
        _no_requests
    )
    """First replies of the newest operators' requests."""

    def accounts(self) -> tuple[declarations.Account, ...]:
        """Returns the client accounts in force, without a pass over keys."""
        return tuple(
            item
            for item in self.items.values()
            if isinstance(item, declarations.Account)
        )

    def capacities(self) -> tuple[declarations.Capacity, ...]:
        """Returns the capacity bounds in force, without a pass over keys."""
        return tuple(
            item
            for item in self.items.values()
            if isinstance(item, declarations.Capacity)
        )

    def offers(self) -> tuple[declarations.Offer, ...]:
        """Returns what the platform sells, without a pass over keys."""
        return tuple(
            item
            for item in self.items.values()
            if isinstance(item, declarations.Offer)
        )

    def declared(self) -> declarations.Declarations:
        """Returns everything in force, keys included."""
        return declarations.Declarations.of(
            [*self.items.values(), *self.keys.values()]
        )

    def changes_since(self, revision: int) -> tuple[Delta, ...] | None:
        """Returns the changes after a revision, oldest first.

        Returns:
            None when the history does not reach back so far (or the
            revision is unknown): then the whole must be sent.
        """
        if revision > self.revision:
            return None
        wanted = range(revision + 1, self.revision + 1)
        if len(wanted) > len(self.history):
            return None
        return tuple(self.history[number] for number in wanted)

    def with_delta(self, delta: Delta) -> "ConfigState":
        """Returns the configuration after one accepted change."""
        state = self.with_items(delta.puts.items())
        for ref in delta.removed:
            state = state._without(ref, delta.revision)
        return state._with_history(delta)

    def with_items(
        self, items: collections.abc.Iterable[declarations.Item]
    ) -> "ConfigState":
        """Returns the configuration with items added or replaced."""
        others = self.items.mutate()
        keys = self.keys.mutate()
        hashes = self.hashes.mutate()
        referrers = self.referrers.mutate()
        for item in items:
            if isinstance(item, declarations.Key):
                old: declarations.Item | None = keys.get(item.key_id)
                keys[item.key_id] = item
                hashes[item.secret_sha256] = item.key_id
            else:
                old = others.get(item.ref)
                others[item.ref] = item
            _count(referrers, old, -1)
            _count(referrers, item, 1)
        return attrs.evolve(
            self,
            items=others.finish(),
            keys=keys.finish(),
            hashes=hashes.finish(),
            referrers=referrers.finish(),
        )

    def get(self, ref: declarations.ItemRef) -> declarations.Item | None:
        """Returns an item or key in force; None when there is none."""
        if ref.kind == declarations.Kind.KEY.value:
            return self.keys.get(base.KeyId(ref.id))
        return self.items.get(ref)

    def with_tombstone(self, tombstone: Tombstone) -> "ConfigState":
        """Returns the configuration with one more withdrawn key."""
        return attrs.evolve(
            self,
            tombstones=self.tombstones.set(tombstone.key_id, tombstone),
            dead_hashes=self.dead_hashes.set(
                tombstone.secret_sha256, tombstone.key_id
            ),
        )

    def with_request(self, record: RequestRecord) -> "ConfigState":
        """Returns the configuration with the first reply of a request."""
        return attrs.evolve(
            self, requests=self.requests.with_entry(record.request_id, record)
        )

    def _without(
        self, ref: declarations.ItemRef, revision: int
    ) -> "ConfigState":
        referrers = self.referrers.mutate()
        _count(referrers, self.get(ref), -1)
        state = attrs.evolve(self, referrers=referrers.finish())
        if ref.kind != declarations.Kind.KEY.value:
            return attrs.evolve(state, items=self.items.delete(ref))
        key = self.keys[base.KeyId(ref.id)]
        state = attrs.evolve(
            state,
            keys=self.keys.delete(key.key_id),
            hashes=self.hashes.delete(key.secret_sha256),
        )
        return state.with_tombstone(
            Tombstone(key.key_id, key.secret_sha256, revision)
        )

    def _with_history(self, delta: Delta) -> "ConfigState":
        history = self.history.set(delta.revision, delta)
        items = self.history_items + delta.size
        oldest = delta.revision + 1 - len(history)
        while len(history) > 1 and (
            len(history) > HISTORY_REVISIONS or items > HISTORY_ITEMS
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

    def record(self) -> ConfigRecord:
        """Returns the configuration for a snapshot."""
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
        """Returns the configuration that a snapshot holds."""
        state = cls(revision=record.revision)
        state = state.with_items(record.declared.items())
        for tombstone in record.tombstones:
            state = state.with_tombstone(tombstone)
        for request in record.requests:
            state = state.with_request(request)
        return attrs.evolve(
            state,
            history=immutables.Map(
                {delta.revision: delta for delta in record.history}
            ),
            history_items=sum(delta.size for delta in record.history),
        )


def _count(
    referrers: immutables.MapMutation[declarations.ItemRef, int],
    item: declarations.Item | None,
    step: int,
) -> None:
    """Counts the references of an item that comes or goes."""
    if item is None:
        return
    for reference in declarations.references(item):
        count = referrers.get(reference.ref, 0) + step
        if count:
            referrers[reference.ref] = count
        else:
            del referrers[reference.ref]
