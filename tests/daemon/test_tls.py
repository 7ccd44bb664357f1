"""Tests of TLS towards callers and between instances."""

import collections.abc
import pathlib
import ssl
import tempfile

import attrs
import banyanbank_base as base
from banyanbank_daemon import _tls
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import ssl as twisted_ssl

from tests import support
from tests.daemon import certificates
from tests.mesh import support as mesh_support

A = mesh_support.A
B = mesh_support.B
Case = collections.abc.Callable[
    [], collections.abc.Coroutine[defer.Deferred[object], object, None]
]


async def echo(sender: base.InstanceId, data: bytes) -> bytes:
    return sender.encode()


class TlsCase(mesh_support.MeshCase):
    """Base of cases with a scratch folder and two CAs."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ours = certificates.Authority(self.folder, "ours")
        self.other = certificates.Authority(self.folder, "other")
        self.recorder = base.MemoryRecorder(A, self.clock)

    def certificates(
        self, instance: str, files: _tls.TlsFiles
    ) -> _tls.MeshCertificates:
        """Loads the certificate of an instance."""
        return _tls.MeshCertificates(
            base.InstanceId(instance), files, self.recorder
        )

    def run_stopping(self, case: Case) -> None:
        """Runs a case and stops the meshes it started."""

        async def main() -> None:
            try:
                await case()
            finally:
                for one in self.started:
                    await one.stop()

        support.run_async(main)

    async def start_pair(
        self, a_tls: mesh.MeshTls | None, b_tls: mesh.MeshTls | None
    ) -> tuple[mesh.Mesh, mesh.Mesh]:
        """Starts two meshes that know each other."""
        a = await self.start_mesh(A, tls=a_tls)
        b = await self.start_mesh(B, tls=b_tls)
        self.introduce(a, b)
        a.on_call("echo", echo)
        b.on_call("echo", echo)
        return a, b


class MutualTest(TlsCase):
    """Only an instance with its own certificate of our CA gets in."""

    def test_right_certificates(self) -> None:
        async def case() -> None:
            a, _ = await self.start_pair(
                self.certificates("a", self.ours.issue_instance("a")),
                self.certificates("b", self.ours.issue_instance("b")),
            )
            answer = await a.call(B, "echo", b"", self.soon())
            self.assertEqual(answer, result.Success(b"a"))

        self.run_stopping(case)

    def test_wrong_certificates(self) -> None:
        right = self.certificates("b", self.ours.issue_instance("b"))
        foreign = attrs.evolve(
            self.other.issue_instance("a"), authority=self.ours.path
        )
        stolen = self.certificates("c", self.ours.issue_instance("c"))
        cases: tuple[tuple[str, mesh.MeshTls | None], ...] = (
            ("none", None),
            ("another CA", self.certificates("a", foreign)),
            ("another instance", stolen),
        )
        for name, tls in cases:
            with self.subTest(name=name):
                self.started.clear()
                self.run_stopping(lambda tls=tls: self.refuse(tls, right))

    async def refuse(
        self, a_tls: mesh.MeshTls | None, b_tls: mesh.MeshTls
    ) -> None:
        a, b = await self.start_pair(a_tls, b_tls)
        for one, peer in ((a, B), (b, A)):
            answer = await one.call(peer, "echo", b"", self.soon())
            self.expect_error(
                answer, mesh.CallErrorKind.UNREACHABLE, base.Outcome.NOT_RUN
            )

    def test_unusable_files(self) -> None:
        good = self.ours.issue_instance("a")
        other = self.ours.issue_instance("b")
        cases = (
            ("of another", other),
            ("two names", self.ours.issue("two", "urn:x", "urn:y")),
            ("no name", self.ours.issue("none")),
            ("key", attrs.evolve(good, private_key=other.private_key)),
            ("missing", attrs.evolve(good, certificate=self.folder / "no")),
            ("no authority", attrs.evolve(good, authority=None)),
        )
        for name, files in cases:
            with self.subTest(name=name), self.assertRaises(_tls.TlsError):
                self.certificates("a", files)


class ReloadTest(TlsCase):
    """Changed files count from the next handshake, without a restart."""

    def test_new_authority_between_instances(self) -> None:
        async def case() -> None:
            a_files = self.ours.issue_instance("a")
            b_files = self.ours.issue_instance("b")
            a, b = await self.start_pair(
                self.certificates("a", a_files), self.certificates("b", b_files)
            )
            before = await a.call(B, "echo", b"", self.soon())
            self.assertEqual(before, result.Success(b"a"))
            # Both instances move to the other CA; their files keep the names.
            self.other.issue_instance("b")
            self.ours.path.write_bytes(self.other.path.read_bytes())
            a.remove_peer(B)
            await support.until(lambda: not b.connected_peers())
            self.introduce(a, b)
            refused = await a.call(B, "echo", b"", self.soon())
            self.assertIsInstance(refused, result.Failure)
            self.other.issue_instance("a")
            a.set_peer(B, "127.0.0.2", b.port)
            a.set_peer(B, "127.0.0.1", b.port)
            after = await a.call(B, "echo", b"", self.soon())
            self.assertEqual(after, result.Success(b"a"))

        self.run_stopping(case)

    def test_unusable_caller_files(self) -> None:
        good = self.ours.issue("good")
        other = self.ours.issue("other-key")
        for files in (
            attrs.evolve(good, private_key=other.private_key),
            attrs.evolve(good, certificate=good.private_key),
            attrs.evolve(good, private_key=self.folder / "no"),
        ):
            with self.subTest(files=files), self.assertRaises(_tls.TlsError):
                _tls.CallerCertificates(files, self.recorder)

    def test_broken_files_keep_the_old(self) -> None:
        files = self.ours.issue_instance("a")
        certificates_ = self.certificates("a", files)
        before = certificates_.client_context()
        files.private_key.write_text("torn")
        self.assertIs(certificates_.client_context(), before)
        kinds = [event.kind for event in self.recorder.events]
        self.assertEqual(kinds, ["tls.reload_failed"])
        self.ours.issue_instance("a")
        self.assertIsNot(certificates_.client_context(), before)

    def test_callers_see_the_new_certificate(self) -> None:
        async def case() -> None:
            from twisted.internet import reactor

            files = self.ours.issue("callers")
            factory = protocol.ServerFactory.forProtocol(Greeter)
            listener = reactor.listenSSL(
                0,
                factory,
                _tls.CallerCertificates(files, self.recorder),
                interface="127.0.0.1",
            )
            port = listener.getHost().port
            try:
                first = await shown_certificate(port)
                self.assertEqual(first, pem_to_der(files.certificate))
                self.ours.issue("callers")
                second = await shown_certificate(port)
                self.assertEqual(second, pem_to_der(files.certificate))
                self.assertNotEqual(first, second)
            finally:
                await listener.stopListening()

        self.run_stopping(case)


class Greeter(protocol.Protocol):
    """Sends one byte and closes."""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(b"x")
        self.transport.loseConnection()


class CertificateReader(protocol.Protocol):
    """Notes the certificate of the other end."""

    def __init__(self) -> None:
        self.seen: defer.Deferred[bytes] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        seen, self.seen = self.seen, defer.Deferred()
        certificate = twisted_ssl.Certificate.peerFromTransport(self.transport)
        seen.callback(certificate.dumpPEM())
        self.transport.loseConnection()


async def shown_certificate(port: int) -> bytes:
    """Returns the certificate that a TLS listener shows, as DER."""
    from twisted.internet import reactor

    endpoint = endpoints.SSL4ClientEndpoint(
        reactor, "127.0.0.1", port, twisted_ssl.CertificateOptions()
    )
    reader = await endpoints.connectProtocol(endpoint, CertificateReader())
    return ssl.PEM_cert_to_DER_cert((await reader.seen).decode())


def pem_to_der(path: pathlib.Path) -> bytes:
    """Returns a certificate file's content as DER."""
    return ssl.PEM_cert_to_DER_cert(path.read_text())
