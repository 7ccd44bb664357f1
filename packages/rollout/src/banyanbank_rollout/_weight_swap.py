"""Lifecycle of one model's weights on one engine."""

import math

import attrs
import banyanbank_base as base

from banyanbank_rollout import _commands
from banyanbank_rollout import _weights

LOADING_STATES = frozenset({"loading", "repairing"})


@attrs.define
class WeightSwap:
    """State of `charts/weight_swap.yaml` with its deadlines."""

    chart: base.ChartRunner
    """The chart, which `_send` alone may move."""
    state: str = attrs.field(init=False)
    """Current state of the chart."""
    target: base.WeightVersion | None = None
    """Version ordered last; None before the first order."""
    order_id: str = ""
    """The order sent last; empty before the first."""
    ordered_at: float = 0.0
    """When it was sent, in clock seconds."""
    deadline: float = math.inf
    """When it counts as failed, in clock seconds."""
    orders: int = 0
    """Orders sent for the target."""
    failures: int = 0
    """Failures in a row."""
    retry_at: float = 0.0
    """When the next order may be sent, in clock seconds."""
    required: base.WeightVersion | None = None
    """Version to report before the engine gets work for the model again; None
    while it is in service."""

    def __attrs_post_init__(self) -> None:
        self.state = self.chart.state

    @property
    def in_service(self) -> bool:
        """Whether the engine gets work for the model."""
        return self.required is None

    @property
    def is_loading(self) -> bool:
        """Whether an order is out."""
        return self.state in LOADING_STATES

    def is_settled(
        self, report: _weights.EngineWeights, newest: base.WeightVersion
    ) -> bool:
        """Tells whether the newest version serves and nothing is to do."""
        if self.state != "current" or not self.in_service:
            return False
        return report.version is not None and report.version >= newest

    def has_required(self, report: _weights.EngineWeights) -> bool:
        """Tells whether an engine out of service reports what was awaited.

        A new leader has seen no failure: the version alone counts.
        """
        if self.required is None or report.version is None:
            return False
        return report.version >= self.required

    def may_order(self, now: float) -> bool:
        """Tells whether the engine waits for an order."""
        if self.state == "waiting":
            return True
        return self.state == "out_of_service" and self.retry_at <= now

    def order(
        self,
        cfg: _weights.WeightCfg,
        endpoint: base.EndpointId,
        publication: _commands.PublishVersion,
        now: float,
    ) -> _weights.SwapOrder:
        """Returns the next order and starts to wait for its outcome."""
        if self.target != publication.version:
            self.orders = 0
        self._send("order")
        self.target = publication.version
        self.ordered_at = now
        self.deadline = now + cfg.load_timeout_s
        self.order_id = (
            f"{endpoint}/{publication.model}/{publication.version}"
            f"/{self.orders}"
        )
        self.orders += 1
        return _weights.SwapOrder(
            order_id=self.order_id,
            endpoint=endpoint,
            model=publication.model,
            version=publication.version,
            location=publication.location,
            base_model=publication.base_model,
        )

    def follow(
        self,
        cfg: _weights.WeightCfg,
        report: _weights.EngineWeights,
        newest: base.WeightVersion,
        now: float,
    ) -> None:
        """Takes in a report, which alone tells what is loaded."""
        if self.is_loading:
            self._follow_load(cfg, report, now)
        current = report.version is not None and report.version >= newest
        if current and self.state not in LOADING_STATES | {"current"}:
            self._verified()
        elif not current and self.state == "current":
            self._send("outdated")
        elif self.state == "delayed" and self.retry_at <= now:
            self._send("retry")

    def _follow_load(
        self,
        cfg: _weights.WeightCfg,
        report: _weights.EngineWeights,
        now: float,
    ) -> None:
        target = self.target
        loaded = report.version
        if target is not None and loaded is not None and loaded >= target:
            self._verified()
        elif report.failed_order == self.order_id or now >= self.deadline:
            self._failed(cfg, now)

    def _send(self, event: str) -> None:
        self.state = self.chart.send(event)

    def _verified(self) -> None:
        self._send("verify")
        self.failures = 0
        self.retry_at = 0.0

    def _failed(self, cfg: _weights.WeightCfg, now: float) -> None:
        self.failures += 1
        if self.failures >= cfg.max_failures:
            self.retry_at = now + cfg.repair_delay_s
            self._send("give_up")
        else:
            delay = cfg.retry_delay_s * 2.0 ** (self.failures - 1)
            self.retry_at = now + delay
            self._send("fail")
