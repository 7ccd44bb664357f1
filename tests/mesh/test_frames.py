"""Tests of hostile, stale and crossed frames."""

import asyncio
import collections.abc
import logging
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from banyanbank_mesh import _frames
import hypothesis
from hypothesis import strategies
from returns import result
from twisted.internet import defer
import websockets.asyncio.client
import websockets.asyncio.server

from tests import support
from tests.mesh import support as mesh_support

A = mesh_support.A
B = mesh_support.B
KIND = mesh.CallErrorKind
TIME = base.HybridTime(1, 0)
MAY_HAVE_RUN = base.Outcome.MAY_HAVE_RUN

Reply = collections.abc.Callable[[_frames.Frame], list[_frames.Frame | bytes]]


def quiet_logger() -> logging.Logger:
    """Returns a logger without output; closed connections are expected."""
    logger = logging.getLogger("tests.mesh.fake_peer")
    logger.addHandler(logging.NullHandler())
    return logger


def bridge(
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
) -> defer.Deferred[typing.Any]:
    """Awaits an asyncio coroutine from a Twisted one."""
    return defer.Deferred.fromFuture(asyncio.ensure_future(coroutine))


class FakePeer:
    """A peer `b` that answers each frame as a test says."""

    def __init__(self, reply: Reply) -> None:
        self._reply = reply
        self.welcoming = asyncio.Event()
        self.welcoming.set()
        self.taken: list[_frames.Frame] = []

    async def start(self) -> int:
        self._server = await websockets.asyncio.server.serve(
            self._serve,
            "127.0.0.1",
            0,
            compression=None,
            logger=quiet_logger(),
        )
        return int(next(iter(self._server.sockets)).getsockname()[1])

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    async def _serve(
        self, conn: websockets.asyncio.server.ServerConnection
    ) -> None:
        async for data in conn:
            frame = _frames.decode(data)
            if isinstance(frame, _frames.Hello):
                await self.welcoming.wait()
                replies: list[_frames.Frame | bytes] = [_frames.Welcome(B, 7)]
            else:
                self.taken.append(frame)
                replies = self._reply(frame)
            for answer in replies:
                await conn.send(to_wire(answer))


class FramesCase(mesh_support.MeshCase):
    """Base of cases where mesh `a` meets a fake peer `b`."""

    def against(
        self,
        reply: Reply,
        case: collections.abc.Callable[
            [mesh.Mesh, FakePeer],
            collections.abc.Coroutine[defer.Deferred[object], object, None],
        ],
    ) -> None:
        """Runs a case against a fake peer."""

        async def main() -> None:
            peer = FakePeer(reply)
            port = await bridge(peer.start())
            a = await self.start_mesh(A)
            a.set_peer(B, "127.0.0.1", port)
            try:
                await case(a, peer)
            finally:
                await a.stop()
                await bridge(peer.stop())

        support.run_async(main)


class CrossedAnswerTest(FramesCase):
    """An answer counts only for its own call in its own life."""

    def test_stale_and_unknown_answers_are_dropped(self) -> None:
        def reply(frame: _frames.Frame) -> list[_frames.Frame | bytes]:
            assert isinstance(frame, _frames.Call)
            return [
                _frames.Answer(frame.id, 0, b"earlier life", TIME),
                _frames.Answer(frame.id + 9, 1, b"other call", TIME),
                _frames.Answer(frame.id, 1, b"right", TIME),
                _frames.Answer(frame.id, 1, b"again", TIME),
            ]

        async def case(a: mesh.Mesh, peer: FakePeer) -> None:
            for _ in range(3):
                answer = await a.call(B, "m", b"", self.soon())
                self.assertEqual(answer, result.Success(b"right"))

        self.against(reply, case)

    def test_answer_over_another_connection(self) -> None:
        async def case(a: mesh.Mesh, peer: FakePeer) -> None:
            call = a.call(B, "m", b"", self.soon())
            await support.until(lambda: peer.taken)
            hello = _frames.Hello(1, "c", 1, "a", _frames.Lane.CALLS)
            forged = _frames.Answer(1, 1, b"forged", TIME)
            frames = [hello, forged, "end"]
            await bridge(send_until_closed(a.port, frames))
            self.assertFalse(call.called)
            call.cancel()

        self.against(lambda frame: [], case)

    def test_expired_call_is_not_sent_later(self) -> None:
        def reply(frame: _frames.Frame) -> list[_frames.Frame | bytes]:
            assert isinstance(frame, _frames.Call)
            return [_frames.Answer(frame.id, 1, frame.data, TIME)]

        async def case(a: mesh.Mesh, peer: FakePeer) -> None:
            peer.welcoming.clear()
            late = a.call(B, "m", b"late", self.clock.now() + 0.05)
            kept = a.call(B, "m", b"kept", self.soon())
            self.expect_error(await late, KIND.DEADLINE, base.Outcome.NOT_RUN)
            peer.welcoming.set()
            self.assertEqual(await kept, result.Success(b"kept"))
            self.assertEqual(len(peer.taken), 1)

        self.against(reply, case)

    def test_far_clock_is_not_taken_in(self) -> None:
        far = base.HybridTime(1 << 62, 1 << 40)

        def reply(frame: _frames.Frame) -> list[_frames.Frame | bytes]:
            assert isinstance(frame, _frames.Call)
            return [_frames.Answer(frame.id, 1, b"", far)]

        async def case(a: mesh.Mesh, peer: FakePeer) -> None:
            await a.call(B, "m", b"", self.soon())
            await a.call(B, "m", b"", self.soon())
            stamp = peer.taken[-1]
            assert isinstance(stamp, _frames.Call)
            self.assertLess(stamp.time.wall_us, 1 << 61)

        self.against(reply, case)


