"""Finds the declared price of endpoints."""

import collections.abc

import banyanbank_base as base
import banyanbank_control as control

from banyanbank_daemon._figures import _messages

PriceOf = collections.abc.Callable[[_messages.EndpointFigures], float | None]
"""Price of one endpoint of a sort for an hour; None when none is declared."""


def declared_prices(items: collections.abc.Iterable[control.Item]) -> PriceOf:
    """Returns the prices that a configuration's offers declare."""
    prices = {
        (offer.model, offer.failure_domain, offer.supply.value): (
            offer.price_per_hour
        )
        for offer in items
        if isinstance(offer, control.Offer)
    }

    def price_of(figures: _messages.EndpointFigures) -> float | None:
        model = base.ModelName(figures.serves)
        sort = (model, figures.failure_domain, figures.supply)
        is_engine = figures.kind == control.EndpointKind.ENGINE.value
        return prices.get(sort) if is_engine else None

    return price_of
