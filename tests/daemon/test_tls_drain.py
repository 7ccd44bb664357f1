"""A graceful end with callers that used TLS."""

import asyncio
import pathlib
import ssl
import tempfile
import unittest

import banyanbank_base as base
from banyanbank_daemon import _tls
from twisted.internet import defer

from tests import support
from tests.daemon import certificates
from tests.scenarios import world as world_module

REQUEST = b"GET /healthz HTTP/1.1\r\nhost: 127.0.0.1\r\n\r\n"


class TlsDrainTest(unittest.TestCase):
    """Connections that are gone, idle or new do not hold the end up."""

    def test_drain(self) -> None:
        async def play() -> None:
            with tempfile.TemporaryDirectory() as folder:
                authority = certificates.Authority(pathlib.Path(folder), "ca")
                files = authority.issue("callers")
                recorder = base.MemoryRecorder(
                    base.InstanceId("i1"), base.SystemClock()
                )
                world = world_module.World(1)
                world.caller_tls = _tls.CallerCertificates(files, recorder)
                try:
                    await world.start()
                    await self.drain(world, authority.path)
                finally:
                    await world.stop()

        support.run_async(play)

    async def drain(
        self, world: world_module.World, authority: pathlib.Path
    ) -> None:
        context = ssl.create_default_context(cafile=str(authority))
        instance = world.sites["i1"].instance
        assert instance is not None
        writers = []
        for is_closed in (True, False, True):
            for port in (
                instance.listeners.caller_port,
                instance.listeners.operator_port,
            ):
                reader, writer = await defer.Deferred.fromFuture(
                    asyncio.ensure_future(
                        asyncio.open_connection("127.0.0.1", port, ssl=context)
                    )
                )
                writer.write(REQUEST)
                answer = await defer.Deferred.fromFuture(
                    asyncio.ensure_future(reader.readline())
                )
                self.assertTrue(answer.startswith(b"HTTP/1.1 "), answer)
                if is_closed:
                    writer.close()
                else:
                    writers.append(writer)
        await instance.drain()
        node = instance.control.node
        assert node is not None
        self.assertEqual(node.status().phase, "stopped")
        for writer in writers:
            writer.close()
