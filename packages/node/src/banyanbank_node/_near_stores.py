"""Finds the stores in an entry's own failure domain.

Traffic between failure domains is dear, and reads of results are most of it.
"""

import random

import banyanbank_base as base
from returns import result

from banyanbank_node import _messages
from banyanbank_node import _store_client

ASK_INTERVAL_S = 2.0
"""Time after which a store that did not tell its domain is asked again."""

ASK_TIMEOUT_S = 1.0
"""Timeout of one question."""


class NearStores:
    """Remembers the failure domain of each store.

    Args:
        clock: Monotonic clock for deadlines.
        client: Asks the stores.
        domain: Failure domain of this instance.
        rng: Spreads the reads over the stores of the domain.
    """

    def __init__(
        self,
        clock: base.Clock,
        client: _store_client.StoreClient,
        domain: base.FailureDomain,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._clock = clock
        self._client = client
        self._domain = domain
        self._domains: dict[base.InstanceId, base.FailureDomain] = {}
        self._ask_again_at: dict[base.InstanceId, float] = {}

    def choose(self, leader: base.InstanceId | None) -> base.InstanceId | None:
        """Returns the store to read from; None if the leader is to be asked.

        Args:
            leader: Presumed leader, which is preferred in its own domain.
        """
        near = [
            store
            for store, domain in self._domains.items()
            if domain == self._domain
        ]
        if not near or leader in near:
            return None
        return self._rng.choice(near)

    async def learn(self, stores: tuple[base.InstanceId, ...]) -> None:
        """Asks new stores for their domain, and forgets those that left."""
        now = self._clock.now()
        for known in (self._domains, self._ask_again_at):
            for store in set(known) - set(stores):
                del known[store]
        for store in stores:
            if store in self._domains:
                continue
            if now < self._ask_again_at.get(store, now):
                continue
            self._ask_again_at[store] = now + ASK_INTERVAL_S
            await self._ask(store)

    async def _ask(self, store: base.InstanceId) -> None:
        answered = await self._client.call_store(
            store,
            _messages.READ_DOMAIN,
            _messages.Accepted(),
            self._clock.now() + ASK_TIMEOUT_S,
        )
        if isinstance(answered, result.Success):
            self._domains[store] = answered.unwrap().domain
