"""Brings published weights to the engines while this instance leads."""

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

DECIDE_S = 0.1
REPORT_S = 3.0
"""Seconds after its confirmation in which an engine reports a swap."""

Swap = tuple[base.EndpointId, base.ModelName]
Serving = typing.Callable[[], typing.Sequence[control.Announcement]]
UrlOf = typing.Callable[[str], str | None]


@attrs.frozen
class _Answered:
    """An order that an engine has confirmed, until its report shows it."""

    order: rollout.SwapOrder
    sequence: int
    report_by: float


class WeightDuty:
    """Orders swaps in waves; what engines report decides what is done.

    Args:
        clock: Source of time.
        node: The log here; its epoch is the fencing token.
        machine: State machine here.
        plane: Commits what is out of service.
        platform: Sends the orders, lease held.
        store: Lets versions through that the weight store has.
        serving: Engines that serve.
        url_of: Gives an engine's base URL.
        recorder: Takes time line events.
    """

    def __init__(
        self,
        clock: base.Clock,
        node: consensus.LogNode,
        machine: control.ControlMachine,
        plane: _control_plane.ControlPlane,
        platform: _platform.PlatformClient,
        store: _weight_store.StoreGate,
        serving: Serving,
        url_of: UrlOf,
        recorder: base.Recorder,
    ) -> None:
        self._clock = clock
        self._node = node
        self._machine = machine
        self._outages = _outages.OutageKeeper(clock, node, machine, plane)
        self._platform = platform
        self._store = store
        self._serving = serving
        self._url_of = url_of
        self._recorder = recorder
        self._due_at = 0.0
        self.stop()

    def tick(self) -> None:
        """Sends the orders that are due."""
        now = self._clock.now()
        if now < self._due_at:
            return
        self._due_at = now + DECIDE_S
        published = self._machine.state.rollouts.publications()
        publications = self._store.available(published)
        if not publications:
            return
        self._rollout.limit_store(self._store.bytes_per_s)
        reports = self._reports()
        self._outages.hear({report.endpoint for report in reports})
        effects = self._rollout.decide(publications, reports, now)
        for effect in effects:
            self._perform(effect)
        self._outages.commit()

    def stop(self) -> None:
        """Forgets what is under way; the next leader learns from reports."""
        self._store.stop()
        cfg = rollout.WeightCfg(store_bytes_per_s=self._store.bytes_per_s)
        self._rollout = rollout.WeightRollout(cfg)
        self._loading: set[Swap] = set()
        self._answered: dict[Swap, _Answered] = {}
        self._failed: dict[Swap, str] = {}
        self._outages.stop()

    @property
    def withheld(self) -> tuple[_figures.WithheldVersion, ...]:
        """Published versions that are not ordered to engines yet."""
        return self._store.withheld()

    def usable(
        self, views: typing.Iterable[rollout.EngineView]
    ) -> list[rollout.EngineView]:
        """Leaves the models out whose weights on an engine cannot be used."""
        return [self._without_broken(view) for view in views]

    def _without_broken(self, view: rollout.EngineView) -> rollout.EngineView:
        kept = [
            (model, version)
            for model, version in zip(view.models, view.versions, strict=True)
            if self._outages.required(view.endpoint, model) is None
        ]
        return attrs.evolve(
            view,
            models=tuple(model for model, _version in kept),
            versions=tuple(version for _model, version in kept),
        )

    def _reports(self) -> list[rollout.EngineWeights]:
        return [
            self._report_of(announcement, served)
            for announcement in self._serving()
            for served in announcement.models
        ]

    def _report_of(
        self, announcement: control.Announcement, served: control.ServedModel
    ) -> rollout.EngineWeights:
        swap = (announcement.endpoint, served.model)
        self._check_answered(swap, announcement, served)
        return rollout.EngineWeights(
            endpoint=announcement.endpoint,
            failure_domain=announcement.failure_domain,
            model=served.model,
            version=served.version or None,
            loading=swap in self._loading,
            failed_order=self._failed.get(swap, ""),
            required_version=self._outages.required(*swap),
        )

    def _check_answered(
        self,
        swap: Swap,
        announcement: control.Announcement,
        served: control.ServedModel,
    ) -> None:
        """Finds out swaps that an engine has confirmed but not made."""
        answered = self._answered.get(swap)
        if answered is None:
            return
        if served.version == answered.order.version:
            del self._answered[swap]
            return
        is_newer = announcement.sequence > answered.sequence
        if is_newer and self._clock.now() >= answered.report_by:
            del self._answered[swap]
            self._failed[swap] = answered.order.order_id
            self._record(
                "weights.failed",
                answered.order,
                f"reports version {served.version} after its confirmation",
            )

    def _perform(self, effect: rollout.WeightEffect) -> None:
        swap = (effect.endpoint, effect.model)
        match effect:
            case rollout.SwapOrder():
                self._loading.add(swap)
                _background.start(self._send(effect), "weight order")
            case rollout.TakeOutOfService(required_version=required):
                self._outages.want(*swap, required)
                self._record("weights.out_of_service", effect, effect.reason)
            case rollout.ReturnToService():
                self._outages.want(*swap, None)
                self._record("weights.back_in_service", effect, "")

    async def _send(self, order: rollout.SwapOrder) -> None:
        swap = (order.endpoint, order.model)
        url = self._url_of(order.endpoint)
        if url is None:
            self._loading.discard(swap)
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
        self._loading.discard(swap)
        if isinstance(sent, result.Failure):
            self._failed[swap] = order.order_id
            self._record("weights.failed", order, sent.failure().detail)
            return
        known = [
            announcement.sequence
            for announcement in self._serving()
            if announcement.endpoint == order.endpoint
        ]
        self._answered[swap] = _Answered(
            order, max(known, default=0), self._clock.now() + REPORT_S
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
