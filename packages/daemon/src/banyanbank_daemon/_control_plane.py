"""The way from any instance to the replicated log."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import task

PROPOSE_METHOD = "control.propose"
RETRY_S = 0.05
CALL_S = 2.0


@attrs.frozen
class ProposeAnswer:
    """Answer of a voter to a forwarded proposal."""

    reply: bytes | None
    """Encoded reply; None when the voter could not commit it."""
    leader: str
    """Leader that the voter knows; empty when it knows none."""


PROPOSE_CODEC: base.Codec[ProposeAnswer] = base.Codec(ProposeAnswer)


@attrs.frozen
class PlaneError:
    """A command got no reply before its deadline."""

    maybe_committed: bool
    """Whether it may be in force all the same, or come into force later."""
    detail: str
    """What was seen last."""


class ControlPlane:
    """Proposes commands at the leader, wherever it is.

    Every command carries its own request id or sequence number, so one that
    may have been committed is sent again without harm.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        transport: Mesh of this instance.
        instance: This instance.
        voters: Instances to ask first.
        node: The log here; None on an instance without a data folder.
        machine: State machine here; None where there is no log.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        transport: mesh.Mesh,
        instance: base.InstanceId,
        voters: tuple[base.InstanceId, ...],
        node: consensus.LogNode | None,
        machine: control.ControlMachine | None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = transport
        self._instance = instance
        self._voters = voters
        self._node = node
        self._machine = machine
        self._hint: base.InstanceId | None = None
        self._next_voter = 0
        transport.on_call(PROPOSE_METHOD, self._serve)

    @property
    def leader(self) -> base.InstanceId | None:
        """The leader, as far as known here."""
        if self._node is not None and self._node.leader is not None:
            return self._node.leader
        return self._hint

    def note_unreachable(self, instance: base.InstanceId) -> None:
        """Drops a leader hint that led nowhere."""
        if self._hint == instance:
            self._hint = None

    def next_target(self) -> base.InstanceId:
        """Returns whom to ask: the known leader, or the voters in turn."""
        leader = self.leader
        if leader is not None:
            return leader
        self._next_voter += 1
        return self._voters[self._next_voter % len(self._voters)]

    def note_leader(self, leader: str) -> None:
        """Takes in a hint from a voter; empty when it knows none."""
        self._hint = base.InstanceId(leader) if leader else None

    async def propose(
        self, command: control.Command, deadline: float
    ) -> result.Result[control.Reply, PlaneError]:
        """Commits a command and returns its reply.

        Args:
            command: What to commit.
            deadline: When to give up, on the monotonic clock.
        """
        payload = control.COMMAND_CODEC.encode(command)
        maybe_committed = False
        detail = "No leader was found."
        while self._clock.now() < deadline:
            target = self.next_target()
            tried = await self._try(target, payload, deadline)
            if isinstance(tried, result.Success):
                return result.Success(
                    control.REPLY_CODEC.decode(tried.unwrap())
                )
            error = tried.failure()
            maybe_committed = maybe_committed or error.maybe_committed
            detail = error.detail
            await task.deferLater(self._reactor, RETRY_S)
        return result.Failure(PlaneError(maybe_committed, detail))

    async def _try(
        self, target: base.InstanceId, payload: bytes, deadline: float
    ) -> result.Result[bytes, PlaneError]:
        if target == self._instance and self._node is not None:
            return await self._try_here(payload)
        limit = min(deadline, self._clock.now() + CALL_S)
        called = await self._mesh.call(target, PROPOSE_METHOD, payload, limit)
        if isinstance(called, result.Failure):
            error = called.failure()
            self.note_unreachable(target)
            maybe = error.outcome is not base.Outcome.NOT_RUN
            return result.Failure(PlaneError(maybe, error.detail))
        answer = PROPOSE_CODEC.decode(called.unwrap())
        if answer.reply is not None:
            self.note_leader(target)
            return result.Success(answer.reply)
        self.note_leader("" if answer.leader == target else answer.leader)
        return result.Failure(PlaneError(True, f"{target} is not the leader."))

    async def _try_here(
        self, payload: bytes
    ) -> result.Result[bytes, PlaneError]:
        assert self._node is not None
        proposed = await self._node.propose(self._compacted(payload))
        if isinstance(proposed, result.Success):
            return result.Success(proposed.unwrap())
        error = proposed.failure()
        return result.Failure(
            PlaneError(error.maybe_committed, error.kind.value)
        )

    def _compacted(self, payload: bytes) -> bytes:
        """Returns a whole sheet as its changes, once this instance leads."""
        if self._machine is None or not self.is_leading:
            return payload
        return control.derive_changes_payload(
            self._machine.state.config, payload
        )

    @property
    def is_leading(self) -> bool:
        """Whether this instance leads, as far as it knows."""
        return self._node is not None and self._node.is_leader

    async def _serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        del sender
        if self._node is None:
            return PROPOSE_CODEC.encode(ProposeAnswer(None, ""))
        proposed = await self._node.propose(self._compacted(data))
        if isinstance(proposed, result.Success):
            answer = ProposeAnswer(proposed.unwrap(), "")
        else:
            answer = ProposeAnswer(None, self._node.leader or "")
        return PROPOSE_CODEC.encode(answer)
