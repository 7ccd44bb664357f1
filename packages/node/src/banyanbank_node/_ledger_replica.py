"""This store's replica of the ledger, and proposals to its log."""

import collections.abc

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_mesh as mesh
from returns import result

from banyanbank_node import _event_log
from banyanbank_node import _node
from banyanbank_node import _ports
from banyanbank_node import _settings

CONSENSUS_CHANNEL = "consensus"


class MeshTransport:
    """Sends the log's frames; implements `consensus.PeerTransport`.

    Args:
        transport: Mesh of this instance.
        register_address: Registers with the mesh the address that an instance's
            name contains.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        register_address: collections.abc.Callable[[base.InstanceId], None],
    ) -> None:
        self._mesh = transport
        self._register_address = register_address
        self._known_peers: set[base.InstanceId] = set()

    def send(self, peer: base.InstanceId, data: bytes) -> None:
        """Sends a frame, best effort."""
        if peer not in self._known_peers:
            self._known_peers.add(peer)
            self._register_address(peer)
        self._mesh.send(peer, CONSENSUS_CHANNEL, data)


@attrs.frozen
class ProposalError:
    """Failure of a proposal: the command has no reply."""

    may_be_committed: bool
    """Whether the command may be committed nevertheless."""
    detail: str
    """Kind of the log's error."""


class LedgerReplica:
    """A replicated log and the ledger that applies its commands.

    Args:
        node: Replicated log.
        ledger: State machine of the log.
        wire: Parses documents.
        events: Event log.
    """

    def __init__(
        self,
        node: consensus.LogNode,
        ledger: jobs.Ledger,
        wire: _ports.WireProtocol,
        events: _event_log.EventLog,
    ) -> None:
        self.node = node
        self.ledger = ledger
        self._wire = wire
        self._events = events
        self._table: gateway.RouteTable | None = None

    @property
    def has_lease(self) -> bool:
        """Whether this store holds the lease, and so may act as the leader."""
        return self.node.lease_held()

    @property
    def table(self) -> gateway.RouteTable | None:
        """Routes of the committed document; None before the first."""
        number = self.ledger.document_number
        if number and (
            self._table is None or self._table.document.number != number
        ):
            document = self._wire.read_document(self.ledger.document)
            self._table = gateway.RouteTable(document)
            self._events.write("config.in_force", number=number)
        return self._table

    async def propose(
        self, command: jobs.Command
    ) -> result.Result[jobs.Reply, ProposalError]:
        """Commits a command and returns its reply."""
        replied = await self.node.propose(jobs.COMMAND_CODEC.encode(command))
        if isinstance(replied, result.Success):
            return result.Success(jobs.REPLY_CODEC.decode(replied.unwrap()))
        error = replied.failure()
        self._events.write(
            "log.proposal_failed",
            command=type(command).__name__,
            why=error.kind.value,
            may_be_committed=error.maybe_committed,
        )
        return result.Failure(
            ProposalError(error.maybe_committed, error.kind.value)
        )


def build_log(
    settings: _settings.StoreSettings, node: _node.Node, ledger: jobs.Ledger
) -> consensus.LogNode:
    """Returns the log of a store, connected to the mesh but not started.

    Args:
        settings: Settings of the store.
        node: Clocks, mesh and clients of the process.
        ledger: Applies the committed commands.
    """
    log = consensus.LogNode(
        consensus.NodeConfig(
            node.instance,
            tuple(sorted(set(node.settings.seeds))),
            may_form=settings.may_form,
        ),
        consensus.FileDisk(settings.data_dir),
        ledger,
        MeshTransport(node.mesh, node.client.register_address),
        node.clock,
        node.rng,
        node.recorder,
    )
    node.mesh.on_message(CONSENSUS_CHANNEL, log.handle_message)
    return log
