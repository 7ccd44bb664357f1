"""What the transport needs to know of TLS."""

import ssl
import typing

import banyanbank_base as base


class MeshTls(typing.Protocol):
    """Mutual TLS between instances."""

    def server_context(self) -> ssl.SSLContext:
        """Returns the context for accepted connections."""
        ...

    def client_context(self) -> ssl.SSLContext:
        """Returns the context for the next outgoing connection."""
        ...

    def peer_instance(
        self, connection: ssl.SSLObject
    ) -> base.InstanceId | None:
        """Returns the instance that the peer's certificate names."""
        ...
