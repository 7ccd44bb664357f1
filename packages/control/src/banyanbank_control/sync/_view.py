"""The configuration as one entry holds it."""

import attrs
import banyanbank_base as base
import immutables

from banyanbank_control import _fifo
from banyanbank_control import config
from banyanbank_control import declarations
from banyanbank_control.sync import _messages

_KEY = declarations.Kind.KEY.value
_WITHDRAWN_KEPT = 4096


def _no_keys() -> _fifo.FifoMap[str, base.KeyId]:
    return _fifo.FifoMap(_WITHDRAWN_KEPT)


@attrs.frozen
class ViewUpdate:
    """A view after a reply, and what the reply took away."""

    view: "ConfigView"
    """The view after it."""
    taken: bool
    """Whether the view now holds at least the revision of the reply."""
    withdrawn: frozenset[base.KeyId] = frozenset()
    """Keys that no longer hold: their streams and queued work must end."""


@attrs.frozen
class ConfigView:
    """Configuration at an entry; never goes back in revision or epoch."""

    epoch: int = 0
    """Highest epoch of a leader heard."""
    revision: int = 0
    """Revision held; 0 when none."""
    items: immutables.Map[declarations.ItemRef, declarations.Item] = (
        attrs.Factory(immutables.Map)
    )
    """Items, keys left out."""
    keys: immutables.Map[str, declarations.Key] = attrs.Factory(immutables.Map)
    """Keys by the hash of their secret."""
    key_ids: immutables.Map[base.KeyId, declarations.Key] = attrs.Factory(
        immutables.Map
    )
    """The same keys by their id."""
    withdrawn: _fifo.FifoMap[str, base.KeyId] = attrs.Factory(_no_keys)
    """Newest keys seen withdrawn, by the hash of their secret: they are told
    apart from secrets that were never known."""

    def updated(self, reply: _messages.SyncReply) -> ViewUpdate:
        """Takes in a leader's reply."""
        if reply.epoch < self.epoch or reply.revision < self.revision:
            return ViewUpdate(self, taken=False)
        view = attrs.evolve(self, epoch=reply.epoch)
        if reply.whole is not None and reply.whole.revision > view.revision:
            view = view._with_whole(reply.whole)
        for delta in reply.deltas:
            if delta.revision == view.revision + 1:
                view = view._with_delta(delta)
        return ViewUpdate(
            view,
            taken=view.revision >= reply.revision,
            withdrawn=self._lost_keys(view),
        )

    def _lost_keys(self, newer: "ConfigView") -> frozenset[base.KeyId]:
        if newer.key_ids is self.key_ids:
            return frozenset()
        return frozenset(
            key_id for key_id in self.key_ids if key_id not in newer.key_ids
        )

    def get(
        self, kind: declarations.Kind, name: str
    ) -> declarations.Item | None:
        """Returns an item; None when it is not declared."""
        return self.items.get(declarations.ItemRef(kind.value, name))

    def weight_of(self, account: base.AccountId) -> float:
        """Returns a client account's weight in fair scheduling."""
        item = self.get(declarations.Kind.ACCOUNT, account)
        return item.weight if isinstance(item, declarations.Account) else 1.0

    def _with_whole(self, whole: _messages.ConfigWhole) -> "ConfigView":
        keys = {key.secret_sha256: key for key in whole.declared.keys}
        withdrawn = self.withdrawn
        for digest, key in self.keys.items():
            if digest not in keys:
                withdrawn = withdrawn.with_entry(digest, key.key_id)
        return attrs.evolve(
            self,
            revision=whole.revision,
            items=immutables.Map(
                {
                    item.ref: item
                    for item in whole.declared.items()
                    if not isinstance(item, declarations.Key)
                }
            ),
            keys=immutables.Map(keys),
            key_ids=immutables.Map(
                {key.key_id: key for key in whole.declared.keys}
            ),
            withdrawn=withdrawn,
        )

    def _with_delta(self, delta: config.Delta) -> "ConfigView":
        view = self._without(delta.removed)
        items = view.items.update(
            {
                item.ref: item
                for item in delta.puts.items()
                if not isinstance(item, declarations.Key)
            }
        )
        new = delta.puts.keys
        return attrs.evolve(
            view,
            revision=delta.revision,
            items=items,
            keys=view.keys.update({key.secret_sha256: key for key in new}),
            key_ids=view.key_ids.update({key.key_id: key for key in new}),
        )

    def _without(
        self, removed: tuple[declarations.ItemRef, ...]
    ) -> "ConfigView":
        view = self
        for ref in removed:
            if ref.kind == _KEY:
                view = view._without_key(base.KeyId(ref.id))
            else:
                view = attrs.evolve(view, items=view.items.delete(ref))
        return view

    def _without_key(self, key_id: base.KeyId) -> "ConfigView":
        key = self.key_ids[key_id]
        return attrs.evolve(
            self,
            keys=self.keys.delete(key.secret_sha256),
            key_ids=self.key_ids.delete(key_id),
            withdrawn=self.withdrawn.with_entry(key.secret_sha256, key_id),
        )
