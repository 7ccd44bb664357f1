"""Configuration held by an entry."""

import attrs
import banyanbank_base as base
import immutables

from banyanbank_control import _fifo
from banyanbank_control import config
from banyanbank_control import declarations
from banyanbank_control.sync import _messages

_KEY_KIND = declarations.Kind.KEY.value
_MAX_WITHDRAWN_KEYS = 4096


def _make_withdrawn_map() -> _fifo.FifoMap[str, base.KeyId]:
    return _fifo.FifoMap(_MAX_WITHDRAWN_KEYS)


@attrs.frozen
class ViewUpdate:
    """Result of applying a reply to a view."""

    view: "ConfigView"
    """View after the reply."""
    is_current: bool
    """Whether the view is now at least at the reply's revision."""
    withdrawn: frozenset[base.KeyId] = frozenset()
    """Keys no longer valid, whose open streams and queued work must end."""


@attrs.frozen
class ConfigView:
    """Configuration at an entry; epoch and revision never decrease."""

    epoch: int = 0
    """Highest epoch of a leader that has replied."""
    revision: int = 0
    """Revision held; 0 if none."""
    items: immutables.Map[declarations.ItemRef, declarations.Item] = (
        attrs.Factory(immutables.Map)
    )
    """Declared items except keys."""
    keys: immutables.Map[str, declarations.Key] = attrs.Factory(immutables.Map)
    """Keys by the hash of their secret."""
    key_ids: immutables.Map[base.KeyId, declarations.Key] = attrs.Factory(
        immutables.Map
    )
    """The same keys by their ID."""
    withdrawn: _fifo.FifoMap[str, base.KeyId] = attrs.Factory(
        _make_withdrawn_map
    )
    """Keys withdrawn last, by the hash of their secret, to distinguish them
    from unknown secrets."""

    def apply_reply(self, reply: _messages.SyncReply) -> ViewUpdate:
        """Applies a reply; does nothing if epoch or revision is lower."""
        if reply.epoch < self.epoch or reply.revision < self.revision:
            return ViewUpdate(self, is_current=False)
        view = attrs.evolve(self, epoch=reply.epoch)
        if reply.whole is not None and reply.whole.revision > view.revision:
            view = view._with_whole(reply.whole)
        for delta in reply.deltas:
            if delta.revision == view.revision + 1:
                view = view._with_delta(delta)
        return ViewUpdate(
            view,
            is_current=view.revision >= reply.revision,
            withdrawn=self._find_removed_keys(view),
        )

    def _find_removed_keys(self, newer: "ConfigView") -> frozenset[base.KeyId]:
        if newer.key_ids is self.key_ids:
            return frozenset()
        return frozenset(
            key_id for key_id in self.key_ids if key_id not in newer.key_ids
        )

    def get(
        self, kind: declarations.Kind, name: str
    ) -> declarations.Item | None:
        """Returns an item; None if it is not declared."""
        return self.items.get(declarations.ItemRef(kind.value, name))

    def weight_of(self, account: base.AccountId) -> float:
        """Returns a client account's weight in fair scheduling.

        1.0 if the account is not declared.
        """
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
        view = self._without_items(delta.removed)
        items = view.items.update(
            {
                item.ref: item
                for item in delta.puts.items()
                if not isinstance(item, declarations.Key)
            }
        )
        new_keys = delta.puts.keys
        return attrs.evolve(
            view,
            revision=delta.revision,
            items=items,
            keys=view.keys.update({key.secret_sha256: key for key in new_keys}),
            key_ids=view.key_ids.update({key.key_id: key for key in new_keys}),
        )

    def _without_items(
        self, removed: tuple[declarations.ItemRef, ...]
    ) -> "ConfigView":
        view = self
        for ref in removed:
            if ref.kind == _KEY_KIND:
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
