"""Tests of the time limits of the command line."""

import pathlib
import typing
import unittest.mock

from banyanbank_cli import _client
from banyanbank_cli import _tls
from twisted.internet import protocol
from twisted.internet import ssl
from twisted.web import server

from tests import support as base_support
from tests.cli import support
from tests.daemon import certificates


class _Silent(protocol.Protocol):
    """Takes everything and says nothing, as a plain port does with TLS."""


class LimitTest(support.CommandCase):
    """A command ends, and says what to do, whatever the port does."""

    def patch(self, module: typing.Any, name: str, value: float) -> None:
        patched = unittest.mock.patch.object(module, name, value)
        patched.start()
        self.addCleanup(patched.stop)

    def listen(
        self, factory: protocol.Factory, context: typing.Any = None
    ) -> str:
        from twisted.internet import reactor

        if context is None:
            port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        else:
            port = reactor.listenSSL(0, factory, context, interface="127.0.0.1")

        async def stop() -> None:
            await port.stopListening()

        self.addCleanup(base_support.run_async, stop)
        return f"https://127.0.0.1:{port.getHost().port}"

    def issue(self) -> tuple[pathlib.Path, typing.Any]:
        """Returns a CA's file and the context of a server."""
        authority = certificates.Authority(self.folder, "ca")
        files = authority.issue("server")
        context = ssl.DefaultOpenSSLContextFactory(
            str(files.private_key), str(files.certificate)
        )
        return authority.path, context

    def test_plain_port(self) -> None:
        self.patch(_tls, "HANDSHAKE_LIMIT_S", 0.05)
        url = self.listen(protocol.Factory.forProtocol(_Silent))
        ending = self.run_at(url, "drain", "e1")
        self.assertEqual(ending.code, 1)
        self.assertIn("write http:// in place of https://", ending.err)
        self.assertIn("outcome: not run", ending.err)

    def test_unknown_authority(self) -> None:
        _, context = self.issue()
        url = self.listen(server.Site(support.ScriptedResource()), context)
        ending = self.run_at(url, "status")
        self.assertEqual(ending.code, 1)
        self.assertIn("--authority-file", ending.err)

    def test_tls(self) -> None:
        path, context = self.issue()
        scripted = support.ScriptedResource(support.Answer({"revision": 1}))
        url = self.listen(server.Site(scripted), context)
        ending = self.run_at(url, "status", "--authority-file", str(path))
        self.assertEqual(ending.out, "revision: 1\n", ending.err)

    def test_silent_server(self) -> None:
        self.patch(_client, "ANSWER_LIMIT_S", 0.05)
        _, head_only = self.serve(support.Answer("x", silent=True))
        silent = self.listen(protocol.Factory.forProtocol(_Silent))
        for url in (head_only, silent.replace("https", "http")):
            with self.subTest(url):
                ending = self.run_at(url, "drain", "e1")
                self.assertEqual(ending.code, 1)
                self.assertIn("no whole answer within 0.05 s", ending.err)
                self.assertIn("outcome: may have run", ending.err)
