"""Leader duty that rolls published weights out to the engines."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control
import banyanbank_rollout as rollout
from returns import result

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane
from banyanbank_daemon import _figures
from banyanbank_daemon import _platform
from banyanbank_daemon._leader import _outages
from banyanbank_daemon._leader import _weight_store

DECISION_INTERVAL_S = 0.1
REPORT_TIMEOUT_S = 3.0
"""Seconds that an engine has to report a swap after confirming it."""

EngineModel = tuple[base.EndpointId, base.ModelName]
Serving = typing.Callable[[], typing.Sequence[control.Announcement]]
UrlOf = typing.Callable[[str], str | None]


@attrs.frozen
class _ConfirmedOrder:
    """A swap order that the engine confirmed but does not report yet."""

    order: rollout.SwapOrder
    sequence: int
    report_deadline: float


class WeightDuty:
    """Orders weight swaps in waves; engine reports show which are complete.

    Args:
        clock: Monotonic clock.
        node: Consensus log of this instance; its epoch is the fencing token.
        machine: State machine of this instance.
        plane: Proposes engine outages.
        platform: Sends the orders while the lease is held.
        store: Holds back versions that the weight store does not have.
        serving: Returns the announcements of serving engines.
        url_of: Returns an engine's base URL; None if unknown.
        recorder: Recorder of timeline events.
    """

    def __init__(
        self,
        clock: base.Clock,
        node: consensus.LogNode,
        machine: control.ControlMachine,
        plane: _control_plane.ControlPlane,
        platform: _platform.PlatformClient,
        store: _weight_store.PublicationGate,
        serving: Serving,
        url_of: UrlOf,
        recorder: base.Recorder,
    ) -> None:
        self._clock = clock
        self._node = node
        self._machine = machine
        self._outages = _outages.OutageReconciler(clock, node, machine, plane)
        self._platform = platform
        self._store = store
        self._serving = serving
        self._url_of = url_of
        self._recorder = recorder
        self._next_decision_at = 0.0
        self.stop()

    def tick(self) -> None:
        """Sends due orders, at most once per decision interval."""
        now = self._clock.now()
        if now < self._next_decision_at:
            return
        self._next_decision_at = now + DECISION_INTERVAL_S
        published = self._machine.state.rollouts.publications()
        publications = self._store.poll(published)
        if not publications:
            return
        self._rollout.set_store_rate(self._store.bytes_per_s)
        reports = self._build_reports()
        self._outages.expire_outages({report.endpoint for report in reports})
        effects = self._rollout.decide(publications, reports, now)
        for effect in effects:
            self._perform(effect)
        self._outages.commit()

    def stop(self) -> None:
        """Discards swaps in progress; the next leader relies on reports."""
        self._store.stop()
        cfg = rollout.WeightCfg(store_bytes_per_s=self._store.bytes_per_s)
        self._rollout = rollout.WeightRollout(cfg)
        self._loading: set[EngineModel] = set()
        self._confirmed_orders: dict[EngineModel, _ConfirmedOrder] = {}
        self._failed_order_ids: dict[EngineModel, str] = {}
        self._outages.stop()

    @property
    def withheld(self) -> tuple[_figures.WithheldVersion, ...]:
        """Published versions for which no engine orders are sent yet."""
        return self._store.withheld()

    def exclude_unusable_models(
        self, views: typing.Iterable[rollout.EngineView]
    ) -> list[rollout.EngineView]:
        """Returns the views without models whose weights are unusable.

        Args:
            views: Engines with all their models.
        """
        return [self._exclude_unusable(view) for view in views]

    def _exclude_unusable(self, view: rollout.EngineView) -> rollout.EngineView:
        kept = [
            (model, version)
            for model, version in zip(view.models, view.versions, strict=True)
            if self._outages.required_version(view.endpoint, model) is None
        ]
        return attrs.evolve(
            view,
            models=tuple(model for model, _version in kept),
            versions=tuple(version for _model, version in kept),
        )

    def _build_reports(self) -> list[rollout.EngineWeightReport]:
        return [
            self._build_report(announcement, served)
            for announcement in self._serving()
            for served in announcement.models
        ]

    def _build_report(
        self, announcement: control.Announcement, served: control.ServedModel
    ) -> rollout.EngineWeightReport:
        engine_model = (announcement.endpoint, served.model)
        self._check_confirmed_order(engine_model, announcement, served)
        return rollout.EngineWeightReport(
            endpoint=announcement.endpoint,
            failure_domain=announcement.failure_domain,
            model=served.model,
            version=served.version or None,
            loading=engine_model in self._loading,
            failed_order=self._failed_order_ids.get(engine_model, ""),
            required_version=self._outages.required_version(*engine_model),
        )

    def _check_confirmed_order(
        self,
        engine_model: EngineModel,
        announcement: control.Announcement,
        served: control.ServedModel,
    ) -> None:
        """Marks an order as failed that was confirmed but not carried out.

        Only announcements newer than the confirmation count.
        """
        confirmed = self._confirmed_orders.get(engine_model)
        if confirmed is None:
            return
        if served.version == confirmed.order.version:
            del self._confirmed_orders[engine_model]
            return
        is_newer = announcement.sequence > confirmed.sequence
        if is_newer and self._clock.now() >= confirmed.report_deadline:
            del self._confirmed_orders[engine_model]
            self._failed_order_ids[engine_model] = confirmed.order.order_id
            self._record(
                "weights.failed",
                confirmed.order,
                f"engine reports version {served.version} after confirming",
            )

    def _perform(self, effect: rollout.WeightEffect) -> None:
        engine_model = (effect.endpoint, effect.model)
        match effect:
            case rollout.SwapOrder():
                self._loading.add(engine_model)
                _background.start(self._send_order(effect), "weight swap order")
            case rollout.TakeOutOfService(required_version=required):
                self._outages.set_required_version(*engine_model, required)
                self._record("weights.out_of_service", effect, effect.reason)
            case rollout.ReturnToService():
                self._outages.set_required_version(*engine_model, None)
                self._record("weights.back_in_service", effect, "")

    async def _send_order(self, order: rollout.SwapOrder) -> None:
        engine_model = (order.endpoint, order.model)
        url = self._url_of(order.endpoint)
        if url is None:
            self._loading.discard(engine_model)
            return
        document = {
            "model": order.model,
            "version": order.version,
            "location": order.location,
            "base_model": order.base_model,
            "idempotency_key": order.order_id,
            "fencing_token": self._node.epoch,
        }
        self._record("weights.ordered", order, f"version={order.version}")
        sent = await self._platform.send_swap(url, document)
        self._loading.discard(engine_model)
        if isinstance(sent, result.Failure):
            self._failed_order_ids[engine_model] = order.order_id
            self._record("weights.failed", order, sent.failure().detail)
            return
        sequences = [
            announcement.sequence
            for announcement in self._serving()
            if announcement.endpoint == order.endpoint
        ]
        self._confirmed_orders[engine_model] = _ConfirmedOrder(
            order,
            max(sequences, default=0),
            self._clock.now() + REPORT_TIMEOUT_S,
        )

    def _record(
        self, kind: str, effect: rollout.WeightEffect, detail: str
    ) -> None:
        self._recorder.record(
            kind,
            endpoint=effect.endpoint,
            epoch=self._node.epoch,
            detail=f"model={effect.model} {detail}",
        )
