"""Lifecycle of a weight swap for one model on one engine."""

import math

import attrs
import banyanbank_base as base

from banyanbank_rollout import _commands
from banyanbank_rollout import _weights

LOADING_STATES = frozenset({"loading", "repairing"})


@attrs.define
class WeightSwap:
    """State machine of `charts/weight_swap.yaml` with orders and deadlines."""

    chart: base.ChartRunner
    """Chart runner; only `_send` sends it events."""
    state: str = attrs.field(init=False)
    """Current state of the chart."""
    target: base.WeightVersion | None = None
    """Version of the last order; None before the first order."""
    order_id: str = ""
    """ID of the last order; empty before the first order."""
    ordered_at: float = 0.0
    """Time of the last order, in clock seconds."""
    deadline: float = math.inf
    """Time at which the last order counts as failed, in clock seconds."""
    orders: int = 0
    """Number of orders issued for `target`."""
    consecutive_failures: int = 0
    """Failed orders since the last verified load."""
    retry_at: float = 0.0
    """Earliest time of the next order, in clock seconds."""
    required_version: base.WeightVersion | None = None
    """Minimum version that the engine must report before it receives work for
    the model again; None while it is in service."""

    def __attrs_post_init__(self) -> None:
        self.state = self.chart.state

    @property
    def is_in_service(self) -> bool:
        """Whether the engine receives work for the model."""
        return self.required_version is None

    @property
    def is_loading(self) -> bool:
        """Whether an order is in progress."""
        return self.state in LOADING_STATES

    def is_settled(
        self, report: _weights.EngineWeightReport, newest: base.WeightVersion
    ) -> bool:
        """Returns whether the newest version is in service."""
        if self.state != "current" or not self.is_in_service:
            return False
        return report.version is not None and report.version >= newest

    def has_required_version(self, report: _weights.EngineWeightReport) -> bool:
        """Returns whether an engine out of service may return to service.

        Only the reported version is checked, since a new leader does not know
        of failures that an earlier leader observed.
        """
        if self.required_version is None or report.version is None:
            return False
        return report.version >= self.required_version

    def may_order(self, now: float) -> bool:
        """Returns whether an order may be issued now."""
        if self.state == "waiting":
            return True
        return self.state == "out_of_service" and self.retry_at <= now

    def issue_order(
        self,
        cfg: _weights.WeightCfg,
        endpoint: base.EndpointId,
        publication: _commands.PublishVersion,
        now: float,
    ) -> _weights.SwapOrder:
        """Issues the next order and starts its deadline."""
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

    def observe_report(
        self,
        cfg: _weights.WeightCfg,
        report: _weights.EngineWeightReport,
        newest: base.WeightVersion,
        now: float,
    ) -> None:
        """Updates the state from a report.

        Only reports, never orders, determine which version is loaded.
        """
        if self.is_loading:
            self._observe_load(cfg, report, now)
        is_current = report.version is not None and report.version >= newest
        if is_current and self.state not in LOADING_STATES | {"current"}:
            self._mark_verified()
        elif not is_current and self.state == "current":
            self._send("outdated")
        elif self.state == "delayed" and self.retry_at <= now:
            self._send("retry")

    def _observe_load(
        self,
        cfg: _weights.WeightCfg,
        report: _weights.EngineWeightReport,
        now: float,
    ) -> None:
        target = self.target
        loaded = report.version
        if target is not None and loaded is not None and loaded >= target:
            self._mark_verified()
        elif report.failed_order == self.order_id or now >= self.deadline:
            self._record_failure(cfg, now)

    def _send(self, event: str) -> None:
        self.state = self.chart.send(event)

    def _mark_verified(self) -> None:
        self._send("verify")
        self.consecutive_failures = 0
        self.retry_at = 0.0

    def _record_failure(self, cfg: _weights.WeightCfg, now: float) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures >= cfg.max_failures:
            self.retry_at = now + cfg.repair_delay_s
            self._send("give_up")
        else:
            delay = cfg.retry_delay_s * 2.0 ** (self.consecutive_failures - 1)
            self.retry_at = now + delay
            self._send("fail")
