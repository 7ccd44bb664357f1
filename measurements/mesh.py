"""Measures the transport on loopback: `python -m measurements.mesh`.

Both ends run on one loop, so a figure holds the work of both.
"""

import asyncio
import collections.abc
import random
import resource
import statistics
import time
import typing

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from twisted.internet import defer
import websockets.asyncio.client
import websockets.asyncio.server

from tests import support

ROUNDS = 5_000
"""Round trips of one latency figure."""

LANES = 64
"""Calls that are under way at once in a throughput figure."""

STREAM_BYTES = 200 * 1024 * 1024
"""Length of the measured stream."""

IDLE_PEERS = 50
"""Peers of the idle figure, each with both lanes open."""

IDLE_S = 30.0
"""Length of the idle figure."""

PAYLOAD = b"x" * 200
"""Request and answer of a call."""


def bridge(
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
) -> defer.Deferred[typing.Any]:
    """Awaits an asyncio coroutine from a Twisted one."""
    return defer.Deferred.fromFuture(asyncio.ensure_future(coroutine))


async def start(name: str) -> mesh.Mesh:
    """Starts a mesh on loopback."""
    clock = base.SystemClock()
    instance = base.InstanceId(name)
    one = mesh.Mesh(
        instance,
        base.Incarnation(1),
        "127.0.0.1",
        0,
        clock=clock,
        recorder=base.MemoryRecorder(instance, clock),
        rng=random.Random(1),
    )
    await one.start()
    one.on_call("echo", echo)
    one.on_message("echo", lambda sender, data: one.send(sender, "back", data))
    one.on_stream("body", send_body)
    return one


async def echo(sender: base.InstanceId, data: bytes) -> bytes:
    return data


async def send_body(
    sender: base.InstanceId, data: bytes, writer: mesh.StreamWriter
) -> None:
    piece = b"x" * (64 * 1024)
    for _ in range(STREAM_BYTES // len(piece)):
        await writer.write(piece)


def show(name: str, times: list[float]) -> None:
    """Prints quantiles of times in microseconds."""
    ordered = sorted(times)
    p50 = statistics.median(ordered) * 1e6
    p99 = ordered[int(len(ordered) * 0.99)] * 1e6
    print(f"{name}: p50 {p50:.0f} us, p99 {p99:.0f} us")  # noqa: T201


async def time_rounds(
    one_round: collections.abc.Callable[[], defer.Deferred[typing.Any]],
) -> list[float]:
    """Returns the times of sequential round trips, in seconds."""
    times = []
    for _ in range(ROUNDS):
        before = time.perf_counter()
        await one_round()
        times.append(time.perf_counter() - before)
    return times


async def measure_calls(a: mesh.Mesh, b: mesh.Mesh) -> None:
    """Round trips one by one, then many at once."""

    def one_call() -> defer.Deferred[mesh.CallResult]:
        return a.call(b.instance, "echo", PAYLOAD, time.monotonic() + 60)

    show("call", await time_rounds(one_call))
    before = time.perf_counter()

    async def lane() -> None:
        for _ in range(ROUNDS * 4 // LANES):
            (await one_call()).unwrap()

    lanes = [defer.ensureDeferred(lane()) for _ in range(LANES)]
    await defer.gatherResults(lanes)
    rate = LANES * (ROUNDS * 4 // LANES) / (time.perf_counter() - before)
    print(f"calls, {LANES} under way: {rate:.0f}/s")  # noqa: T201


async def measure_messages(a: mesh.Mesh, b: mesh.Mesh, name: str) -> None:
    """Round trips of messages, one by one."""
    waiting: list[defer.Deferred[None]] = []
    a.on_message("back", lambda sender, data: waiting.pop().callback(None))

    def one_message() -> defer.Deferred[None]:
        back: defer.Deferred[None] = defer.Deferred()
        waiting.append(back)
        a.send(b.instance, "echo", PAYLOAD)
        return back

    show(name, await time_rounds(one_message))


async def read_stream(a: mesh.Mesh, b: mesh.Mesh) -> float:
    """Reads the long stream and returns its seconds."""
    before = time.perf_counter()
    stream = a.open_stream(b.instance, "body", b"", time.monotonic() + 600)
    while (await stream.read()).unwrap() is not None:
        pass
    assert stream.received_bytes == STREAM_BYTES
    return time.perf_counter() - before


async def measure_streams(a: mesh.Mesh, b: mesh.Mesh) -> None:
    """Throughput of a stream, alone and beside messages."""
    seconds = await read_stream(a, b)
    rate = STREAM_BYTES / seconds / 1e6
    print(f"stream: {rate:.0f} MB/s")  # noqa: T201
    running = defer.ensureDeferred(read_stream(a, b))
    await measure_messages(a, b, "message beside a stream")
    await running


async def measure_websocket() -> None:
    """Round trips of a bare websocket, to compare with."""

    async def serve(conn: websockets.asyncio.server.ServerConnection) -> None:
        async for data in conn:
            await conn.send(data)

    async def run() -> list[float]:
        async with websockets.asyncio.server.serve(
            serve, "127.0.0.1", 0, compression=None
        ) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            async with websockets.asyncio.client.connect(
                f"ws://127.0.0.1:{port}/", compression=None, proxy=None
            ) as conn:
                times = []
                for _ in range(ROUNDS):
                    before = time.perf_counter()
                    await conn.send(PAYLOAD)
                    await conn.recv()
                    times.append(time.perf_counter() - before)
                return times

    show("bare websocket", await bridge(run()))


@attrs.define
class Relay:
    """Passes bytes on and counts them."""

    target: int
    """Port that bytes go to."""
    counted: int = 0
    """Bytes both ways."""

    async def listen(self) -> int:
        """Starts and returns its own port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self.target
        )
        await asyncio.gather(
            self.copy(reader, far_writer), self.copy(far_reader, writer)
        )

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.counted += len(data)
            writer.write(data)
        writer.close()


async def measure_idle() -> None:
    """Bytes and processor time of links that carry nothing."""
    hub = await start("hub")
    relay = Relay(hub.port)
    port = await bridge(relay.listen())
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    peers = [await start(f"p{number}") for number in range(IDLE_PEERS)]
    for peer in peers:
        peer.set_peer(hub.instance, "127.0.0.1", port)
        peer.send(hub.instance, "nothing", b"")
        await peer.call(hub.instance, "echo", b"", time.monotonic() + 10)
    grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    print(f"memory: {grown / IDLE_PEERS:.0f} KB a peer")  # noqa: T201
    counted, cpu = relay.counted, time.process_time()
    await support.next_turn(IDLE_S)
    links = 2 * IDLE_PEERS
    rate = (relay.counted - counted) / IDLE_S / links
    share = (time.process_time() - cpu) / IDLE_S / links * 100
    print(  # noqa: T201
        f"idle: {rate:.1f} payload bytes/s and {share:.4f}% of a core a link, "
        "both ends and the relay"
    )
    for one in [hub, *peers]:
        await one.stop()


async def main() -> None:
    """Prints all figures."""
    a = await start("a")
    b = await start("b")
    a.set_peer(b.instance, "127.0.0.1", b.port)
    await measure_websocket()
    await measure_messages(a, b, "message there and back")
    await measure_calls(a, b)
    await measure_streams(a, b)
    await a.stop()
    await b.stop()
    await measure_idle()


if __name__ == "__main__":
    support.run_async(main, limit_s=600)
