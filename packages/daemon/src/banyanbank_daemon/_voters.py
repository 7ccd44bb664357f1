"""Changes of voters, asked for by operators and made by the leader."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_mesh as mesh
from returns import result

from banyanbank_daemon import _control_plane
from banyanbank_daemon import _leader_call

METHOD = "control.voters"
CALL_S = 10.0


@attrs.frozen
class VoterChange:
    """A change of one voter."""

    instance: str
    """The instance; a new voter must run with a data folder."""
    is_added: bool
    """Whether it is added; else it is removed."""


@attrs.frozen
class VoterAnswer:
    """What came of a change."""

    is_accepted: bool
    """Whether it is committed; a new voter votes once it has caught up."""
    detail: str
    """Why not; empty when it is."""


CHANGE_CODEC: base.Codec[VoterChange] = base.Codec(VoterChange)
ANSWER_CODEC: base.Codec[VoterAnswer] = base.Codec(VoterAnswer)


class VoterChanges:
    """Makes changes of voters at the leader, wherever it is.

    Args:
        clock: Clock of deadlines.
        transport: Mesh of this instance.
        plane: Knows the leader.
        node: The log here; None on an instance that keeps none.
    """

    def __init__(
        self,
        clock: base.Clock,
        transport: mesh.Mesh,
        plane: _control_plane.ControlPlane,
        node: consensus.LogNode | None,
    ) -> None:
        self._node = node
        self._leader = _leader_call.LeaderCall(
            clock,
            transport,
            plane,
            METHOD,
            CHANGE_CODEC,
            ANSWER_CODEC,
            CALL_S,
            self._change_here,
        )
        transport.on_call(METHOD, self._serve)

    async def change(self, change: VoterChange) -> VoterAnswer:
        """Asks the leader for a change."""
        asked = await self._leader.ask(change)
        if isinstance(asked, result.Failure):
            return VoterAnswer(False, asked.failure().detail)
        return asked.unwrap().reply

    async def _serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        del sender
        answer = await self._change_here(CHANGE_CODEC.decode(data))
        return ANSWER_CODEC.encode(answer)

    async def _change_here(self, change: VoterChange) -> VoterAnswer:
        if self._node is None:
            return VoterAnswer(False, "This instance keeps no log.")
        instance = base.InstanceId(change.instance)
        make = self._node.remove_voter
        if change.is_added:
            make = self._node.add_voter
        made: typing.Any = await make(instance)
        if isinstance(made, result.Success):
            return VoterAnswer(True, "")
        error = made.failure()
        return VoterAnswer(False, error.detail or error.kind.value)
