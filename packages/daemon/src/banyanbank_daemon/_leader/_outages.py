"""Commits which models of engines are out of service."""

import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane

COMMIT_S = 5.0
KEPT_S = 3_600.0
"""Time for which an engine that is not heard keeps its mark, in seconds."""

Swap = tuple[base.EndpointId, base.ModelName]


class OutageKeeper:
    """Holds what this office wants out of service, and commits it.

    What was committed before the office began counts until it is changed: a
    new leader has seen no failure and must not put a broken engine back.

    Args:
        clock: Source of time.
        node: The log here; its epoch goes with each command.
        machine: State machine here.
        plane: Commits commands.
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
        """Forgets what is not committed."""
        self._wanted: dict[Swap, base.WeightVersion | None] = {}
        self._sending: set[Swap] = set()
        self._heard_at: dict[base.EndpointId, float] = {}

    def required(
        self, endpoint: base.EndpointId, model: base.ModelName
    ) -> base.WeightVersion | None:
        """Returns the version that puts an engine back; None in service."""
        swap = (endpoint, model)
        if swap in self._wanted:
            return self._wanted[swap]
        return self._machine.state.outages.required(endpoint, model)

    def want(
        self,
        endpoint: base.EndpointId,
        model: base.ModelName,
        required: base.WeightVersion | None,
    ) -> None:
        """Takes a model of an engine out of service, or puts it back."""
        self._wanted[endpoint, model] = required

    def hear(self, endpoints: typing.Iterable[base.EndpointId]) -> None:
        """Drops the marks of engines that have been gone for long."""
        now = self._clock.now()
        heard = set(endpoints)
        marked = self._machine.state.outages.engines
        # An office that has begun just now has heard of no engine yet.
        self._heard_at = {
            endpoint: now
            if endpoint in heard
            else self._heard_at.get(endpoint, now)
            for endpoint in marked
        }
        for endpoint, heard_at in self._heard_at.items():
            if now < heard_at + KEPT_S:
                continue
            for model in marked[endpoint]:
                self.want(endpoint, model, None)

    def commit(self) -> None:
        """Proposes what differs from the committed state."""
        committed = self._machine.state.outages
        for swap, required in list(self._wanted.items()):
            if swap in self._sending:
                continue
            if committed.required(*swap) == required:
                del self._wanted[swap]
                continue
            self._sending.add(swap)
            _background.start(self._propose(swap, required), "engine mark")

    async def _propose(
        self, swap: Swap, required: base.WeightVersion | None
    ) -> None:
        sending = self._sending
        command = control.MarkEngine(*swap, required, self._node.epoch)
        deadline = self._clock.now() + COMMIT_S
        try:
            await self._plane.propose(command, deadline)
        finally:
            sending.discard(swap)
