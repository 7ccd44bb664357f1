"""Limits of client accounts that hold over all instances together.

The leader leases every instance a share of each account's limit. Shares that
have not expired never add up to more than the limit, so the limit holds also
while messages are lost or an instance is cut off; an instance without a valid
share refuses.
"""

import collections.abc
import math

import attrs
import banyanbank_base as base
from returns import result

SHARE_S = 3.0
"""Seconds that an instance may use a share, counted from its request."""
SHARE_HELD_S = 4.0
"""Seconds that the leader counts a share as used, from its answer."""
FLOOR_SHARE = 0.1
"""Part of a limit that is spread over instances without demand."""
BURST_S = 1.0
"""Seconds of unused rate that an instance may save up."""
DEMAND_SMOOTHING = 0.5
RETRY_S = 0.5


@attrs.frozen
class AccountLimit:
    """Limit of one client account over all instances."""

    account: base.AccountId
    """Whose limit."""
    requests_per_s: float
    """Admitted requests a second."""
    concurrency: int
    """Requests that may be under way at once."""


@attrs.frozen
class Demand:
    """What an instance saw of one account since its last report."""

    account: base.AccountId
    """Whose requests."""
    requests_per_s: float
    """Requests that came a second, admitted or not."""
    under_way: int
    """Requests that are under way."""


@attrs.frozen
class Share:
    """Part of an account's limit that one instance may use."""

    account: base.AccountId
    """Whose limit."""
    requests_per_s: float
    """Admitted requests a second."""
    concurrency: int
    """Requests under way at once."""


@attrs.frozen
class _Grant:
    """A share as the leader counts it."""

    share: Share
    demand: Demand
    held_until: float


class ShareAllocator:
    """The leader's side: splits limits over instances by their demand.

    Args:
        started_at: Monotonic seconds at which this leader took over; until
            shares of an earlier leader have expired it only renews them.
    """

    def __init__(self, started_at: float) -> None:
        self._opens_at = started_at + SHARE_HELD_S
        self._grants: dict[base.AccountId, dict[base.InstanceId, _Grant]] = {}

    def lease(
        self,
        instance_id: base.InstanceId,
        instances: int,
        limits: collections.abc.Iterable[AccountLimit],
        demands: collections.abc.Iterable[Demand],
        now: float,
        held: collections.abc.Iterable[Share] = (),
    ) -> tuple[Share, ...]:
        """Returns an instance's shares, valid `SHARE_S` from its request.

        Args:
            instance_id: Who asks.
            instances: How many instances are live; at least 1.
            limits: All limits in force.
            demands: What the instance reports.
            now: Monotonic seconds of the leader.
            held: Shares that the instance holds and that have not expired.
        """
        by_account = {demand.account: demand for demand in demands}
        if now < self._opens_at:
            return self._renew(instance_id, by_account, held, now)
        shares = []
        for limit in limits:
            demand = by_account.get(limit.account)
            demand = demand or Demand(limit.account, 0.0, 0)
            shares.append(
                self._lease_one(instance_id, instances, limit, demand, now)
            )
        return tuple(shares)

    def _renew(
        self,
        instance_id: base.InstanceId,
        demands: dict[base.AccountId, Demand],
        held: collections.abc.Iterable[Share],
        now: float,
    ) -> tuple[Share, ...]:
        """Takes over the shares that an earlier leader leased."""
        shares = tuple(held)
        for share in shares:
            demand = demands.get(share.account, Demand(share.account, 0.0, 0))
            grants = self._grants.setdefault(share.account, {})
            grants[instance_id] = _Grant(share, demand, now + SHARE_HELD_S)
        return shares

    def _lease_one(
        self,
        instance_id: base.InstanceId,
        instances: int,
        limit: AccountLimit,
        demand: Demand,
        now: float,
    ) -> Share:
        grants = self._grants.setdefault(limit.account, {})
        for other, grant in list(grants.items()):
            if grant.held_until <= now or other == instance_id:
                del grants[other]
        others = list(grants.values())
        rate = _part(
            limit.requests_per_s,
            demand.requests_per_s,
            [grant.demand.requests_per_s for grant in others],
            instances,
        )
        slots = _part(
            limit.concurrency,
            demand.under_way + demand.requests_per_s,
            [g.demand.under_way + g.demand.requests_per_s for g in others],
            instances,
        )
        rate_left = limit.requests_per_s - sum(
            grant.share.requests_per_s for grant in others
        )
        slots_left = limit.concurrency - sum(
            max(grant.share.concurrency, grant.demand.under_way)
            for grant in others
        )
        share = Share(
            limit.account,
            max(0.0, min(rate, rate_left)),
            max(0, min(math.ceil(slots), slots_left)),
        )
        grants[instance_id] = _Grant(share, demand, now + SHARE_HELD_S)
        return share


def _part(
    limit: float, mine: float, others: list[float], instances: int
) -> float:
    """Returns a floor for everybody and the rest in proportion to demand."""
    floor = limit * FLOOR_SHARE / instances
    total = mine + sum(others)
    rest = limit * (1 - FLOOR_SHARE)
    return floor + (rest * mine / total if total else rest / instances)


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
        self._shares: dict[base.AccountId, Share] = {}
        self._valid_until = now
        self._usage: dict[base.AccountId, _Usage] = {}
        self._reported_at = now

    def set_limited(
        self, accounts: collections.abc.Iterable[base.AccountId]
    ) -> None:
        """Names the accounts that have a limit; others are not limited."""
        self._limited = frozenset(accounts)

    def demands(self, now: float) -> tuple[Demand, ...]:
        """Returns what the next request to the leader reports."""
        elapsed = max(now - self._reported_at, 0.001)
        self._reported_at = now
        demands = []
        for account, usage in self._usage.items():
            change = usage.seen / elapsed - usage.smoothed
            usage.smoothed += DEMAND_SMOOTHING * change
            usage.seen = 0
            demands.append(Demand(account, usage.smoothed, usage.under_way))
        return tuple(demands)

    def held(self, now: float) -> tuple[Share, ...]:
        """Returns the shares that have not expired."""
        valid = now < self._valid_until
        return tuple(self._shares.values()) if valid else ()

    def renew(
        self, shares: collections.abc.Iterable[Share], requested_at: float
    ) -> None:
        """Takes in shares.

        Args:
            shares: The leader's answer.
            requested_at: Monotonic seconds when the request was sent.
        """
        if requested_at + SHARE_S <= self._valid_until:
            return
        self._shares = {share.account: share for share in shares}
        self._valid_until = requested_at + SHARE_S

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
            wait = (1.0 - usage.tokens) / rate if rate else SHARE_S
            return _refuse("The request rate is exceeded", min(wait, SHARE_S))
        return None


def _refuse(cause: str, retry_after: float) -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.RATE_LIMITED,
        base.Outcome.NOT_RUN,
        f"{cause} for this account; retry later.",
        retry_after,
    )
