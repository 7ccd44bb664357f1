"""Asks the leader, wherever it is: over the mesh, or here."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result

from banyanbank_daemon import _control_plane

Q = typing.TypeVar("Q")
R = typing.TypeVar("R")

Here = typing.Callable[[Q], typing.Awaitable[R]]
"""Answers a request in this process."""


@attrs.frozen
class LeaderCallError:
    """No answer came."""

    target: base.InstanceId
    """Instance that was asked."""
    is_here: bool
    """Whether that is this one, which keeps no log."""
    detail: str
    """What happened."""


@attrs.frozen
class LeaderAnswer(typing.Generic[R]):
    """An answer, which may be that the instance asked does not lead."""

    target: base.InstanceId
    """Instance that answered."""
    is_here: bool
    """Whether that is this one."""
    reply: R
    """What it said."""


class LeaderCall(typing.Generic[Q, R]):
    """One kind of question to the leader.

    Args:
        clock: Clock of deadlines.
        transport: Mesh of this instance.
        plane: Knows the leader.
        method: Name of the call.
        request: Codec of the question.
        reply: Codec of the answer.
        limit_s: Seconds for the answer of another instance.
        here: Answers in this process; None on an instance without a log.
    """

    def __init__(
        self,
        clock: base.Clock,
        transport: mesh.Mesh,
        plane: _control_plane.ControlPlane,
        method: str,
        request: base.Codec[Q],
        reply: base.Codec[R],
        limit_s: float,
        here: Here[Q, R] | None,
    ) -> None:
        self._clock = clock
        self._mesh = transport
        self._plane = plane
        self._method = method
        self._request = request
        self._reply = reply
        self._limit_s = limit_s
        self._here = here

    async def ask(
        self, req: Q
    ) -> result.Result[LeaderAnswer[R], LeaderCallError]:
        """Asks the known leader, or the next voter when none is known."""
        target = self._plane.next_target()
        if target == self._mesh.instance:
            return await self._ask_here(target, req)
        called = await self._mesh.call(
            target,
            self._method,
            self._request.encode(req),
            self._clock.now() + self._limit_s,
        )
        if isinstance(called, result.Failure):
            detail = called.failure().detail
            return result.Failure(LeaderCallError(target, False, detail))
        reply = self._reply.decode(called.unwrap())
        return result.Success(LeaderAnswer(target, False, reply))

    async def _ask_here(
        self, target: base.InstanceId, req: Q
    ) -> result.Result[LeaderAnswer[R], LeaderCallError]:
        if self._here is None:
            detail = "This instance keeps no log."
            return result.Failure(LeaderCallError(target, True, detail))
        reply = await self._here(req)
        return result.Success(LeaderAnswer(target, True, reply))
