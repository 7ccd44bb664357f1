"""Builds what serves callers."""

import attrs
import banyanbank_dispatch as dispatch
import banyanbank_mesh as mesh

from banyanbank_daemon import _batches
from banyanbank_daemon import _entry
from banyanbank_daemon import _figures
from banyanbank_daemon._parts import _control
from banyanbank_daemon._parts import _dispatch
from banyanbank_daemon._parts import _surroundings


@attrs.frozen
class EntryParts:
    """The callers' side of one instance."""

    limits: dispatch.AdmissionLimits
    """Shares of the client accounts' limits."""
    active: _entry.ActiveRequests
    """Requests in progress."""
    services: _entry.ServiceCalls
    """Calls of plain services."""
    models: _entry.ModelCalls
    """Calls of models."""
    trainers: _entry.RolloutCalls
    """Calls of trainers."""
    waits: _figures.TrainerWaits
    """Waits of trainers for steps."""


def build_entry(
    around: _surroundings.Surroundings,
    identity: _surroundings.Identity,
    transport: mesh.Mesh,
    control_parts: _control.ControlParts,
    dispatch_parts: _dispatch.DispatchParts,
) -> EntryParts:
    """Builds the parts of an entry."""
    limits = dispatch.AdmissionLimits(around.clock.now())
    active = _entry.ActiveRequests(around.clock, limits, dispatch_parts.waits)
    admission = _entry.Admission(
        around.reactor, around.clock, control_parts.entry.authenticator
    )
    intents = _entry.IntentRunner(
        around.reactor,
        around.clock,
        control_parts.plane,
        identity.name,
        identity.incarnation,
    )
    services = _entry.ServiceCalls(
        around.reactor,
        around.clock,
        admission,
        active,
        dispatch_parts.fleet,
        dispatch_parts.router,
        dispatch_parts.retries,
        dispatch_parts.upstream,
        intents,
        control_parts.usage,
        dispatch_parts.waits,
    )
    models = _entry.ModelCalls(
        around.clock,
        admission,
        active,
        dispatch_parts.dispatcher,
        dispatch_parts.fleet,
    )
    waits = _figures.TrainerWaits(around.clock)
    trainers = _entry.RolloutCalls(
        around.clock,
        admission,
        control_parts.rollouts,
        _build_batches(around, identity, transport, control_parts),
        waits,
    )
    return EntryParts(limits, active, services, models, trainers, waits)


def _build_batches(
    around: _surroundings.Surroundings,
    identity: _surroundings.Identity,
    transport: mesh.Mesh,
    control_parts: _control.ControlParts,
) -> _batches.BatchClient:
    reader = None
    if control_parts.node is not None:
        reader = _batches.BatchReader(
            around.reactor,
            around.clock,
            control_parts.rollouts,
            control_parts.node,
        )
        transport.on_stream(_batches.METHOD, _batches.BatchServer(reader).serve)
    return _batches.BatchClient(
        around.reactor,
        around.clock,
        transport,
        identity.name,
        control_parts.plane,
        reader,
    )
