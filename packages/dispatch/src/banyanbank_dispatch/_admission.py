"""Instance side of account limits: admission within leased shares."""

import collections.abc

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_dispatch import _shares

BURST_S = 1.0
"""Capacity of an account's token bucket, in seconds of its leased rate."""
DEMAND_SMOOTHING_WEIGHT = 0.5
"""Weight of the newest rate in the exponential moving average."""
RETRY_AFTER_S = 0.5


@attrs.define
class _AccountUsage:
    """Token bucket and demand of one account at this instance."""

    tokens: float = 0.0
    """Requests that the bucket admits now."""
    refilled_at: float = 0.0
    under_way: int = 0
    """Requests in flight."""
    offered: int = 0
    """Requests since the last demand report, admitted or not."""
    smoothed_rate: float = 0.0
    """Smoothed offered requests per second."""


class AdmissionLimits:
    """Admits requests within the shares that the leader leased.

    Requests of an account with a limit are refused while the instance has no
    valid share of it.

    Args:
        now: Monotonic time of the construction in seconds.
    """

    def __init__(self, now: float) -> None:
        self._limited_accounts: frozenset[base.AccountId] = frozenset()
        self._shares: dict[base.AccountId, _shares.Share] = {}
        self._valid_until = now
        self._usage_by_account: dict[base.AccountId, _AccountUsage] = {}
        self._reported_at = now

    def set_limited_accounts(
        self, accounts: collections.abc.Iterable[base.AccountId]
    ) -> None:
        """Replaces the set of accounts that have a limit."""
        self._limited_accounts = frozenset(accounts)

    def demands(self, now: float) -> tuple[_shares.Demand, ...]:
        """Returns the demand since the last call, for the next lease request.

        The call starts a new measuring interval.
        """
        elapsed = max(now - self._reported_at, 0.001)
        self._reported_at = now
        demands = []
        for account, usage in self._usage_by_account.items():
            change = usage.offered / elapsed - usage.smoothed_rate
            usage.smoothed_rate += DEMAND_SMOOTHING_WEIGHT * change
            usage.offered = 0
            demands.append(
                _shares.Demand(account, usage.smoothed_rate, usage.under_way)
            )
        return tuple(demands)

    def held(self, now: float) -> tuple[_shares.Share, ...]:
        """Returns the shares that have not expired."""
        valid = now < self._valid_until
        return tuple(self._shares.values()) if valid else ()

    def apply_shares(
        self,
        shares: collections.abc.Iterable[_shares.Share],
        requested_at: float,
    ) -> None:
        """Takes new shares unless they expire no later than the present ones.

        Args:
            shares: Shares that the leader leased.
            requested_at: Monotonic time in seconds at which the lease request
                was sent; the shares are valid for `SHARE_S` from then.
        """
        if requested_at + _shares.SHARE_S <= self._valid_until:
            return
        self._shares = {share.account: share for share in shares}
        self._valid_until = requested_at + _shares.SHARE_S

    def admit(
        self, account: base.AccountId, now: float
    ) -> result.Result[None, base.Refusal]:
        """Admits one request, or refuses it with outcome NOT_RUN."""
        # A new account starts with a full bucket.
        usage = self._usage_by_account.setdefault(
            account, _AccountUsage(refilled_at=now - BURST_S)
        )
        usage.offered += 1
        if account in self._limited_accounts:
            refusal = self._check_limits(account, usage, now)
            if refusal is not None:
                return result.Failure(refusal)
            usage.tokens -= 1.0
        usage.under_way += 1
        return result.Success(None)

    def release(self, account: base.AccountId) -> None:
        """Ends one admitted request, which frees its concurrency slot."""
        self._usage_by_account[account].under_way -= 1

    def _check_limits(
        self, account: base.AccountId, usage: _AccountUsage, now: float
    ) -> base.Refusal | None:
        share = self._shares.get(account)
        if share is None or now >= self._valid_until:
            return _rate_limit_refusal(
                "This instance has no valid share of the limit", RETRY_AFTER_S
            )
        capacity = max(1.0, share.requests_per_s * BURST_S)
        refill = (now - usage.refilled_at) * share.requests_per_s
        usage.tokens = min(capacity, usage.tokens + refill)
        usage.refilled_at = now
        if usage.under_way >= share.concurrency:
            return _rate_limit_refusal(
                "Too many requests are in flight", RETRY_AFTER_S
            )
        if usage.tokens < 1.0:
            rate = share.requests_per_s
            wait = (1.0 - usage.tokens) / rate if rate else _shares.SHARE_S
            return _rate_limit_refusal(
                "The request rate is exceeded", min(wait, _shares.SHARE_S)
            )
        return None


def _rate_limit_refusal(cause: str, retry_after: float) -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.RATE_LIMITED,
        base.Outcome.NOT_RUN,
        f"{cause} for this account; retry later.",
        retry_after,
    )
