"""Reconciles committed engine outages with the desired ones."""

import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane

COMMIT_TIMEOUT_S = 5.0
OUTAGE_TTL_S = 3_600.0
"""Seconds without a report after which an engine's outages are dropped."""

EngineModel = tuple[base.EndpointId, base.ModelName]


class OutageReconciler:
    """Tracks the outages that this leader wants and commits them.

    Outages committed under earlier leaders persist until changed: a new
    leader has not seen the failure and must not return a broken engine to
    service.

    Args:
        clock: Monotonic clock.
        node: Consensus log of this instance; its epoch goes into commands.
        machine: State machine of this instance.
        plane: Proposes commands.
    """

    def __init__(
        self,
        clock: base.Clock,
        node: consensus.LogNode,
        machine: control.ControlMachine,
        plane: _control_plane.ControlPlane,
    ) -> None:
        self._clock = clock
        self._node = node
        self._machine = machine
        self._plane = plane
        self.stop()

    def stop(self) -> None:
        """Discards desired outages that are not committed."""
        self._desired: dict[EngineModel, base.WeightVersion | None] = {}
        self._in_flight: set[EngineModel] = set()
        self._last_report_at: dict[base.EndpointId, float] = {}

    def required_version(
        self, endpoint: base.EndpointId, model: base.ModelName
    ) -> base.WeightVersion | None:
        """Returns the version that ends an outage; None if in service."""
        engine_model = (endpoint, model)
        if engine_model in self._desired:
            return self._desired[engine_model]
        return self._machine.state.outages.required(endpoint, model)

    def set_required_version(
        self,
        endpoint: base.EndpointId,
        model: base.ModelName,
        required: base.WeightVersion | None,
    ) -> None:
        """Starts an outage of a model on an engine, or ends it with None.

        Takes effect locally at once; `commit` proposes it.
        """
        self._desired[endpoint, model] = required

    def expire_outages(
        self, endpoints: typing.Iterable[base.EndpointId]
    ) -> None:
        """Ends outages of engines that have not reported for a long time.

        Args:
            endpoints: Engines that report now.
        """
        now = self._clock.now()
        heard = set(endpoints)
        marked_engines = self._machine.state.outages.engines
        # A new leader knows no report times: they start at the current time.
        self._last_report_at = {
            endpoint: now
            if endpoint in heard
            else self._last_report_at.get(endpoint, now)
            for endpoint in marked_engines
        }
        for endpoint, last_report_at in self._last_report_at.items():
            if now < last_report_at + OUTAGE_TTL_S:
                continue
            for model in marked_engines[endpoint]:
                self.set_required_version(endpoint, model, None)

    def commit(self) -> None:
        """Proposes each desired outage that differs from committed state."""
        committed = self._machine.state.outages
        for engine_model, required in list(self._desired.items()):
            if engine_model in self._in_flight:
                continue
            if committed.required(*engine_model) == required:
                del self._desired[engine_model]
                continue
            self._in_flight.add(engine_model)
            _background.start(
                self._propose(engine_model, required), "engine outage proposal"
            )

    async def _propose(
        self, engine_model: EngineModel, required: base.WeightVersion | None
    ) -> None:
        in_flight = self._in_flight
        command = control.MarkEngine(*engine_model, required, self._node.epoch)
        deadline = self._clock.now() + COMMIT_TIMEOUT_S
        try:
            await self._plane.propose(command, deadline)
        finally:
            in_flight.discard(engine_model)
