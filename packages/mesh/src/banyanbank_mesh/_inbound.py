"""Calls and streams that peers have started at this instance."""

import collections.abc

import attrs
import banyanbank_base as base
from twisted import logger
from twisted.internet import defer

from banyanbank_mesh import _errors
from banyanbank_mesh import _frames
from banyanbank_mesh import _link
from banyanbank_mesh import _writer

MAX_RUNNING = 4096
"""Calls and streams of peers that may run at once."""

MAX_RUNNING_BYTES = 64 * 1024 * 1024
"""Bytes of their requests that may be held at once."""

_LOGGER = logger.Logger()

MessageHandler = collections.abc.Callable[[base.InstanceId, bytes], None]
"""Takes the sender and a message."""

CallHandler = collections.abc.Callable[
    [base.InstanceId, bytes],
    collections.abc.Coroutine[defer.Deferred[object], object, bytes],
]
"""Takes the sender and a request; returns the answer."""


StreamHandler = collections.abc.Callable[
    [base.InstanceId, bytes, _writer.StreamWriter],
    collections.abc.Coroutine[defer.Deferred[object], object, None],
]
"""Takes the sender, a request and the writer of its answer."""


@attrs.define(eq=False)
class _Running:
    """One call or stream of a peer."""

    link: _link.Link
    """Where it came from."""
    id: int
    """Its correlation id."""
    incarnation: int
    """Life of the caller."""
    size: int
    """Bytes of the request."""
    writer: _writer.StreamWriter | None = None
    """Writer of a stream; None for a call."""
    task: defer.Deferred[None] | None = None
    """The handler; None until it has started."""


