"""Builds the endpoint offers of a model for the capacity planner."""

import collections
import collections.abc
import statistics

import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_control import declarations

IMPLIED_RECLAIMABLE_PRICE_FACTOR = 0.3
"""Price ratio of reclaimable to safe endpoints if no offer is declared."""

OfferKind = tuple[base.FailureDomain, bool]
OwnedCounts = collections.abc.Mapping[OfferKind, int]
_SUPPLIES = (declarations.Supply.SAFE, declarations.Supply.RECLAIMABLE)


def build_offers(
    capacity: declarations.Capacity,
    declared: collections.abc.Iterable[declarations.Offer],
    owned: OwnedCounts,
    avoided: collections.abc.Collection[base.FailureDomain],
) -> tuple[rollout.EndpointOffer, ...]:
    """Returns the offers of a model, including kinds that are only owned.

    Args:
        capacity: Capacity bounds of the model.
        declared: Declared offers of all models.
        owned: Number of endpoints that exist or are on order, by kind.
        avoided: Failure domains with a recent failed start; used only if the
            model has no other usable offer.
    """
    listed = _list_model_offers(capacity, declared)
    usable = _select_usable_offers(capacity, listed, avoided)
    offers = [
        _to_endpoint_offer(offer, owned, offer in usable) for offer in listed
    ]
    kinds = {(offer.failure_domain, offer.reclaimable) for offer in offers}
    mean_tokens_per_s = statistics.fmean(offer.tokens_per_s for offer in offers)
    # Owned kinds that are no longer offered count, but cannot be ordered.
    unlisted = [
        rollout.EndpointOffer(
            capacity.model,
            *kind,
            capacity.price_ceiling,
            mean_tokens_per_s,
            available=0,
        )
        for kind in sorted(owned)
        if kind not in kinds
    ]
    return (*offers, *unlisted)


def start_s(
    capacity: declarations.Capacity,
    declared: collections.abc.Iterable[declarations.Offer],
) -> float:
    """Returns the maximum start time of a model's endpoints, in seconds."""
    return max(
        offer.start_s for offer in _list_model_offers(capacity, declared)
    )


def _list_model_offers(
    capacity: declarations.Capacity,
    declared: collections.abc.Iterable[declarations.Offer],
) -> list[declarations.Offer]:
    """Returns the declared offers of a model, or implied ones if none are."""
    declared_offers = [
        offer for offer in declared if offer.model == capacity.model
    ]
    return declared_offers or list(_imply_offers(capacity))


def _imply_offers(
    capacity: declarations.Capacity,
) -> collections.abc.Iterator[declarations.Offer]:
    for domain in capacity.failure_domains:
        for supply in _SUPPLIES:
            is_safe = supply is declarations.Supply.SAFE
            price_factor = 1.0 if is_safe else IMPLIED_RECLAIMABLE_PRICE_FACTOR
            yield declarations.Offer(
                capacity.model,
                base.FailureDomain(domain),
                supply,
                price_factor * capacity.price_ceiling,
                1.0,
                capacity.max_endpoints,
            )


def _select_usable_offers(
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
    preferred = [
        offer for offer in allowed if offer.failure_domain not in avoided
    ]
    return preferred or allowed


def _to_endpoint_offer(
    offer: declarations.Offer,
    owned: OwnedCounts,
    is_usable: bool,
) -> rollout.EndpointOffer:
    reclaimable = offer.supply is declarations.Supply.RECLAIMABLE
    remaining = offer.max_endpoints - owned.get(
        (offer.failure_domain, reclaimable), 0
    )
    return rollout.EndpointOffer(
        model=offer.model,
        failure_domain=offer.failure_domain,
        reclaimable=reclaimable,
        price_per_hour=offer.price_per_hour,
        tokens_per_s=offer.tokens_per_s,
        available=max(0, remaining) if is_usable else 0,
        reclaims_per_hour=offer.reclaims_per_hour,
    )
