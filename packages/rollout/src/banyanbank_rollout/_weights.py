"""Views, orders and limits of weight rollouts."""

import math

import attrs
import banyanbank_base as base


@attrs.frozen
class EngineWeights:
    """What one engine reports about one of its models or adapters."""

    endpoint: base.EndpointId
    """The engine."""
    failure_domain: base.FailureDomain
    """Where it runs."""
    model: base.ModelName
    """Model or adapter that it serves or is to serve."""
    version: base.WeightVersion | None
    """Version reported; None when none, or a mix, is loaded."""
    streams: int = 0
    """Streams that it runs for the model."""
    loading: bool = False
    """Whether it reports a load in progress."""
    failed_order: str = ""
    """Newest order that it reports as failed; empty when none."""
    required_version: base.WeightVersion | None = None
    """Version that it has to report before it gets work for the model again,
    as last committed; None when it is in service."""


@attrs.frozen
class SwapOrder:
    """Order an engine to load a version; idempotent by its order id."""

    order_id: str
    """Names the order; a new leader repeats the same."""
    endpoint: base.EndpointId
    """The engine."""
    model: base.ModelName
    """Model or adapter to load."""
    version: base.WeightVersion
    """Version to load."""
    location: str
    """Where the weight store holds it."""
    base_model: base.ModelName | None
    """Model that an adapter extends; None for whole weights."""


@attrs.frozen
class TakeOutOfService:
    """Send the engine no more work for the model."""

    endpoint: base.EndpointId
    """The engine."""
    model: base.ModelName
    """The model."""
    required_version: base.WeightVersion
    """Version that it has to report before it serves the model again."""
    reason: str
    """Why, for the time line."""


@attrs.frozen
class ReturnToService:
    """The engine has verified weights again."""

    endpoint: base.EndpointId
    """The engine."""
    model: base.ModelName
    """The model."""


WeightEffect = SwapOrder | TakeOutOfService | ReturnToService


@attrs.frozen
class WeightCfg:
    """Limits of weight rollouts."""

    store_bytes_per_s: float
    """Rate limit of the weight store."""
    store_burst_s: float = 1.0
    """Seconds of that rate that may be ordered ahead."""
    min_available_share: float = 0.75
    """Share of a model's engines that serve on, in all and by domain."""
    load_timeout_s: float = 60.0
    """Seconds after which an order without a verifying report failed."""
    retry_delay_s: float = 5.0
    """Delay after the first failure; doubles."""
    max_failures: int = 3
    """Failures after which the engine is taken out of service."""
    repair_delay_s: float = 120.0
    """Delay between tries on an engine that is out of service."""

    def max_down(self, engines: int) -> int:
        """Returns how many of so many engines may swap at once."""
        spare = math.floor((1 - self.min_available_share) * engines + 1e-9)
        return max(1, spare)


class StorePacer:
    """Spreads orders so that the weight store's rate limit holds.

    Args:
        bytes_per_s: Rate limit of the store.
        burst_s: Seconds of that rate that may be ordered ahead.
    """

    def __init__(self, bytes_per_s: float, burst_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_s = burst_s
        self._busy_until = -math.inf

    def limit(self, bytes_per_s: float) -> None:
        """Sets another rate for downloads to come."""
        self._bytes_per_s = bytes_per_s

    def take(self, size_bytes: int, now: float) -> bool:
        """Reserves the store for one download; False when it is busy."""
        if self._busy_until > now + self._burst_s:
            return False
        start = max(self._busy_until, now)
        self._busy_until = start + size_bytes / self._bytes_per_s
        return True


def estimate_swap_s(
    cfg: WeightCfg,
    engines_by_domain: dict[base.FailureDomain, int],
    size_bytes: int,
    load_s: float,
) -> float:
    """Returns how long a version takes to reach all engines, in seconds.

    Args:
        cfg: Limits.
        engines_by_domain: Engines of the model in each failure domain.
        size_bytes: Bytes that each engine loads.
        load_s: Time of one engine from order to verifying report.
    """
    total = sum(engines_by_domain.values())
    waves = max(
        math.ceil(count / cfg.max_down(count))
        for count in (total, *engines_by_domain.values())
    )
    store_s = size_bytes * total / cfg.store_bytes_per_s
    return max(waves * load_s, store_s + load_s)
