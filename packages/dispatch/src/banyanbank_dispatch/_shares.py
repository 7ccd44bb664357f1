"""Leader side of account limits: leases of shares to instances.

The leader leases every instance a share of each account's limit. Invariant:
the shares that have not expired never add up to more than the limit, so the
limit also holds while messages are lost or an instance is partitioned.
"""

import collections
import collections.abc
import math

import attrs
import banyanbank_base as base

SHARE_S = 3.0
"""Seconds for which a share is valid after the instance requested it."""
LEADER_SHARE_S = 4.0
"""Seconds for which the leader counts a share as used after leasing it."""
EQUAL_SHARE_FRACTION = 0.1
"""Fraction of a limit split equally over instances, independent of demand."""


@attrs.frozen
class AccountLimit:
    """Limit of one client account over all instances."""

    account: base.AccountId
    """Account that the limit applies to."""
    requests_per_s: float
    """Maximum admitted requests per second."""
    concurrency: int
    """Maximum requests in flight."""


@attrs.frozen
class Demand:
    """Demand of one account at an instance since its last report."""

    account: base.AccountId
    """Account that sent the requests."""
    requests_per_s: float
    """Smoothed requests per second, admitted or not."""
    under_way: int
    """Requests in flight."""


@attrs.frozen
class Share:
    """Part of an account's limit that one instance may use."""

    account: base.AccountId
    """Account that the limit applies to."""
    requests_per_s: float
    """Maximum admitted requests per second at the instance."""
    concurrency: int
    """Maximum requests in flight at the instance."""


@attrs.frozen
class _Grant:
    """A leased share as the leader counts it."""

    share: Share
    demand: Demand
    expires_at: float

    @property
    def slots(self) -> int:
        """Maximum requests in flight until the grant expires."""
        return max(self.share.concurrency, self.demand.under_way)


@attrs.define
class _AccountGrants:
    """Grants of one account, oldest first, with their running sums."""

    by_instance: collections.OrderedDict[base.InstanceId, _Grant] = attrs.field(
        factory=collections.OrderedDict
    )
    rate: float = 0.0
    slots: int = 0
    demanded_rate: float = 0.0
    under_way: int = 0

    def put(self, instance_id: base.InstanceId, grant: _Grant) -> None:
        """Adds a grant, replacing the instance's previous one."""
        self.drop(instance_id)
        self.by_instance[instance_id] = grant
        self._add_to_sums(grant, 1)

    def drop(self, instance_id: base.InstanceId) -> None:
        """Removes the instance's grant if there is one."""
        grant = self.by_instance.pop(instance_id, None)
        if grant is not None:
            self._add_to_sums(grant, -1)
        if not self.by_instance:
            # Keeps rounding errors of the sums from accumulating.
            self.rate = self.demanded_rate = 0.0

    def expire(self, now: float) -> None:
        """Removes the grants that have expired."""
        while self.by_instance:
            instance_id, grant = next(iter(self.by_instance.items()))
            if grant.expires_at > now:
                return
            self.drop(instance_id)

    def _add_to_sums(self, grant: _Grant, sign: int) -> None:
        self.rate += sign * grant.share.requests_per_s
        self.slots += sign * grant.slots
        self.demanded_rate += sign * grant.demand.requests_per_s
        self.under_way += sign * grant.demand.under_way


class ShareAllocator:
    """Splits limits over instances according to their demand.

    Args:
        started_at: Monotonic time in seconds at which this leader took over;
            until the shares of the previous leader have expired, it only
            renews them.
    """

    def __init__(self, started_at: float) -> None:
        self._takeover_ends_at = started_at + LEADER_SHARE_S
        self._grants_by_account: dict[base.AccountId, _AccountGrants] = {}

    def lease(
        self,
        instance_id: base.InstanceId,
        instance_count: int,
        limits: collections.abc.Iterable[AccountLimit],
        demands: collections.abc.Iterable[Demand],
        now: float,
        held: collections.abc.Iterable[Share] = (),
    ) -> tuple[Share, ...]:
        """Returns an instance's shares, valid `SHARE_S` from its request.

        Args:
            instance_id: Instance that requests the shares.
            instance_count: Number of live instances; at least 1.
            limits: All limits in force.
            demands: Demand reported by the instance.
            now: Monotonic time of the leader in seconds.
            held: Unexpired shares that the instance already has.
        """
        by_account = {demand.account: demand for demand in demands}
        if now < self._takeover_ends_at:
            return self._renew(instance_id, by_account, held, now)
        shares = []
        for limit in limits:
            demand = by_account.get(limit.account)
            demand = demand or Demand(limit.account, 0.0, 0)
            shares.append(
                self._lease_account(
                    instance_id, instance_count, limit, demand, now
                )
            )
        return tuple(shares)

    def _renew(
        self,
        instance_id: base.InstanceId,
        demands: dict[base.AccountId, Demand],
        held: collections.abc.Iterable[Share],
        now: float,
    ) -> tuple[Share, ...]:
        """Renews the shares that a previous leader leased."""
        shares = tuple(held)
        for share in shares:
            demand = demands.get(share.account, Demand(share.account, 0.0, 0))
            grants = self._grants_by_account.setdefault(
                share.account, _AccountGrants()
            )
            grants.put(instance_id, _Grant(share, demand, now + LEADER_SHARE_S))
        return shares

    def _lease_account(
        self,
        instance_id: base.InstanceId,
        instance_count: int,
        limit: AccountLimit,
        demand: Demand,
        now: float,
    ) -> Share:
        grants = self._grants_by_account.setdefault(
            limit.account, _AccountGrants()
        )
        grants.expire(now)
        grants.drop(instance_id)
        rate = _proportional_share(
            limit.requests_per_s,
            demand.requests_per_s,
            grants.demanded_rate,
            instance_count,
        )
        slots = _proportional_share(
            limit.concurrency,
            demand.under_way + demand.requests_per_s,
            grants.under_way + grants.demanded_rate,
            instance_count,
        )
        rate_left = limit.requests_per_s - grants.rate
        slots_left = limit.concurrency - grants.slots
        share = Share(
            limit.account,
            max(0.0, min(rate, rate_left)),
            max(0, min(math.ceil(slots), slots_left)),
        )
        grants.put(instance_id, _Grant(share, demand, now + LEADER_SHARE_S))
        return share


def _proportional_share(
    limit: float, own_demand: float, other_demand: float, instance_count: int
) -> float:
    """Returns an equal part of the limit plus a part proportional to demand.

    Without any demand the whole limit is split equally.
    """
    equal_part = limit * EQUAL_SHARE_FRACTION / instance_count
    total = own_demand + max(other_demand, 0.0)
    demand_part = limit * (1 - EQUAL_SHARE_FRACTION)
    return equal_part + (
        demand_part * own_demand / total
        if total
        else demand_part / instance_count
    )
