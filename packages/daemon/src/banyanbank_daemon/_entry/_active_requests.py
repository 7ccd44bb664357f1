"""Requests in flight at this instance, limited by client account."""

import collections

import banyanbank_base as base
import banyanbank_dispatch as dispatch
import banyanbank_web as web
from returns import result

from banyanbank_daemon import _figures


class ActiveRequests:
    """Admits requests within their limits and indexes them by API key.

    Args:
        clock: Monotonic clock for the rate limits.
        limits: This instance's shares of the client accounts' limits.
        waits: Counts the requests that the limits reject.
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
        self._unsent: set[web.Exchange] = set()
        self._answered: set[web.Exchange] = set()
        self._ended: set[web.Exchange] = set()

    def begin(
        self,
        account: base.AccountId,
        key_id: base.KeyId,
        exchange: web.Exchange,
        *,
        is_unsent: bool = False,
    ) -> base.Refusal | None:
        """Admits a request; an admitted request must be passed to `end` later.

        Args:
            account: Client account of the request; empty on a public route,
                which has no account limits.
            key_id: Id of the API key; empty on a public route.
            exchange: The request and its response.
            is_unsent: Whether `may_send` is asked before each attempt and an
                earlier run is noted; if not, the request may have run from now
                on.

        Returns:
            None when the request is admitted, otherwise the refusal.
        """
        if account:
            admitted = self._limits.admit(account, self._clock.now())
            if isinstance(admitted, result.Failure):
                self._waits.refused(account)
                return admitted.failure()
        self._by_key[key_id].add(exchange)
        if is_unsent:
            self._unsent.add(exchange)
        return None

    def may_send(self, exchange: web.Exchange) -> bool:
        """Returns whether a request may be sent, and counts it as sent if so.

        One that was terminated may not.
        """
        if exchange in self._ended:
            return False
        self._unsent.discard(exchange)
        return True

    def note_earlier_run(self, exchange: web.Exchange) -> None:
        """Notes that the same request may run for an earlier exchange."""
        self._unsent.discard(exchange)

    def note_answered(self, exchange: web.Exchange) -> None:
        """Notes that an endpoint's whole answer to a request is here.

        The answer is delivered, though late: the request ran while its key was
        valid.
        """
        self._answered.add(exchange)

    def note_not_run(self, exchange: web.Exchange) -> None:
        """Notes that no endpoint received any byte of a request so far."""
        self._unsent.add(exchange)

    def end(
        self,
        account: base.AccountId,
        key_id: base.KeyId,
        exchange: web.Exchange,
    ) -> None:
        """Releases the account's concurrency slot and the index entry."""
        if account:
            self._limits.release(account)
        self._unsent.discard(exchange)
        self._answered.discard(exchange)
        self._ended.discard(exchange)
        exchanges = self._by_key[key_id]
        exchanges.discard(exchange)
        if not exchanges:
            del self._by_key[key_id]

    def withdraw_key(self, key_id: base.KeyId) -> None:
        """Terminates every request in flight under a withdrawn key."""
        self._end_requests(
            key_id,
            base.RefusalReason.KEY_WITHDRAWN,
            "The key was withdrawn while the request was in progress.",
        )

    def end_keyed(self) -> None:
        """Terminates every request with a key.

        With a stale configuration, a key may have been withdrawn unnoticed.
        """
        for key_id in [key_id for key_id in self._by_key if key_id]:
            self._end_requests(
                key_id,
                base.RefusalReason.CONFIGURATION_STALE,
                "The configuration is stale; the key may have been withdrawn.",
            )

    def _end_requests(
        self, key_id: base.KeyId, reason: base.RefusalReason, detail: str
    ) -> None:
        exchanges = self._by_key.get(key_id, set()) - self._answered
        for exchange in exchanges:
            outcome = base.Outcome.MAY_HAVE_RUN
            if exchange in self._unsent:
                outcome = base.Outcome.NOT_RUN
            self._ended.add(exchange)
            exchange.end_early(base.Refusal(reason, outcome, detail))
