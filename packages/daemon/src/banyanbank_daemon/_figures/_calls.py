"""Asks all instances for their figures."""

import collections.abc

import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result

from banyanbank_daemon import _ask_all
from banyanbank_daemon._figures import _merge
from banyanbank_daemon._figures import _messages
from banyanbank_daemon._figures import _own

METHOD = "figures.read"


class FigureCalls:
    """Serves the figures of this instance and gathers those of all.

    Args:
        transport: Way to the other instances; its handler is registered.
        own: Figures of this instance.
    """

    def __init__(self, transport: mesh.Mesh, own: _own.OwnFigures) -> None:
        self._mesh = transport
        self._own = own
        transport.on_call(METHOD, self._serve)

    async def gather(
        self,
        peers: collections.abc.Iterable[base.InstanceId],
        deadline: float,
    ) -> _merge.Gathered:
        """Asks all instances at once.

        Args:
            peers: Instances to ask; this one is left out.
            deadline: Monotonic seconds after which an instance is missing.
        """
        answers = await _ask_all.ask_all(
            self._mesh.instance, peers, lambda peer: self._ask(peer, deadline)
        )
        found = [one for one in answers.values() if one is not None]
        missing = [peer for peer, one in answers.items() if one is None]
        return _merge.Gathered((self._own.read(), *found), tuple(missing))

    async def _ask(
        self, peer: base.InstanceId, deadline: float
    ) -> _messages.InstanceFigures | None:
        called = await self._mesh.call(peer, METHOD, b"", deadline)
        if isinstance(called, result.Failure):
            return None
        try:
            return _messages.CODEC.decode(called.unwrap())
        except base.CodecError:
            return None

    async def _serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        del sender, data
        return _messages.CODEC.encode(self._own.read())