class Inbound:
    """Table of handlers and of what they are doing.

    Args:
        recorder: Time line.
        hybrid_clock: Stamps frames.
    """

    def __init__(
        self, recorder: base.Recorder, hybrid_clock: base.HybridClock
    ) -> None:
        self._recorder = recorder
        self._hybrid_clock = hybrid_clock
        self._messages: dict[str, MessageHandler] = {}
        self._calls: dict[str, CallHandler] = {}
        self._streams: dict[str, StreamHandler] = {}
        self._running: dict[tuple[_link.Link, int], _Running] = {}
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._running)

    def on_message(self, channel: str, handler: MessageHandler) -> None:
        """Sets the handler of a channel."""
        self._messages[channel] = handler

    def on_call(self, method: str, handler: CallHandler) -> None:
        """Sets the handler of a method that gives one answer."""
        self._calls[method] = handler

    def on_stream(self, method: str, handler: StreamHandler) -> None:
        """Sets the handler of a method that answers in chunks."""
        self._streams[method] = handler

    def message_received(
        self, link: _link.Link, frame: _frames.Message
    ) -> None:
        """Hands a message to its handler."""
        handler = self._messages.get(frame.channel)
        if handler is None:
            self._recorder.record(
                "mesh.message_unhandled",
                detail=f"peer={link.peer} channel={frame.channel[:40]}",
            )
            return
        try:
            handler(link.peer, frame.data)
        except Exception as exc:
            self._handler_failed(link, frame.channel, exc)

    def call_received(self, link: _link.Link, frame: _frames.Call) -> None:
        """Starts the handler of a call."""
        handler = self._calls.get(frame.method)
        if handler is None:
            self._refuse(link, frame, _errors.CallErrorKind.NO_METHOD)
            return
        running = self._admit(link, frame)
        if running is None:
            return
        answer = self._run_call(running, handler, frame)
        running.task = defer.ensureDeferred(answer)

    def open_received(self, link: _link.Link, frame: _frames.Open) -> None:
        """Starts the handler of a stream."""
        handler = self._streams.get(frame.method)
        if handler is None:
            self._refuse(link, frame, _errors.CallErrorKind.NO_METHOD)
            return
        running = self._admit(link, frame)
        if running is None:
            return
        running.writer = _writer.StreamWriter(link, frame)
        answer = self._run_stream(running, running.writer, handler, frame)
        running.task = defer.ensureDeferred(answer)

    def credit_received(self, link: _link.Link, frame: _frames.Credit) -> None:
        """Gives credit to a stream."""
        running = self._running.get((link, frame.id))
        if running is not None and running.writer is not None:
            running.writer.credit_received(frame.size)

    def cancel_received(self, link: _link.Link, frame: _frames.Cancel) -> None:
        """Ends a stream that its reader wants no more of."""
        running = self._running.get((link, frame.id))
        if running is not None:
            self._cancel(running)

    def link_closed(self, link: _link.Link) -> None:
        """Ends the streams of a link; its calls run on unheard."""
        for running in list(self._running.values()):
            if running.link is link:
                self._cancel(running)

    def stop(self) -> None:
        """Ends all streams and calls."""
        for running in list(self._running.values()):
            self._cancel(running)
            if running.task is not None:
                running.task.cancel()

    def _admit(
        self, link: _link.Link, frame: _frames.Call | _frames.Open
    ) -> _Running | None:
        key = (link, frame.id)
        if key in self._running:
            self._refuse(link, frame, _errors.CallErrorKind.PROTOCOL)
            return None
        size = len(frame.data)
        if (
            len(self._running) >= MAX_RUNNING
            or self._bytes + size > MAX_RUNNING_BYTES
        ):
            self._refuse(link, frame, _errors.CallErrorKind.OVERLOADED)
            return None
        running = _Running(link, frame.id, frame.incarnation, size)
        self._running[key] = running
        self._bytes += size
        return running

    async def _run_call(
        self, running: _Running, handler: CallHandler, frame: _frames.Call
    ) -> None:
        try:
            data = await handler(running.link.peer, frame.data)
        except Exception as exc:
            self._fail(running, frame.method, exc)
            return
        finally:
            self._forget(running)
        answer = _frames.Answer(
            frame.id, frame.incarnation, data, self._hybrid_clock.tick()
        )
        await self._send_answer(running, answer)

    async def _send_answer(
        self, running: _Running, answer: _frames.Answer
    ) -> None:
        encoded = _frames.FRAME_CODEC.encode(answer)
        if len(encoded) > _frames.MAX_FRAME_BYTES:
            self._send_failure(
                running,
                _errors.CallErrorKind.TOO_LARGE,
                base.Outcome.RAN,
                f"The answer has {len(answer.data)} bytes; use a stream.",
            )
            return
        try:
            await _writer.send_encoded_when_room(running.link, encoded)
        except _errors.StreamClosedError:
            return  # The caller's end has failed the call by itself.

    async def _run_stream(
        self,
        running: _Running,
        writer: _writer.StreamWriter,
        handler: StreamHandler,
        frame: _frames.Open,
    ) -> None:
        try:
            await handler(running.link.peer, frame.data, writer)
        except Exception as exc:
            self._fail(running, frame.method, exc)
            return
        finally:
            self._forget(running)
        if not writer.closed:
            end = _frames.End(frame.id, frame.incarnation, writer.written)
            _writer.send_control(running.link, end)

    def _forget(self, running: _Running) -> None:
        if self._running.pop((running.link, running.id), None) is not None:
            self._bytes -= running.size

    def _cancel(self, running: _Running) -> None:
        if running.writer is None:
            return
        running.writer.close()
        if running.task is not None:
            running.task.cancel()

    def _fail(self, running: _Running, method: str, exc: Exception) -> None:
        if isinstance(exc, _errors.HandlerRefusalError):
            self._send_failure(
                running,
                _errors.CallErrorKind.REFUSED,
                exc.outcome,
                exc.detail,
            )
            return
        if running.writer is not None and running.writer.closed:
            return
        if isinstance(exc, defer.CancelledError):
            self._send_failure(
                running,
                _errors.CallErrorKind.STOPPED,
                base.Outcome.MAY_HAVE_RUN,
                "The instance stopped while the handler ran.",
            )
            return
        self._handler_failed(running.link, method, exc)
        self._send_failure(
            running,
            _errors.CallErrorKind.HANDLER_FAILED,
            base.Outcome.MAY_HAVE_RUN,
            f"The handler of {method!r} raised {type(exc).__name__}.",
        )

    def _handler_failed(
        self, link: _link.Link, name: str, exc: Exception
    ) -> None:
        self._recorder.record(
            "mesh.handler_failed",
            detail=f"peer={link.peer} name={name[:40]} "
            f"error={type(exc).__name__}",
        )
        _LOGGER.error(
            "Handler of {name} failed: {error!r}", name=name, error=exc
        )

    def _refuse(
        self,
        link: _link.Link,
        frame: _frames.Call | _frames.Open,
        kind: _errors.CallErrorKind,
    ) -> None:
        refused = _Running(link, frame.id, frame.incarnation, 0)
        self._send_failure(
            refused,
            kind,
            base.Outcome.NOT_RUN,
            f"Refused {frame.method[:40]!r} before handling: {kind.value}.",
        )

    def _send_failure(
        self,
        running: _Running,
        kind: _errors.CallErrorKind,
        outcome: base.Outcome,
        detail: str,
    ) -> None:
        frame = _frames.Failure(
            running.id, running.incarnation, kind.value, outcome, detail[:500]
        )
        _writer.send_control(running.link, frame)
