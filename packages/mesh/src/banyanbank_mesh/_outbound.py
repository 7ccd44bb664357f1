"""Calls and streams that this instance has started."""

import asyncio
import collections.abc
import itertools
import typing

import banyanbank_base as base
from returns import result
from twisted.internet import defer

from banyanbank_mesh import _connections
from banyanbank_mesh import _errors
from banyanbank_mesh import _frames
from banyanbank_mesh import _link
from banyanbank_mesh import _stream

CallResult = result.Result[bytes, _errors.CallError]
"""The whole answer, or why there is none."""

Submit = collections.abc.Callable[
    [base.InstanceId, _link.Outgoing], _connections.Submission
]
"""Queues a frame on the lane of calls."""


class _Exchange:
    """One call or stream under way."""

    def __init__(self, peer: base.InstanceId, item: _link.Outgoing) -> None:
        self.peer = peer
        self.item = item
        self.link: _link.Link | None = None
        self.timer: asyncio.TimerHandle | None = None

    @property
    def outcome(self) -> base.Outcome:
        """What may be believed when no answer came."""
        if self.item.left:
            return base.Outcome.MAY_HAVE_RUN
        return base.Outcome.NOT_RUN

    def fail(self, error: _errors.CallError) -> None:
        """Tells whoever waits that the exchange has failed."""
        raise NotImplementedError

    def take(self, frame: _frames.Frame) -> str:
        """Takes a frame of the peer; returns what is wrong with it."""
        raise NotImplementedError


class _PendingCall(_Exchange):
    """A call that waits for its answer."""

    def __init__(
        self,
        peer: base.InstanceId,
        item: _link.Outgoing,
        cancel: collections.abc.Callable[[], None],
    ) -> None:
        super().__init__(peer, item)
        self.answer: defer.Deferred[CallResult] = defer.Deferred(
            lambda _: cancel()
        )

    def fail(self, error: _errors.CallError) -> None:
        self.answer.callback(result.Failure(error))

    def take(self, frame: _frames.Frame) -> str:
        if not isinstance(frame, _frames.Answer):
            return f"{type(frame).__name__} for a call."
        self.answer.callback(result.Success(frame.data))
        return ""


class _PendingStream(_Exchange):
    """A stream that is not complete yet."""

    def __init__(
        self,
        peer: base.InstanceId,
        item: _link.Outgoing,
        stream: _stream.Stream,
    ) -> None:
        super().__init__(peer, item)
        self.stream = stream

    def fail(self, error: _errors.CallError) -> None:
        self.stream.fail(error)

    def take(self, frame: _frames.Frame) -> str:
        if isinstance(frame, _frames.Chunk):
            return self.stream.chunk_received(frame)
        if isinstance(frame, _frames.End):
            return self.stream.end_received(frame)
        return f"{type(frame).__name__} for a stream."


