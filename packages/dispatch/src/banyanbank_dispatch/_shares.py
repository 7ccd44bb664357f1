"""The leader's side of limits: leases shares of them to instances.

The leader leases every instance a share of each account's limit. Shares that
have not expired never add up to more than the limit, so the limit holds also
while messages are lost or an instance is cut off.
"""

import collections
import collections.abc
import math

import attrs
import banyanbank_base as base

SHARE_S = 3.0
"""Seconds that an instance may use a share, counted from its request."""
SHARE_HELD_S = 4.0
"""Seconds that the leader counts a share as used, from its answer."""
FLOOR_SHARE = 0.1
"""Part of a limit that is spread over instances without demand."""


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

    @property
    def slots(self) -> int:
        """Requests that may be under way until the grant expires."""
        return max(self.share.concurrency, self.demand.under_way)


@attrs.define
class _Grants:
    """Grants of one account, oldest first, with their sums kept current."""

    by_instance: collections.OrderedDict[base.InstanceId, _Grant] = attrs.field(
        factory=collections.OrderedDict
    )
    rate: float = 0.0
    slots: int = 0
    wanted_rate: float = 0.0
    under_way: int = 0

    def put(self, instance_id: base.InstanceId, grant: _Grant) -> None:
        """Counts a grant, in place of an earlier one of the instance."""
        self.drop(instance_id)
        self.by_instance[instance_id] = grant
        self._add(grant, 1)

    def drop(self, instance_id: base.InstanceId) -> None:
        """Stops counting an instance's grant."""
        grant = self.by_instance.pop(instance_id, None)
        if grant is not None:
            self._add(grant, -1)
        if not self.by_instance:
            # Rounding errors of the sums must not pile up.
            self.rate = self.wanted_rate = 0.0

    def expire(self, now: float) -> None:
        """Drops grants that nobody may use any more."""
        while self.by_instance:
            instance_id, grant = next(iter(self.by_instance.items()))
            if grant.held_until > now:
                return
            self.drop(instance_id)

    def _add(self, grant: _Grant, sign: int) -> None:
        self.rate += sign * grant.share.requests_per_s
        self.slots += sign * grant.slots
        self.wanted_rate += sign * grant.demand.requests_per_s
        self.under_way += sign * grant.demand.under_way


class ShareAllocator:
    """The leader's side: splits limits over instances by their demand.

    Args:
        started_at: Monotonic seconds at which this leader took over; until
            shares of an earlier leader have expired it only renews them.
    """

    def __init__(self, started_at: float) -> None:
        self._opens_at = started_at + SHARE_HELD_S
        self._grants: dict[base.AccountId, _Grants] = {}

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
            grants = self._grants.setdefault(share.account, _Grants())
            grants.put(instance_id, _Grant(share, demand, now + SHARE_HELD_S))
        return shares

    def _lease_one(
        self,
        instance_id: base.InstanceId,
        instances: int,
        limit: AccountLimit,
        demand: Demand,
        now: float,
    ) -> Share:
        grants = self._grants.setdefault(limit.account, _Grants())
        grants.expire(now)
        grants.drop(instance_id)
        rate = _part(
            limit.requests_per_s,
            demand.requests_per_s,
            grants.wanted_rate,
            instances,
        )
        slots = _part(
            limit.concurrency,
            demand.under_way + demand.requests_per_s,
            grants.under_way + grants.wanted_rate,
            instances,
        )
        rate_left = limit.requests_per_s - grants.rate
        slots_left = limit.concurrency - grants.slots
        share = Share(
            limit.account,
            max(0.0, min(rate, rate_left)),
            max(0, min(math.ceil(slots), slots_left)),
        )
        grants.put(instance_id, _Grant(share, demand, now + SHARE_HELD_S))
        return share


def _part(limit: float, mine: float, others: float, instances: int) -> float:
    """Returns a floor for everybody and the rest in proportion to demand."""
    floor = limit * FLOOR_SHARE / instances
    total = mine + max(others, 0.0)
    rest = limit * (1 - FLOOR_SHARE)
    return floor + (rest * mine / total if total else rest / instances)
