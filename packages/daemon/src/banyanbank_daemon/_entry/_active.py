"""Requests in progress at this entry: by key, and within limits."""

import collections

import banyanbank_base as base
import banyanbank_dispatch as dispatch
import banyanbank_web as web
from returns import result

from banyanbank_daemon import _figures


class ActiveRequests:
    """Knows which exchanges run under which key, and admits new ones.

    Args:
        clock: Clock of the limits.
        limits: Shares of the client accounts' limits.
        waits: Counts what the limits keep out.
    """

    def __init__(
        self,
        clock: base.Clock,
        limits: dispatch.AdmissionLimits,
        waits: _figures.AccountWaits,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._waits = waits
        self._by_key: dict[base.KeyId, set[web.Exchange]] = (
            collections.defaultdict(set)
        )

    def begin(
        self,
        account: base.AccountId,
        key_id: base.KeyId,
        exchange: web.Exchange,
    ) -> base.Refusal | None:
        """Admits a request, or says why not; `end` must follow admission.

        Args:
            account: Its client account; empty on a route open to all, which
                has no limit of its own.
            key_id: Its key; empty on a route open to all.
            exchange: The request.
        """
        if account:
            admitted = self._limits.admit(account, self._clock.now())
            if isinstance(admitted, result.Failure):
                self._waits.refused(account)
                return admitted.failure()
        self._by_key[key_id].add(exchange)
        return None

    def end(
        self,
        account: base.AccountId,
        key_id: base.KeyId,
        exchange: web.Exchange,
    ) -> None:
        """Notes that an admitted request has ended."""
        if account:
            self._limits.release(account)
        exchanges = self._by_key[key_id]
        exchanges.discard(exchange)
        if not exchanges:
            del self._by_key[key_id]

    def withdraw_key(self, key_id: base.KeyId) -> None:
        """Ends every request in progress under a withdrawn key."""
        self._end(
            key_id,
            base.RefusalReason.KEY_WITHDRAWN,
            "The key was withdrawn while the request was in progress.",
        )

    def end_keyed(self) -> None:
        """Ends every keyed request: whether its key still holds is unknown."""
        for key_id in [key_id for key_id in self._by_key if key_id]:
            self._end(
                key_id,
                base.RefusalReason.CONFIGURATION_STALE,
                "This instance cannot be sure any more that the key holds.",
            )

    def _end(
        self, key_id: base.KeyId, reason: base.RefusalReason, detail: str
    ) -> None:
        refusal = base.Refusal(reason, base.Outcome.MAY_HAVE_RUN, detail)
        for exchange in list(self._by_key.get(key_id, ())):
            exchange.end_early(refusal)