class Outbound:
    """Table of calls and streams under way.

    Args:
        incarnation: Life of this instance, echoed by answers.
        clock: Clock of the deadlines.
        hybrid_clock: Stamps frames.
        submit: Queues a frame on the lane of calls.
    """

    def __init__(
        self,
        incarnation: base.Incarnation,
        clock: base.Clock,
        hybrid_clock: base.HybridClock,
        submit: Submit,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._hybrid_clock = hybrid_clock
        self._submit = submit
        self._ids = itertools.count(1)
        self._exchanges: dict[int, _Exchange] = {}

    def __len__(self) -> int:
        return len(self._exchanges)

    def call(
        self, peer: base.InstanceId, method: str, data: bytes, deadline: float
    ) -> defer.Deferred[CallResult]:
        """Starts a call."""
        id_ = next(self._ids)
        frame = _frames.Call(
            id=id_,
            incarnation=self._incarnation,
            method=method,
            data=data,
            time=self._hybrid_clock.tick(),
        )
        item = _link.Outgoing(_frames.FRAME_CODEC.encode(frame))
        pending = _PendingCall(peer, item, lambda: self._cancel(id_))
        self._start(id_, pending, deadline)
        return pending.answer

    def open_stream(
        self, peer: base.InstanceId, method: str, data: bytes, deadline: float
    ) -> _stream.Stream:
        """Starts a stream."""
        id_ = next(self._ids)
        frame = _frames.Open(
            id=id_,
            incarnation=self._incarnation,
            method=method,
            data=data,
            credit=_stream.STREAM_WINDOW_BYTES,
            time=self._hybrid_clock.tick(),
        )
        controls = _stream.StreamControls(
            grant=lambda size: self._grant(id_, size),
            cancel=lambda: self._cancel(id_),
        )
        stream = _stream.Stream(controls)
        item = _link.Outgoing(_frames.FRAME_CODEC.encode(frame))
        self._start(id_, _PendingStream(peer, item, stream), deadline)
        return stream

    def take(self, link: _link.Link, frame: _frames.Frame) -> str:
        """Takes an answering frame.

        Returns:
            What is wrong with it; empty when nothing is, or when it is for an
            exchange that is over.
        """
        if not isinstance(
            frame,
            _frames.Answer | _frames.Failure | _frames.Chunk | _frames.End,
        ):
            return f"{type(frame).__name__} is no answer."
        if frame.incarnation != self._incarnation:
            return "The frame answers an earlier life of this instance."
        exchange = self._exchanges.get(frame.id)
        if exchange is None:
            return ""
        if exchange.link is not link:
            return f"Answer {frame.id} came over another connection."
        if not isinstance(frame, _frames.Chunk):
            # Firing a Deferred may come back here: leave the table first.
            self._finish(frame.id)
        if isinstance(frame, _frames.Failure):
            exchange.fail(_read_failure(frame))
            return ""
        wrong = exchange.take(frame)
        if wrong:
            self._finish(frame.id)
            exchange.fail(
                _errors.CallError(
                    _errors.CallErrorKind.PROTOCOL, exchange.outcome, wrong
                )
            )
        return wrong

    def connected(self, link: _link.Link) -> None:
        """Notes which link the waiting frames for a peer have moved to."""
        for exchange in self._exchanges.values():
            if exchange.link is None and exchange.peer == link.peer:
                exchange.link = link

    def dial_failed(self, peer: base.InstanceId, detail: str) -> None:
        """Fails what waited for a dial."""
        self._fail_where(
            lambda exchange: exchange.link is None and exchange.peer == peer,
            _errors.CallErrorKind.UNREACHABLE,
            f"No connection to {peer!r}: {detail}",
        )

    def link_closed(self, link: _link.Link) -> None:
        """Fails what was under way over a link."""
        self._fail_where(
            lambda exchange: exchange.link is link,
            _errors.CallErrorKind.DISCONNECTED,
            f"The connection to {link.peer!r} broke.",
        )

    def stop(self) -> None:
        """Fails everything under way."""
        self._fail_where(
            lambda exchange: True,
            _errors.CallErrorKind.STOPPED,
            "This instance stops.",
        )

    def _start(self, id_: int, exchange: _Exchange, deadline: float) -> None:
        delay = deadline - self._clock.now()
        if delay <= 0:
            self._reject(exchange, _errors.CallErrorKind.DEADLINE)
            return
        if len(exchange.item.data) > _frames.MAX_FRAME_BYTES:
            self._reject(exchange, _errors.CallErrorKind.TOO_LARGE)
            return
        submission = self._submit(exchange.peer, exchange.item)
        if not submission.accepted:
            kind = _errors.CallErrorKind.UNREACHABLE
            if submission.overloaded:
                kind = _errors.CallErrorKind.OVERLOADED
            self._reject(exchange, kind)
            return
        exchange.link = submission.link
        self._exchanges[id_] = exchange
        loop = asyncio.get_running_loop()
        exchange.timer = loop.call_later(delay, self._expire, id_)

    def _reject(self, exchange: _Exchange, kind: _errors.CallErrorKind) -> None:
        exchange.fail(
            _errors.CallError(
                kind,
                base.Outcome.NOT_RUN,
                f"Nothing was sent to {exchange.peer!r}: {kind.value}.",
            )
        )

    def _finish(self, id_: int) -> _Exchange | None:
        exchange = self._exchanges.pop(id_, None)
        if exchange is not None and exchange.timer is not None:
            exchange.timer.cancel()
        return exchange

    def _abandon(self, id_: int, kind: _errors.CallErrorKind) -> None:
        exchange = self._finish(id_)
        if exchange is None:
            return
        outcome = exchange.outcome
        exchange.item.withdrawn = True
        if exchange.item.left and isinstance(exchange, _PendingStream):
            self._tell(exchange, _frames.Cancel(id_, self._incarnation))
        exchange.fail(
            _errors.CallError(
                kind, outcome, f"No whole answer of {exchange.peer!r}."
            )
        )

    def _expire(self, id_: int) -> None:
        self._abandon(id_, _errors.CallErrorKind.DEADLINE)

    def _cancel(self, id_: int) -> None:
        self._abandon(id_, _errors.CallErrorKind.CANCELLED)

    def _grant(self, id_: int, size: int) -> None:
        exchange = self._exchanges.get(id_)
        if exchange is not None:
            credit = _frames.Credit(id_, self._incarnation, size)
            self._tell(exchange, credit)

    def _tell(self, exchange: _Exchange, frame: _frames.Frame) -> None:
        if exchange.link is not None:
            data = _frames.FRAME_CODEC.encode(frame)
            exchange.link.send_control(_link.Outgoing(data))

    def _fail_where(
        self,
        condition: typing.Callable[[_Exchange], bool],
        kind: _errors.CallErrorKind,
        detail: str,
    ) -> None:
        chosen = [
            id_
            for id_, exchange in self._exchanges.items()
            if condition(exchange)
        ]
        for id_ in chosen:
            exchange = self._finish(id_)
            if exchange is not None:
                exchange.item.withdrawn = True
                exchange.fail(_errors.CallError(kind, exchange.outcome, detail))


def _read_failure(frame: _frames.Failure) -> _errors.CallError:
    try:
        kind = _errors.CallErrorKind(frame.kind)
    except ValueError:
        kind = _errors.CallErrorKind.REFUSED
    return _errors.CallError(kind, frame.outcome, frame.detail)
