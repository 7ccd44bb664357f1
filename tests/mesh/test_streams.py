"""Tests of streams between instances."""

import random

import banyanbank_base as base
import banyanbank_mesh as mesh
from banyanbank_mesh import _stream
from returns import result
from twisted.internet import defer

from tests import support
from tests.mesh import support as mesh_support

B = mesh_support.B
KIND = mesh.CallErrorKind
MAY_HAVE_RUN = base.Outcome.MAY_HAVE_RUN
WINDOW = _stream.STREAM_WINDOW_BYTES


async def read_all(stream: mesh.Stream) -> result.Result[bytes, mesh.CallError]:
    """Reads a stream to its end or failure."""
    data = b""
    while True:
        chunk = await stream.read()
        if isinstance(chunk, result.Failure):
            return chunk
        if chunk.unwrap() is None:
            return result.Success(data)
        data += chunk.unwrap()


class Sender:
    """A handler that writes given bytes and notes how it ended."""

    def __init__(self, body: bytes, *, end: bool = True) -> None:
        self.body = body
        self.end = end
        self.writers: list[mesh.StreamWriter] = []
        self.errors: list[type[Exception]] = []

    async def handle(
        self, sender: base.InstanceId, data: bytes, writer: mesh.StreamWriter
    ) -> None:
        self.writers.append(writer)
        try:
            await writer.write(self.body)
            if not self.end:
                await defer.Deferred()
        except Exception as exc:
            self.errors.append(type(exc))
            raise


class StreamTest(mesh_support.MeshCase):
    """A stream arrives whole and in order, or fails."""

    def test_whole_bodies(self) -> None:
        rng = random.Random(3)

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            sizes = (0, 1, WINDOW, 5 * WINDOW + 17)
            bodies = [rng.randbytes(size) for size in sizes]
            streams = []
            for number, body in enumerate(bodies):
                b.on_stream(str(number), Sender(body).handle)
                streams.append(a.open_stream(B, str(number), b"", self.soon()))
            for stream, body in zip(streams, bodies, strict=True):
                self.assertEqual(await read_all(stream), result.Success(body))
                self.assertEqual(await stream.read(), result.Success(None))
            self.assertEqual((a.calls_under_way, b.calls_running), (0, 0))

        self.run_case(case)

    def test_slow_reader_bounds_memory(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            sender = Sender(b"x" * (4 * WINDOW))
            b.on_stream("s", sender.handle)
            b.on_call("echo", echo)
            stream = a.open_stream(B, "s", b"", self.soon())
            await support.until(lambda: stream.buffered_bytes == WINDOW)
            # The full window neither grows nor holds up other calls.
            answer = await a.call(B, "echo", b"x", self.soon())
            self.assertEqual(answer, result.Success(b"x"))
            self.assertEqual(sender.writers[0].written, WINDOW)
            body = (await read_all(stream)).unwrap()
            self.assertEqual(len(body), 4 * WINDOW)

        self.run_case(case)

    def test_cancel_by_reader(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            for body in (b"x", b"x" * (2 * WINDOW)):
                sender = Sender(body, end=False)
                b.on_stream("s", sender.handle)
                stream = a.open_stream(B, "s", b"", self.soon())
                await stream.read()
                stream.cancel()
                failed = await stream.read()
                self.expect_error(failed, KIND.CANCELLED, MAY_HAVE_RUN)
                await support.until(lambda sender=sender: sender.errors)
                self.assertEqual((a.calls_under_way, b.calls_running), (0, 0))

        self.run_case(case)

    def test_broken_connection_is_no_end(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_stream("s", Sender(b"part", end=False).handle)
            stream = a.open_stream(B, "s", b"", self.soon())
            await support.until(lambda: stream.buffered_bytes)
            await b.stop()
            self.assertEqual(await stream.read(), result.Success(b"part"))
            failed = await stream.read()
            self.expect_error(failed, KIND.DISCONNECTED, MAY_HAVE_RUN)

        self.run_case(case)

    def test_reader_gone_ends_handler(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            sender = Sender(b"part", end=False)
            b.on_stream("s", sender.handle)
            stream = a.open_stream(B, "s", b"", self.soon())
            await stream.read()
            await a.stop()
            await support.until(lambda: sender.errors)
            self.assertTrue(sender.writers[0].closed)

        self.run_case(case)

    def test_deadline(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            sender = Sender(b"", end=False)
            b.on_stream("s", sender.handle)
            stream = a.open_stream(B, "s", b"", self.clock.now() + 0.2)
            failed = await stream.read()
            self.expect_error(failed, KIND.DEADLINE, MAY_HAVE_RUN)
            await support.until(lambda: sender.errors)

        self.run_case(case)

    def test_handler_errors(self) -> None:
        async def refuse(
            sender: base.InstanceId, data: bytes, writer: mesh.StreamWriter
        ) -> None:
            raise mesh.HandlerRefusalError(base.Outcome.NOT_RUN, "Busy.")

        async def crash(
            sender: base.InstanceId, data: bytes, writer: mesh.StreamWriter
        ) -> None:
            await writer.write(b"part")
            raise ZeroDivisionError

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_stream("refuse", refuse)
            b.on_stream("crash", crash)
            cases = (
                ("none", KIND.NO_METHOD, base.Outcome.NOT_RUN),
                ("refuse", KIND.REFUSED, base.Outcome.NOT_RUN),
                ("crash", KIND.HANDLER_FAILED, MAY_HAVE_RUN),
            )
            for method, kind, execution in cases:
                with self.subTest(method=method):
                    stream = a.open_stream(B, method, b"", self.soon())
                    failed = await read_all(stream)
                    self.expect_error(failed, kind, execution)

        self.run_case(case)


async def echo(sender: base.InstanceId, data: bytes) -> bytes:
    return data
