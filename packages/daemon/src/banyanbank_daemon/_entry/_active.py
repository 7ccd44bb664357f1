"""Requests in progress at this entry, by key."""

import collections

import banyanbank_base as base

from banyanbank_daemon import _http


class ActiveRequests:
    """Knows which exchanges run under which key."""

    def __init__(self) -> None:
        self._by_key: dict[base.KeyId, set[_http.Exchange]] = (
            collections.defaultdict(set)
        )
        self.count = 0

    def add(self, key_id: base.KeyId, exchange: _http.Exchange) -> None:
        """Notes a request that begins."""
        self.count += 1
        self._by_key[key_id].add(exchange)

    def remove(self, key_id: base.KeyId, exchange: _http.Exchange) -> None:
        """Notes a request that has ended."""
        self.count -= 1
        exchanges = self._by_key[key_id]
        exchanges.discard(exchange)
        if not exchanges:
            del self._by_key[key_id]

    def withdraw_key(self, key_id: base.KeyId) -> None:
        """Ends every request in progress under a withdrawn key."""
        refusal = base.Refusal(
            base.RefusalReason.KEY_WITHDRAWN,
            base.Outcome.MAY_HAVE_RUN,
            "The key was withdrawn while the request was in progress.",
        )
        for exchange in list(self._by_key.get(key_id, ())):
            exchange.refuse(refusal)
