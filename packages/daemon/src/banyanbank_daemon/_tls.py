"""TLS towards callers and mutual TLS between instances.

Certificates are read again when a file changes, looked at before each
handshake; connections that are open keep what they were made with.
"""

import collections.abc
import pathlib
import ssl
import typing

import attrs
import banyanbank_base as base
from cryptography import x509
from cryptography.hazmat.primitives import serialization
import OpenSSL.SSL
from twisted.internet import interfaces
import zope.interface

INSTANCE_URI = "urn:banyanbank:instance:"
"""Prefix of the URI by which a certificate names an instance."""

FileStamp = tuple[int, int, int]
"""Modification time in nanoseconds, size and inode of a file."""


class TlsError(Exception):
    """Certificate files cannot be used; the message says which and why."""


@attrs.frozen
class TlsFiles:
    """Files of one TLS identity, in PEM."""

    certificate: pathlib.Path
    """Certificate chain, its own certificate first."""
    private_key: pathlib.Path
    """Private key of the certificate."""
    authority: pathlib.Path | None = None
    """Certificates of the CA that peers must be signed by; None for none."""

    def stamps(self) -> tuple[FileStamp, ...]:
        """Returns what changes when a file is replaced.

        Raises:
            OSError: A file is missing.
        """
        paths = [self.certificate, self.private_key, self.authority]
        return tuple(_stamp(path) for path in paths if path is not None)


def _stamp(path: pathlib.Path) -> FileStamp:
    stat = path.stat()
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


class _Reloader:
    """Calls a loader when files have changed; keeps the last good result."""

    def __init__(
        self,
        files: TlsFiles,
        load: collections.abc.Callable[[], None],
        recorder: base.Recorder,
    ) -> None:
        self._files = files
        self._load = load
        self._recorder = recorder
        # Taken before loading, so that a change in between is seen later.
        try:
            self._stamps = files.stamps()
        except OSError as exc:
            raise TlsError(f"A TLS file is missing: {exc}") from exc
        load()

    def refresh(self) -> None:
        """Loads the files again if one has changed."""
        try:
            stamps = self._files.stamps()
        except OSError:
            return  # In the middle of a replacement; asked again next time.
        if stamps == self._stamps:
            return
        self._stamps = stamps
        try:
            self._load()
        except TlsError as exc:
            self._recorder.record("tls.reload_failed", detail=str(exc)[:300])
            return
        self._recorder.record(
            "tls.reloaded", detail=f"certificate={self._files.certificate.name}"
        )


class MeshCertificates:
    """Mutual TLS between instances; implements `mesh.MeshTls`.

    Args:
        instance: The instance that the certificate must name.
        files: Certificate, private key and authority.
        recorder: Time line.

    Raises:
        TlsError: The files cannot be used.
    """

    def __init__(
        self,
        instance: base.InstanceId,
        files: TlsFiles,
        recorder: base.Recorder,
    ) -> None:
        self._instance = instance
        self._files = files
        self._reloader = _Reloader(files, self._load, recorder)
        self._listener = self._build(ssl.PROTOCOL_TLS_SERVER)
        self._listener.sni_callback = self._choose

    def server_context(self) -> ssl.SSLContext:
        """Returns the context for accepted connections."""
        return self._listener

    def client_context(self) -> ssl.SSLContext:
        """Returns the context for the next outgoing connection."""
        self._reloader.refresh()
        return self._client

    def peer_instance(
        self, connection: ssl.SSLObject
    ) -> base.InstanceId | None:
        """Returns the instance that the peer's certificate names."""
        certificate = connection.getpeercert() or {}
        names = [
            str(entry[1]).removeprefix(INSTANCE_URI)
            for entry in certificate.get("subjectAltName", ())
            if entry[0] == "URI" and str(entry[1]).startswith(INSTANCE_URI)
        ]
        return base.InstanceId(names[0]) if len(names) == 1 else None

    def _choose(
        self, connection: ssl.SSLObject, name: str | None, _: ssl.SSLContext
    ) -> None:
        # Called for every handshake, with or without a server name.
        self._reloader.refresh()
        connection.context = self._server

    def _load(self) -> None:
        _check_names_instance(self._files.certificate, self._instance)
        server = self._build(ssl.PROTOCOL_TLS_SERVER)
        self._client = self._build(ssl.PROTOCOL_TLS_CLIENT)
        self._server = server

    def _build(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False  # Certificates name instances.
        context.verify_mode = ssl.CERT_REQUIRED
        # A resumed session would skip the check of a changed authority.
        if protocol == ssl.PROTOCOL_TLS_SERVER:
            context.num_tickets = 0
        try:
            context.load_cert_chain(
                self._files.certificate, self._files.private_key
            )
            context.load_verify_locations(self._files.authority)
        except (OSError, ssl.SSLError, TypeError) as exc:
            raise TlsError(
                f"Certificate {self._files.certificate}, its key or authority "
                f"cannot be used: {exc}. Give PEM files that belong together."
            ) from exc
        return context


def _check_names_instance(
    path: pathlib.Path, instance: base.InstanceId
) -> None:
    try:
        certificate = x509.load_pem_x509_certificate(path.read_bytes())
        names = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        ).value.get_values_for_type(x509.UniformResourceIdentifier)
    except (OSError, ValueError, x509.ExtensionNotFound) as exc:
        raise TlsError(
            f"Certificate {path} cannot be read or names nobody: {exc}"
        ) from exc
    if names != [INSTANCE_URI + instance]:
        raise TlsError(
            f"Certificate {path} names {names}; its only URI must be "
            f"{INSTANCE_URI}{instance}."
        )


@zope.interface.implementer(interfaces.IOpenSSLContextFactory)
class CallerCertificates:
    """TLS of the callers' listener, for `reactor.listenSSL`.

    Args:
        files: Certificate chain and private key.
        recorder: Time line.

    Raises:
        TlsError: The files cannot be used.
    """

    def __init__(self, files: TlsFiles, recorder: base.Recorder) -> None:
        self._files = files
        self._reloader = _Reloader(files, self._load, recorder)

    def getContext(self) -> OpenSSL.SSL.Context:  # noqa: N802
        """Returns the context of the next connection, as Twisted asks it."""
        self._reloader.refresh()
        return self._context

    def _load(self) -> None:
        try:
            chain = x509.load_pem_x509_certificates(
                self._files.certificate.read_bytes()
            )
            key = serialization.load_pem_private_key(
                self._files.private_key.read_bytes(), password=None
            )
            context = OpenSSL.SSL.Context(OpenSSL.SSL.TLS_SERVER_METHOD)
            context.set_min_proto_version(OpenSSL.SSL.TLS1_2_VERSION)
            context.use_certificate(chain[0])
            for certificate in chain[1:]:
                context.add_extra_chain_cert(certificate)
            context.use_privatekey(typing.cast(typing.Any, key))
            context.check_privatekey()
        except (OSError, ValueError, TypeError, OpenSSL.SSL.Error) as exc:
            raise TlsError(
                f"Certificate {self._files.certificate} or its key cannot be "
                f"used: {exc!r}. Give PEM files that belong together."
            ) from exc
        self._context = context
