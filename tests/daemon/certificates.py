"""Certificates made for one test run."""

import datetime
import ipaddress
import pathlib

from banyanbank_daemon import _tls
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
END = datetime.datetime(2100, 1, 1, tzinfo=datetime.UTC)


class Authority:
    """A CA that writes certificates into a folder."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self._folder = folder
        self._name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        self._key = ec.generate_private_key(ec.SECP256R1())
        self.path = folder / f"{name}.pem"
        authority = (
            self._builder(self._name, self._key)
            .add_extension(x509.BasicConstraints(True, None), True)
            .sign(self._key, hashes.SHA256())
        )
        self.path.write_bytes(
            authority.public_bytes(serialization.Encoding.PEM)
        )

    def issue(
        self, file: str, *uris: str, host: str = "127.0.0.1"
    ) -> _tls.TlsFiles:
        """Writes a certificate with URIs and its key; returns the files."""
        key = ec.generate_private_key(ec.SECP256R1())
        names: list[x509.GeneralName] = [
            x509.UniformResourceIdentifier(uri) for uri in uris
        ]
        names.append(x509.IPAddress(ipaddress.ip_address(host)))
        subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, file)]
        )
        certificate = (
            self._builder(subject, key)
            .add_extension(x509.SubjectAlternativeName(names), False)
            .sign(self._key, hashes.SHA256())
        )
        files = _tls.TlsFiles(
            self._folder / f"{file}.pem",
            self._folder / f"{file}.key",
            self.path,
        )
        files.certificate.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )
        files.private_key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return files

    def issue_instance(self, instance: str) -> _tls.TlsFiles:
        """Writes the certificate of an instance."""
        return self.issue(instance, _tls.INSTANCE_URI + instance)

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey
    ) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(START)
            .not_valid_after(END)
        )
