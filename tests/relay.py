"""A relay that delays and cuts what passes between two addresses."""

import collections
import typing

import attrs
from twisted.internet import endpoints
from twisted.internet import protocol

LOOPBACK = "127.0.0.1"
FIRST_DIAL_PAUSE_S = 1.0
"""Pause before the first packet of a connection is sent again."""
FIRST_PAUSE_S = 0.2
"""Pause before another packet is first sent again."""


@attrs.define(eq=False)
class Way:
    """One direction from one source to one target.

    What a cut way holds back is delivered when it heals, as retransmission
    would; nobody is told of the cut.
    """

    delay_s: float = 0.0
    """Seconds that everything takes, one way."""
    is_cut: bool = False
    """Whether nothing passes."""
    pipes: "set[_Pipe]" = attrs.field(factory=set)
    """Open pipes that follow this way."""

    def cut(self) -> None:
        """Holds everything back from now on."""
        self.is_cut = True

    def heal(self) -> None:
        """Delivers what was held back, and passes on again."""
        self.is_cut = False
        for pipe in list(self.pipes):
            pipe.flush()

    def heal_resending(self) -> None:
        """Passes on again; what was held back waits for its next resending.

        As with TCP, the pauses before resendings double.
        """
        self.is_cut = False
        for pipe in list(self.pipes):
            pipe.await_resending()


class Ways(typing.Protocol):
    """Knows the two directions of a connection by who made it."""

    def ways_of(self, source: str) -> tuple[Way, Way]:
        """Returns the way to the target and the way back.

        Args:
            source: IP number that the connection came from.
        """
        ...


@attrs.define
class OneWays:
    """The same two directions for every source."""

    there: Way = attrs.field(factory=Way)
    """To the target."""
    back: Way = attrs.field(factory=Way)
    """From the target."""

    def ways_of(self, source: str) -> tuple[Way, Way]:
        del source
        return self.there, self.back


class Relay(protocol.ServerFactory):
    """Passes bytes on between those who connect and one target.

    Args:
        target: Port that bytes go to.
        ways: What happens to them on the way; None for nothing.
        target_host: IP number that bytes go to.
        host: IP number to listen at.
        port: Port to listen at; 0 lets the system choose.
    """

    noisy = False

    def __init__(
        self,
        target: int,
        ways: Ways | None = None,
        target_host: str = LOOPBACK,
        host: str = LOOPBACK,
        port: int = 0,
    ) -> None:
        self.target = target_host, target
        self.ways = ways or OneWays()
        self.host = host
        self.port = port
        self._open: list[tuple[_End, _End]] = []

    async def start(self) -> None:
        """Starts listening."""
        from twisted.internet import reactor

        self._listener = reactor.listenTCP(self.port, self, interface=self.host)
        self.port = self._listener.getHost().port

    async def stop(self) -> None:
        """Closes everything."""
        await self._listener.stopListening()
        self.reset()

    def reset(self) -> None:
        """Aborts all connections, so that both ends hear of it at once."""
        for near, far in self._open:
            near.abort()
            far.abort()
        self._open.clear()

    def freeze(self) -> None:
        """Passes nothing on any more, and keeps connections open."""
        for way in self.ways.ways_of(LOOPBACK):
            way.cut()

    def buildProtocol(self, addr: typing.Any) -> protocol.Protocol:  # noqa: N802
        there, back = self.ways.ways_of(addr.host)
        near, far = _End(), _End()
        near.out = _Pipe(there, far)
        far.out = _Pipe(back, near)
        self._open.append((near, far))
        near.out.put(lambda: self._dial(near, far))
        return near

    def _dial(self, near: "_End", far: "_End") -> None:
        from twisted.internet import reactor

        endpoint = endpoints.TCP4ClientEndpoint(reactor, *self.target)
        connecting = endpoints.connectProtocol(endpoint, far)
        connecting.addErrback(lambda _: near.abort())


def _now() -> float:
    from twisted.internet import reactor

    return float(reactor.seconds())


class _Pipe:
    """Carries out actions at the far end of a way, in order and in time."""

    def __init__(self, way: Way, to: "_End") -> None:
        self.way = way
        self.to = to
        self._held: collections.deque[typing.Callable[[], None]] = (
            collections.deque()
        )
        self._held_since = 0.0
        self._first_pause_s = FIRST_DIAL_PAUSE_S
        self._awaits_resending = False
        way.pipes.add(self)

    def put(self, action: typing.Callable[[], None]) -> None:
        """Lets an action happen when the way has been gone."""
        if not self._held:
            self._held_since = _now()
        self._held.append(action)
        if self.way.is_cut or self._awaits_resending:
            return
        if self.way.delay_s == 0.0:
            self.flush()
            return
        from twisted.internet import reactor

        reactor.callLater(self.way.delay_s, self._arrive)

    def flush(self) -> None:
        """Lets everything that is held back happen."""
        self._awaits_resending = False
        while self._held and not self.way.is_cut:
            self._first_pause_s = FIRST_PAUSE_S
            self._held.popleft()()

    def await_resending(self) -> None:
        """Lets everything that is held back happen when it is sent again."""
        if not self._held or self._awaits_resending:
            return
        from twisted.internet import reactor

        pause_s = self._first_pause_s
        resent_at = self._held_since + pause_s
        while resent_at < _now():
            pause_s *= 2
            resent_at += pause_s
        self._awaits_resending = True
        reactor.callLater(resent_at - _now(), self.flush)

    def _arrive(self) -> None:
        if self._held and not (self.way.is_cut or self._awaits_resending):
            self._first_pause_s = FIRST_PAUSE_S
            self._held.popleft()()


class _End(protocol.Protocol):
    """One of the two connections that a relay joins."""

    out: _Pipe

    def __init__(self) -> None:
        self._early = b""
        self._has_ended = False

    def connectionMade(self) -> None:  # noqa: N802
        # Small frames would wait for acknowledgements, 40 ms at times.
        self.transport.setTcpNoDelay(True)
        early, self._early = self._early, b""
        self.transport.write(early)
        if self._has_ended:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        to = self.out.to
        self.out.put(lambda: to.write(data))

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        to = self.out.to
        self.out.put(lambda: self._ended(to))

    def _ended(self, to: "_End") -> None:
        to.end()
        self.out.way.pipes.discard(self.out)

    def write(self, data: bytes) -> None:
        """Sends bytes on, or keeps them until the connection is made."""
        if self.transport is None:
            self._early += data
        else:
            self.transport.write(data)

    def end(self) -> None:
        """Closes the connection once all is written."""
        self._has_ended = True
        if self.transport is not None:
            self.transport.loseConnection()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._has_ended = True
        if self.transport is not None:
            self.transport.abortConnection()
