"""Tests of messages and calls between instances."""

import asyncio
import collections.abc
import contextlib
import socket
import time
import typing
import unittest
import unittest.mock

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from banyanbank_mesh import _link
from banyanbank_mesh import _peer
from banyanbank_mesh import _sockets
from returns import result
from twisted.internet import defer
import websockets.asyncio.connection

from tests import relay
from tests import support
from tests.mesh import support as mesh_support

A = mesh_support.A
B = mesh_support.B
KIND = mesh.CallErrorKind
NOT_RUN = base.Outcome.NOT_RUN
MAY_HAVE_RUN = base.Outcome.MAY_HAVE_RUN

IN_TOUCH_S = 3.0
"""Time after a restart by which an instance has to be reachable."""


@attrs.define
class _WaysBySource:
    """Two ways for each source that has connected."""

    known: dict[str, relay.OneWays]
    """By IP number."""

    def ways_of(self, source: str) -> tuple[relay.Way, relay.Way]:
        return self.known.setdefault(source, relay.OneWays()).ways_of(source)


def _stand_still_after(ping: typing.Any) -> typing.Any:
    """Lets the process stand still for longer than a probe, once pinged."""

    async def pinged(conn: typing.Any) -> typing.Any:
        pong = await ping(conn)
        time.sleep(2 * _link.PROBE_S)
        return pong

    return pinged


@contextlib.contextmanager
def _patch_times(
    ping_period_s: float,
    ping_limit_s: float = _sockets.PING_LIMIT_S,
    silence_s: float = _link.SILENCE_S,
    probe_s: float = _link.PROBE_S,
) -> collections.abc.Iterator[None]:
    """Replaces the times after which a silent link is given up."""
    with (
        unittest.mock.patch.object(_sockets, "PING_PERIOD_S", ping_period_s),
        unittest.mock.patch.object(_sockets, "PING_LIMIT_S", ping_limit_s),
        unittest.mock.patch.object(_link, "SILENCE_S", silence_s),
        unittest.mock.patch.object(_link, "PROBE_S", probe_s),
    ):
        yield


async def echo(sender: base.InstanceId, data: bytes) -> bytes:
    return sender.encode() + b":" + data


