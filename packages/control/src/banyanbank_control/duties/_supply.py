"""What can be had for a model, as the capacity planner takes it."""

import collections
import collections.abc
import statistics

import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_control import declarations

IMPLIED_DISCOUNT = 0.3
"""Price of reclaimable endpoints by that of safe ones, where none is told."""

Kind = tuple[base.FailureDomain, bool]
Owned = collections.abc.Mapping[Kind, int]
_SUPPLIES = (declarations.Supply.SAFE, declarations.Supply.RECLAIMABLE)


def offers_of(
    capacity: declarations.Capacity,
    declared: collections.abc.Iterable[declarations.Offer],
    owned: Owned,
    avoided: collections.abc.Collection[base.FailureDomain],
) -> tuple[rollout.EndpointOffer, ...]:
    """Returns what can be ordered of a model, and what is there besides.

    Args:
        capacity: Bounds of the model.
        declared: Offers, of any model.
        owned: Endpoints that are there or on order, by kind.
        avoided: Failure domains in which orders have failed of late; used
            only when the model may run in no other.
    """
    listed = _listed(capacity, declared)
    usable = _usable(capacity, listed, avoided)
    offers = [_offer(offer, owned, offer in usable) for offer in listed]
    kinds = {(offer.failure_domain, offer.reclaimable) for offer in offers}
    speed = statistics.fmean(offer.tokens_per_s for offer in offers)
    # Endpoints that nobody offers any more count, but none is added.
    unlisted = [
        rollout.EndpointOffer(
            capacity.model, *kind, capacity.price_ceiling, speed, available=0
        )
        for kind in sorted(owned)
        if kind not in kinds
    ]
    return (*offers, *unlisted)


def start_s(
    capacity: declarations.Capacity,
    declared: collections.abc.Iterable[declarations.Offer],
) -> float:
    """Returns the seconds that a model's endpoints take to start, at most."""
    return max(offer.start_s for offer in _listed(capacity, declared))


def _listed(
    capacity: declarations.Capacity,
    declared: collections.abc.Iterable[declarations.Offer],
) -> list[declarations.Offer]:
    """Returns the offers of a model, implied ones where none is declared."""
    own = [offer for offer in declared if offer.model == capacity.model]
    return own or list(_implied(capacity))


def _implied(
    capacity: declarations.Capacity,
) -> collections.abc.Iterator[declarations.Offer]:
    for domain in capacity.failure_domains:
        for supply in _SUPPLIES:
            is_safe = supply is declarations.Supply.SAFE
            discount = 1.0 if is_safe else IMPLIED_DISCOUNT
            yield declarations.Offer(
                capacity.model,
                base.FailureDomain(domain),
                supply,
                discount * capacity.price_ceiling,
                1.0,
                capacity.max_endpoints,
            )


def _usable(
    capacity: declarations.Capacity,
    listed: list[declarations.Offer],
    avoided: collections.abc.Collection[base.FailureDomain],
) -> list[declarations.Offer]:
    allowed = [
        offer
        for offer in listed
        if offer.failure_domain in capacity.failure_domains
        and offer.price_per_hour <= capacity.price_ceiling
    ]
    good = [offer for offer in allowed if offer.failure_domain not in avoided]
    return good or allowed


def _offer(
    offer: declarations.Offer,
    owned: Owned,
    is_usable: bool,
) -> rollout.EndpointOffer:
    reclaimable = offer.supply is declarations.Supply.RECLAIMABLE
    room = offer.max_endpoints - owned.get(
        (offer.failure_domain, reclaimable), 0
    )
    return rollout.EndpointOffer(
        model=offer.model,
        failure_domain=offer.failure_domain,
        reclaimable=reclaimable,
        price_per_hour=offer.price_per_hour,
        tokens_per_s=offer.tokens_per_s,
        available=max(0, room) if is_usable else 0,
        reclaims_per_hour=offer.reclaims_per_hour,
    )
