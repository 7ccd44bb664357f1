"""Engine reports, orders, limits and rate limiting of weight rollouts."""

import math

import attrs
import banyanbank_base as base


@attrs.frozen
class EngineWeightReport:
    """Report of one engine about one of its models or adapters."""

    endpoint: base.EndpointId
    """Endpoint of the engine."""
    failure_domain: base.FailureDomain
    """Failure domain of the engine."""
    model: base.ModelName
    """Model or adapter that the engine serves or will serve."""
    version: base.WeightVersion | None
    """Loaded version; None if no version or a mix of versions is loaded."""
    streams: int = 0
    """Number of streams running for the model."""
    loading: bool = False
    """Whether a load is in progress."""
    failed_order: str = ""
    """ID of the newest failed order; empty for none."""
    required_version: base.WeightVersion | None = None
    """Last committed minimum version that the engine must report before it
    receives work for the model again; None while it is in service."""


@attrs.frozen
class SwapOrder:
    """Orders an engine to load a version; idempotent by order ID."""

    order_id: str
    """Deterministic ID; a new leader repeats the order under the same one."""
    endpoint: base.EndpointId
    """Endpoint of the engine."""
    model: base.ModelName
    """Model or adapter to load."""
    version: base.WeightVersion
    """Version to load."""
    location: str
    """Location in the weight store."""
    base_model: base.ModelName | None
    """Base model of an adapter; None for full weights."""


@attrs.frozen
class TakeOutOfService:
    """Stops sending work for the model to the engine."""

    endpoint: base.EndpointId
    """Endpoint of the engine."""
    model: base.ModelName
    """Model or adapter taken out of service."""
    required_version: base.WeightVersion
    """Minimum version that the engine must report to return to service."""
    reason: str
    """Reason shown in the timeline."""


@attrs.frozen
class ReturnToService:
    """Resumes sending work for the model, whose weights are verified."""

    endpoint: base.EndpointId
    """Endpoint of the engine."""
    model: base.ModelName
    """Model or adapter returned to service."""


WeightEffect = SwapOrder | TakeOutOfService | ReturnToService


@attrs.frozen
class WeightCfg:
    """Limits of weight rollouts."""

    store_bytes_per_s: float
    """Rate limit of the weight store, in bytes per second."""
    store_burst_s: float = 1.0
    """Maximum backlog of store downloads when an order is issued, in seconds.
    """
    min_available_share: float = 0.75
    """Minimum share of a model's engines that keep serving during a rollout,
    overall and in each failure domain; one engine may always swap."""
    load_timeout_s: float = 60.0
    """Seconds until an order without a verifying report counts as failed."""
    retry_delay_s: float = 5.0
    """Seconds before the first retry; doubles with every further failure."""
    max_failures: int = 3
    """Consecutive failures after which an engine is taken out of service."""
    repair_delay_s: float = 120.0
    """Seconds between attempts on an engine that is out of service."""

    def max_unavailable(self, engines: int) -> int:
        """Returns how many of `engines` may swap at once; at least 1."""
        # The epsilon offsets rounding: (1 - 0.9) * 10 is just below 1.
        spare = math.floor((1 - self.min_available_share) * engines + 1e-9)
        return max(1, spare)


class StoreRateLimiter:
    """Delays downloads to keep within the weight store's rate limit.

    Args:
        bytes_per_s: Rate limit of the store.
        burst_s: Maximum backlog, in seconds, at which a download is accepted.
    """

    def __init__(self, bytes_per_s: float, burst_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_s = burst_s
        self._busy_until = -math.inf

    def set_rate(self, bytes_per_s: float) -> None:
        """Sets the rate limit of later downloads, in bytes per second."""
        self._bytes_per_s = bytes_per_s

    def try_reserve(self, size_bytes: int, now: float) -> bool:
        """Reserves one download; returns False if the backlog is too long."""
        if self._busy_until > now + self._burst_s:
            return False
        start = max(self._busy_until, now)
        self._busy_until = start + size_bytes / self._bytes_per_s
        return True


def estimate_rollout_s(
    cfg: WeightCfg,
    engines_by_domain: dict[base.FailureDomain, int],
    size_bytes: int,
    load_s: float,
) -> float:
    """Estimates the time in seconds until all engines run a version.

    Args:
        cfg: Limits of the rollout.
        engines_by_domain: Engines of the model in each failure domain.
        size_bytes: Size of the download to each engine, in bytes.
        load_s: Seconds from order to verifying report on one engine.
    """
    total = sum(engines_by_domain.values())
    waves = max(
        math.ceil(count / cfg.max_unavailable(count))
        for count in (total, *engines_by_domain.values())
    )
    store_s = size_bytes * total / cfg.store_bytes_per_s
    return max(waves * load_s, store_s + load_s)