class BadStreamTest(FramesCase):
    """A stream whose frames do not fit together fails."""

    def test_protocol_errors(self) -> None:
        cases: tuple[tuple[str, list[tuple[type, dict[str, object]]]], ...] = (
            ("short", [(_frames.End, {"length": 5})]),
            ("gap", [(_frames.Chunk, {"offset": 3, "data": b"x"})]),
            (
                "doubled",
                [(_frames.Chunk, {"offset": 0, "data": b"x"})] * 2,
            ),
            (
                "flood",
                [(_frames.Chunk, {"offset": 0, "data": b"x" * (1 << 19)})],
            ),
            ("answer", [(_frames.Answer, {"data": b"", "time": TIME})]),
        )
        for name, script in cases:
            with self.subTest(name=name):
                self.against(
                    lambda frame, script=script: [
                        kind(id=frame.id, incarnation=1, **fields)
                        for kind, fields in script
                        if isinstance(frame, _frames.Open)
                    ],
                    self.expect_protocol_error,
                )

    async def expect_protocol_error(self, a: mesh.Mesh, peer: FakePeer) -> None:
        stream = a.open_stream(B, "s", b"", self.soon())
        while isinstance(read := await stream.read(), result.Success):
            self.assertIsNotNone(read.unwrap())
        self.expect_error(read, KIND.PROTOCOL, MAY_HAVE_RUN)


class UndecodableTest(FramesCase):
    """What is no frame ends the connection, and only that."""

    def test_undecodable_answer(self) -> None:
        for data in (b"", b"\xff", b"\x9f" * 100, b"\xa1c_tgNothing"):
            with self.subTest(data=data[:9]):
                self.against(
                    lambda frame, data=data: [data], self.expect_disconnect
                )

    async def expect_disconnect(self, a: mesh.Mesh, peer: FakePeer) -> None:
        failed = await a.call(B, "m", b"", self.soon())
        self.expect_error(failed, KIND.DISCONNECTED, MAY_HAVE_RUN)

    def test_hostile_clients(self) -> None:
        hello = _frames.Hello(1, "x", 1, "b", _frames.Lane.CALLS)
        cases: tuple[tuple[str, list[_frames.Frame | bytes | str]], ...] = (
            ("text", ["hello"]),
            ("no hello", [_frames.Welcome("x", 1)]),
            ("version", [attrs.evolve(hello, version=9)]),
            ("long name", [attrs.evolve(hello, instance="x" * 10**6)]),
            ("target", [attrs.evolve(hello, target="c")]),
            ("oversize", [hello, b"x" * (mesh.MAX_FRAME_BYTES + 1)]),
            ("late text", [hello, "text"]),
            ("deep", [hello, b"\x81" * 100_000]),
            ("huge length", [hello, b"\x5b\xff\xff\xff\xff\xff\xff\xff\xff"]),
        )

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("echo", echo)
            for name, frames in cases:
                with self.subTest(name=name):
                    code = await bridge(send_until_closed(b.port, frames))
                    self.assertIn(code, (1009, 4000, 4002))
            answer = await a.call(B, "echo", b"x", self.soon())
            self.assertEqual(answer, result.Success(b"x"))

        self.run_case(case)


class FuzzTest(unittest.TestCase):
    """Any bytes decode to a frame or a codec error."""

    @hypothesis.settings(derandomize=True, max_examples=500, database=None)
    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_bytes(self, data: bytes) -> None:
        self.decode(data)

    @hypothesis.settings(derandomize=True, max_examples=500, database=None)
    @hypothesis.given(
        strategies.integers(0, 10_000),
        strategies.integers(0, 255),
        strategies.integers(0, 200),
    )
    def test_damaged_frames(self, at: int, value: int, cut: int) -> None:
        frame = _frames.Open(1, 2, "method", b"data", 9, TIME)
        data = bytearray(_frames.FRAME_CODEC.encode(frame))
        data[at % len(data)] = value
        self.decode(bytes(data[: len(data) - cut % 50]))

    def decode(self, data: bytes) -> None:
        try:
            frame = _frames.decode(data)
        except base.CodecError as exc:
            self.assertTrue(str(exc))
        else:
            encoded = _frames.FRAME_CODEC.encode(frame)
            self.assertEqual(_frames.decode(encoded), frame)


def to_wire(frame: _frames.Frame | bytes | str) -> bytes | str:
    """Encodes frames; bytes and text stay as they are."""
    if isinstance(frame, bytes | str):
        return frame
    return _frames.FRAME_CODEC.encode(frame)


async def echo(sender: base.InstanceId, data: bytes) -> bytes:
    return data


async def send_until_closed(
    port: int, frames: list[_frames.Frame | bytes | str]
) -> int:
    """Sends frames as a client and returns the server's close code."""
    conn = await websockets.asyncio.client.connect(
        f"ws://127.0.0.1:{port}/", compression=None, proxy=None
    )
    for frame in frames:
        await conn.send(to_wire(frame))
    await conn.wait_closed()
    return int(conn.close_code or 0)
