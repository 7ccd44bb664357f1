"""An instance's side of limits: admits within the shares that it holds."""

import collections.abc

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_dispatch import _shares

BURST_S = 1.0
"""Seconds of unused rate that an instance may save up."""
DEMAND_SMOOTHING = 0.5
RETRY_S = 0.5


@attrs.define
class _Usage:
    """What one instance knows of one account."""

    tokens: float = 0.0
    filled_at: float = 0.0
    under_way: int = 0
    seen: int = 0
    smoothed: float = 0.0


class AdmissionLimits:
    """An instance's side: admits within the shares that it holds.

    Args:
        now: Monotonic seconds at construction.
    """

    def __init__(self, now: float) -> None:
        self._limited: frozenset[base.AccountId] = frozenset()
        self._shares: dict[base.AccountId, _shares.Share] = {}
        self._valid_until = now
        self._usage: dict[base.AccountId, _Usage] = {}
        self._reported_at = now

    def set_limited(
        self, accounts: collections.abc.Iterable[base.AccountId]
    ) -> None:
        """Names the accounts that have a limit; others are not limited."""
        self._limited = frozenset(accounts)

    def demands(self, now: float) -> tuple[_shares.Demand, ...]:
        """Returns what the next request to the leader reports."""
        elapsed = max(now - self._reported_at, 0.001)
        self._reported_at = now
        demands = []
        for account, usage in self._usage.items():
            change = usage.seen / elapsed - usage.smoothed
            usage.smoothed += DEMAND_SMOOTHING * change
            usage.seen = 0
            demands.append(
                _shares.Demand(account, usage.smoothed, usage.under_way)
            )
        return tuple(demands)

    def held(self, now: float) -> tuple[_shares.Share, ...]:
        """Returns the shares that have not expired."""
        valid = now < self._valid_until
        return tuple(self._shares.values()) if valid else ()

    def renew(
        self,
        shares: collections.abc.Iterable[_shares.Share],
        requested_at: float,
    ) -> None:
        """Takes in shares.

        Args:
            shares: The leader's answer.
            requested_at: Monotonic seconds when the request was sent.
        """
        if requested_at + _shares.SHARE_S <= self._valid_until:
            return
        self._shares = {share.account: share for share in shares}
        self._valid_until = requested_at + _shares.SHARE_S

    def admit(
        self, account: base.AccountId, now: float
    ) -> result.Result[None, base.Refusal]:
        """Admits one request, or refuses it with a true NOT_RUN."""
        # A newcomer starts with what it could have saved up.
        usage = self._usage.setdefault(account, _Usage(filled_at=now - BURST_S))
        usage.seen += 1
        if account in self._limited:
            refusal = self._check(account, usage, now)
            if refusal is not None:
                return result.Failure(refusal)
            usage.tokens -= 1.0
        usage.under_way += 1
        return result.Success(None)

    def release(self, account: base.AccountId) -> None:
        """Hears that an admitted request has ended."""
        self._usage[account].under_way -= 1

    def _check(
        self, account: base.AccountId, usage: _Usage, now: float
    ) -> base.Refusal | None:
        share = self._shares.get(account)
        if share is None or now >= self._valid_until:
            return _refuse("This instance holds no share of the limit", RETRY_S)
        capacity = max(1.0, share.requests_per_s * BURST_S)
        earned = (now - usage.filled_at) * share.requests_per_s
        usage.tokens = min(capacity, usage.tokens + earned)
        usage.filled_at = now
        if usage.under_way >= share.concurrency:
            return _refuse("Too many requests are under way", RETRY_S)
        if usage.tokens < 1.0:
            rate = share.requests_per_s
            wait = (1.0 - usage.tokens) / rate if rate else _shares.SHARE_S
            return _refuse(
                "The request rate is exceeded", min(wait, _shares.SHARE_S)
            )
        return None


def _refuse(cause: str, retry_after: float) -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.RATE_LIMITED,
        base.Outcome.NOT_RUN,
        f"{cause} for this account; retry later.",
        retry_after,
    )