class CallTest(mesh_support.MeshCase):
    """A call gives its own whole answer or a typed error."""

    def test_answers_do_not_cross(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("echo", echo)
            a.on_call("echo", echo)
            calls = [
                one.call(other, "echo", b"%d" % i, self.soon())
                for i in range(50)
                for one, other in ((a, B), (b, A))
            ]
            answers = await defer.gatherResults(calls)
            expected = [
                result.Success(b"%s:%d" % (who, i))
                for i in range(50)
                for who in (b"a", b"b")
            ]
            self.assertEqual(answers, expected)
            self.assertEqual((a.calls_under_way, b.calls_running), (0, 0))

        self.run_case(case)

    def test_refused_before_handling(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            gone = base.InstanceId("gone")
            closed = base.InstanceId("closed")
            a.set_peer(closed, "127.0.0.1", 1)
            big = b"x" * (mesh.MAX_FRAME_BYTES + 1)
            cases = (
                (B, "none", b"", self.soon(), KIND.NO_METHOD),
                (gone, "none", b"", self.soon(), KIND.UNREACHABLE),
                (closed, "none", b"", self.soon(), KIND.UNREACHABLE),
                (B, "none", big, self.soon(), KIND.TOO_LARGE),
                (B, "none", b"", self.clock.now() - 1, KIND.DEADLINE),
            )
            for peer, method, data, deadline, kind in cases:
                with self.subTest(kind=kind, peer=peer):
                    answer = await a.call(peer, method, data, deadline)
                    self.expect_error(answer, kind, NOT_RUN)

        self.run_case(case)

    def test_handler_errors(self) -> None:
        async def refuse(sender: base.InstanceId, data: bytes) -> bytes:
            raise mesh.HandlerRefusalError(NOT_RUN, "The queue is full.")

        async def crash(sender: base.InstanceId, data: bytes) -> bytes:
            raise ZeroDivisionError

        async def too_big(sender: base.InstanceId, data: bytes) -> bytes:
            return b"x" * (mesh.MAX_FRAME_BYTES + 1)

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("refuse", refuse)
            b.on_call("crash", crash)
            b.on_call("big", too_big)
            cases = (
                ("refuse", KIND.REFUSED, NOT_RUN),
                ("crash", KIND.HANDLER_FAILED, MAY_HAVE_RUN),
                ("big", KIND.TOO_LARGE, base.Outcome.RAN),
            )
            for method, kind, execution in cases:
                with self.subTest(method=method):
                    answer = await a.call(B, method, b"", self.soon())
                    self.expect_error(answer, kind, execution)

        self.run_case(case)

    def test_no_answer(self) -> None:
        started: list[bytes] = []
        never: defer.Deferred[bytes] = defer.Deferred()

        async def hang(sender: base.InstanceId, data: bytes) -> bytes:
            started.append(data)
            return await never

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("hang", hang)
            late = await a.call(B, "hang", b"1", self.clock.now() + 0.2)
            self.expect_error(late, KIND.DEADLINE, MAY_HAVE_RUN)
            cut = a.call(B, "hang", b"2", self.soon())
            await support.until(lambda: len(started) == 2)
            await b.stop()
            self.expect_error(await cut, KIND.DISCONNECTED, MAY_HAVE_RUN)
            self.assertEqual(a.calls_under_way, 0)

        self.run_case(case)

    def test_cancel_by_caller(self) -> None:
        never: defer.Deferred[bytes] = defer.Deferred()

        async def hang(sender: base.InstanceId, data: bytes) -> bytes:
            return await never

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("hang", hang)
            call = a.call(B, "hang", b"", self.soon())
            call.cancel()
            self.expect_error(await call, KIND.CANCELLED, NOT_RUN)
            self.assertEqual(a.calls_under_way, 0)

        self.run_case(case)


class MessageTest(mesh_support.MeshCase):
    """Messages arrive in order and never block their sender."""

    def test_delivery(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            got: list[tuple[str, bytes]] = []
            b.on_message("log", lambda sender, data: got.append((sender, data)))
            for i in range(100):
                a.send(B, "log", b"%d" % i)
            await support.until(lambda: len(got) == 100)
            self.assertEqual(got, [("a", b"%d" % i) for i in range(100)])

        self.run_case(case)

    def test_flood_is_bounded(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            got: list[bytes] = []
            b.on_message("log", lambda sender, data: got.append(data))
            for i in range(20_000):
                a.send(B, "log", b"%d" % i)
            await support.until(lambda: b"19999" in got)
            self.assertLess(len(got), 20_000)

        self.run_case(case)

    def test_unknown_peer_is_ignored(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            a.send(base.InstanceId("gone"), "log", b"")
            self.assertEqual(a.connected_peers(), [])

        self.run_case(case)


class LifeTest(mesh_support.MeshCase):
    """Restarts, moves and mistaken addresses of peers."""

    async def _start_later_life(self, a: mesh.Mesh) -> mesh.Mesh:
        """Starts a later life of `b`, and lets `a` hear of it."""
        later = await self.start_mesh(B, incarnation=5)
        later.set_peer(A, "127.0.0.1", a.port)
        answer = await later.call(A, "echo", b"", self.soon())
        self.assertEqual(answer, result.Success(b"b:"))
        return later

    def test_restart_under_new_address(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("echo", echo)
            await a.call(B, "echo", b"", self.soon())
            await b.stop()
            again = await self.start_mesh(B, incarnation=2)
            again.on_call("echo", echo)
            a.set_peer(B, "127.0.0.1", again.port)
            answer = await a.call(B, "echo", b"x", self.soon())
            self.assertEqual(answer, result.Success(b"a:x"))

        self.run_case(case)

    def test_older_life_is_refused(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            a.on_call("echo", echo)
            later = await self.start_mesh(B, incarnation=5)
            self.introduce(a, later)
            self.assertEqual(
                await later.call(A, "echo", b"", self.soon()),
                result.Success(b"b:"),
            )
            answer = await b.call(A, "echo", b"", self.soon())
            self.expect_error(answer, KIND.UNREACHABLE, NOT_RUN)
            self.assertIn("older", answer.failure().detail)

        self.run_case(case)

    def test_later_life_ends_calls_to_the_older(self) -> None:
        never: defer.Deferred[bytes] = defer.Deferred()

        async def hang(sender: base.InstanceId, data: bytes) -> bytes:
            return await never

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            a.on_call("echo", echo)
            b.on_call("hang", hang)
            cut = a.call(B, "hang", b"", self.soon())
            await support.until(lambda: b.calls_running)
            await self._start_later_life(a)
            self.expect_error(await cut, KIND.DISCONNECTED, MAY_HAVE_RUN)

        self.run_case(case)

    def test_older_life_after_the_newer_has_gone(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            a.on_call("echo", echo)
            later = await self._start_later_life(a)
            await later.stop()
            answer = await b.call(A, "echo", b"", self.soon())
            self.expect_error(answer, KIND.UNREACHABLE, NOT_RUN)

        self.run_case(case)

    def test_restart_with_the_clock_set_back(self) -> None:
        """Guards against an instance that some peers shut out for a minute."""

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            a.on_call("echo", echo)
            later = await self._start_later_life(a)
            await later.stop()
            began_at = time.monotonic()
            while time.monotonic() < began_at + IN_TOUCH_S:
                answer = await b.call(A, "echo", b"x", self.soon())
                if isinstance(answer, result.Success):
                    return
                await support.next_turn(support.POLL_S)
            self.fail(f"still refused: {answer}")

        self.run_case(case)

    def test_restart_at_the_same_address(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("echo", echo)
            await a.call(B, "echo", b"", self.soon())
            await b.stop()
            failed = await a.call(B, "echo", b"", self.soon())
            self.assertIsInstance(failed, result.Failure)
            again = await self.start_mesh(B, incarnation=2, port=b.port)
            again.on_call("echo", echo)
            # Dials follow calls, after the delay of the failed one.
            while True:
                answer = await a.call(B, "echo", b"x", self.soon())
                if isinstance(answer, result.Success):
                    break
                self.expect_error(answer, KIND.UNREACHABLE, NOT_RUN)
                await support.next_turn(support.POLL_S)

        self.run_case(case)

    def test_silent_peer_is_disconnected(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("echo", echo)
            between = relay.Relay(b.port)
            await between.start()
            a.set_peer(B, "127.0.0.1", between.port)
            await a.call(B, "echo", b"", self.soon())
            between.freeze()
            cut = await a.call(B, "echo", b"", self.soon())
            self.expect_error(cut, KIND.DISCONNECTED, MAY_HAVE_RUN)
            late = await a.call(B, "echo", b"", self.clock.now() + 0.1)
            self.expect_error(late, KIND.DEADLINE, NOT_RUN)
            a.set_peer(B, "127.0.0.1", b.port)
            answer = await a.call(B, "echo", b"", self.soon())
            self.assertEqual(answer, result.Success(b"a:"))
            await between.stop()

        with _patch_times(0.05, ping_limit_s=0.1):
            self.run_case(case)

    def test_link_that_fell_silent_is_replaced(self) -> None:
        """New connections pass while the old one has gone silent for good."""

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            heard: defer.Deferred[bytes] = defer.Deferred()
            b.on_call("echo", echo)
            b.on_message("news", lambda _, data: heard.callback(data))
            between = relay.Relay(b.port)
            await between.start()
            a.set_peer(B, "127.0.0.1", between.port)
            for lane in ("calls", "messages"):
                with self.subTest(lane=lane):
                    await a.call(B, "echo", b"", self.soon())
                    between.freeze()
                    between.ways = relay.OneWays()
                    if lane == "calls":
                        cut = await a.call(B, "echo", b"", self.soon())
                        self.expect_error(cut, KIND.DISCONNECTED, MAY_HAVE_RUN)
                        again = await a.call(B, "echo", b"", self.soon())
                        self.assertEqual(again, result.Success(b"a:"))
                        continue
                    while not heard.called:
                        a.send(B, "news", b"new")
                        await support.next_turn(support.POLL_S)
            await between.stop()

        with _patch_times(3600.0, silence_s=0.05, probe_s=0.05):
            self.run_case(case)

    def test_slow_answer_over_a_sound_link(self) -> None:
        """A peer that takes its time but is there keeps its link."""

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            answered: defer.Deferred[bytes] = defer.Deferred()

            async def slow(sender: base.InstanceId, data: bytes) -> bytes:
                return await answered

            b.on_call("slow", slow)
            waiting = a.call(B, "slow", b"", self.soon())
            await support.next_turn(10 * _link.SILENCE_S)
            answered.callback(b"at last")
            self.assertEqual(await waiting, result.Success(b"at last"))

        with _patch_times(3600.0, silence_s=0.05, probe_s=5.0):
            self.run_case(case)

    def test_own_standstill_is_no_silence(self) -> None:
        """A process that stood still has not given its peer time."""

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            answered: defer.Deferred[bytes] = defer.Deferred()

            async def slow(sender: base.InstanceId, data: bytes) -> bytes:
                return await answered

            b.on_call("slow", slow)
            waiting = a.call(B, "slow", b"", self.soon())
            await support.until(lambda: b.calls_running)
            with unittest.mock.patch.object(
                websockets.asyncio.connection.Connection,
                "ping",
                _stand_still_after(
                    websockets.asyncio.connection.Connection.ping
                ),
            ):
                await support.next_turn(4 * _link.SILENCE_S)
            answered.callback(b"at last")
            self.assertEqual(await waiting, result.Success(b"at last"))

        with _patch_times(3600.0, silence_s=0.05, probe_s=0.2):
            self.run_case(case)

    def test_source_host_tells_instances_apart(self) -> None:
        """Of two peers at one relay, only the one that is cut is silent."""

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            other = await self.start_mesh(
                base.InstanceId("c"), source_host="127.0.0.3"
            )
            b.on_call("echo", echo)
            ways = _WaysBySource({})
            between = relay.Relay(b.port, ways)
            await between.start()
            for one in (a, other):
                one.set_peer(B, "127.0.0.1", between.port)
                await one.call(B, "echo", b"", self.soon())
            self.assertEqual(set(ways.known), {"127.0.0.1", "127.0.0.3"})
            cut = ways.known["127.0.0.3"].back
            cut.cut()
            held = other.call(B, "echo", b"late", self.soon())
            answer = await a.call(B, "echo", b"", self.soon())
            self.assertEqual(answer, result.Success(b"a:"))
            self.assertFalse(held.called)
            cut.heal()
            self.assertEqual(await held, result.Success(b"c:late"))
            await between.stop()

        self.run_case(case)

    def test_wrong_instance_at_address(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            other = base.InstanceId("c")
            a.set_peer(other, "127.0.0.1", b.port)
            answer = await a.call(other, "echo", b"", self.soon())
            self.expect_error(answer, KIND.UNREACHABLE, NOT_RUN)
            self.assertIn("This is 'b'", answer.failure().detail)

        self.run_case(case)

    def test_removed_peer(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("echo", echo)
            await a.call(B, "echo", b"", self.soon())
            a.remove_peer(B)
            await support.until(lambda: not a.connected_peers())
            answer = await a.call(B, "echo", b"", self.soon())
            self.expect_error(answer, KIND.UNREACHABLE, NOT_RUN)

        self.run_case(case)

    def test_process_that_has_ended_and_one_that_is_frozen(self) -> None:
        """Guards against a frozen process that is taken for an ended one."""

        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            port = b.port
            self.assertFalse(a.refuses_connections(B))
            self.started.remove(b)
            await b.stop()
            await a.call(B, "echo", b"", self.soon())
            self.assertTrue(a.refuses_connections(B))
            again = await self.start_mesh(B, incarnation=2, port=port)
            again.on_call("echo", echo)
            while not a.connected_peers():
                await a.call(B, "echo", b"", self.soon())
                await support.next_turn(0.05)
            self.assertFalse(a.refuses_connections(B))
            with socket.socket() as frozen:
                frozen.bind(("127.0.0.1", 0))
                frozen.listen()
                a.set_peer(B, *frozen.getsockname())
                answer = await a.call(B, "echo", b"", self.soon())
                self.expect_error(answer, KIND.UNREACHABLE, NOT_RUN)
                self.assertFalse(a.refuses_connections(B))

        self.run_case(case)

    def test_names_are_not_looked_up(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            for host, port in (("localhost", 1), ("127.0.0.1", 0)):
                with self.subTest(host=host), self.assertRaises(ValueError):
                    a.set_peer(B, host, port)

        self.run_case(case)

    def test_address_in_use(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            with self.assertRaises(mesh.ListenError):
                await self.start_mesh(A, port=b.port)

        self.run_case(case)


class LifeMemoryTest(unittest.TestCase):
    """The newest life counts for a while, also over a clock set back."""

    def test_memory(self) -> None:
        clock = base.ManualClock(100.0)
        memory = _peer.LifeMemory(clock)
        memory.note(B, base.Incarnation(5))
        memory.note(B, base.Incarnation(3))
        self.assertEqual(memory.newest(B), 5)
        clock.advance(_peer.LIFE_MEMORY_S)
        self.assertEqual(memory.newest(B), 0)
        memory.note(B, base.Incarnation(3))
        self.assertEqual(memory.newest(B), 3)

    def test_memory_is_bounded(self) -> None:
        memory = _peer.LifeMemory(base.ManualClock())
        for number in range(_peer.MAX_REMEMBERED + 1):
            memory.note(base.InstanceId(str(number)), base.Incarnation(1))
        self.assertEqual(memory.newest(base.InstanceId("0")), 0)
        self.assertEqual(memory.newest(base.InstanceId("1")), 1)


class ForeignBytesTest(mesh_support.MeshCase):
    """A peer that sends no frames is disconnected; the instance goes on."""

    def test_garbage_on_the_socket(self) -> None:
        async def case(a: mesh.Mesh, b: mesh.Mesh) -> None:
            b.on_call("echo", echo)
            for data in (b"\x00" * 40 + b"\r\n", b"GET / HTTP/1.1\r\n\r\n"):
                await defer.Deferred.fromFuture(
                    asyncio.ensure_future(send_raw(b.port, data))
                )
            answer = await a.call(B, "echo", b"", self.soon())
            self.assertEqual(answer, result.Success(b"a:"))

        self.run_case(case)


async def send_raw(port: int, data: bytes) -> None:
    """Sends bytes to a port and waits for it to close."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    await reader.read()
    writer.close()
