"""Builds the log, the way to it, and what an entry learns from it."""

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control
import banyanbank_mesh as mesh

from banyanbank_daemon import _control_plane
from banyanbank_daemon import _rollout_plane
from banyanbank_daemon import _settings
from banyanbank_daemon import _usage
from banyanbank_daemon._parts import _surroundings

CONSENSUS_CHANNEL = "consensus"


class _MeshTransport:
    """Carries the log's frames; implements `consensus.PeerTransport`."""

    def __init__(self, transport: mesh.Mesh) -> None:
        self._mesh = transport

    def send(self, peer: base.InstanceId, data: bytes) -> None:
        self._mesh.send(peer, CONSENSUS_CHANNEL, data)


@attrs.frozen
class ControlParts:
    """Control as one instance sees it."""

    plane: _control_plane.ControlPlane
    """Way to the replicated log."""
    entry: control.EntrySync
    """Configuration, members and endpoints as learned here."""
    rollouts: _rollout_plane.RolloutPlane
    """The sample ledger."""
    usage: _usage.UsageMeter
    """Counts of answered requests."""
    machine: control.ControlMachine | None
    """State machine; None on an instance that is no voter."""
    node: consensus.LogNode | None
    """The log here; None on an instance that is no voter."""


def member_of(
    settings: _settings.Settings,
    identity: _surroundings.Identity,
    mesh_port: int,
) -> control.Member:
    """Describes an instance to the others.

    Args:
        settings: Its settings.
        identity: Its name and life.
        mesh_port: Port of its mesh listener, once known.
    """
    return control.Member(
        instance=identity.name,
        incarnation=identity.incarnation,
        address=f"{settings.reachable_host}:{mesh_port}",
        failure_domain=settings.failure_domain,
        roles=("control",) if settings.data_dir is not None else (),
    )


def build_control(
    settings: _settings.Settings,
    around: _surroundings.Surroundings,
    identity: _surroundings.Identity,
    transport: mesh.Mesh,
) -> ControlParts:
    """Builds the parts of control."""
    voters = tuple(voter.instance for voter in settings.voters)
    machine = None
    node = None
    if around.disk is not None:
        machine = control.ControlMachine()
        node = consensus.LogNode(
            consensus.NodeConfig(identity.name, voters),
            around.disk,
            machine,
            _MeshTransport(transport),
            around.clock,
            around.rng,
            around.recorder,
        )
        transport.on_message(CONSENSUS_CHANNEL, node.handle_message)
    plane = _control_plane.ControlPlane(
        around.reactor,
        around.clock,
        transport,
        identity.name,
        voters,
        node,
        machine,
    )
    entry = control.EntrySync(member_of(settings, identity, settings.mesh_port))
    buffer = control.UsageBuffer(identity.name, identity.incarnation)
    return ControlParts(
        plane=plane,
        entry=entry,
        rollouts=_rollout_plane.RolloutPlane(
            plane, machine, entry.authenticator
        ),
        usage=_usage.UsageMeter(around.clock, plane, buffer),
        machine=machine,
        node=node,
    )
