"""Large parts of the answers to entries, each encoded once for all of them.

With 161 entries a document of 1,600 routes is 40 MB on the leader's link when
each gets it as it was sent; compressed it is a tenth of that.
"""

import collections.abc
import zlib

import attrs
import banyanbank_gateway as gateway

from banyanbank_node import _messages

COMPRESSION_LEVEL = 1
"""Fastest level of zlib; names and keys repeat so much that it suffices."""

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
"""Largest document that an entry unpacks."""


@attrs.define
class _Kept:
    key: object = None
    part: bytes = b""


class SyncParts:
    """Keeps the newest encoding of the document and of the directory.

    Attributes:
        encoded: Encodings that were made, for each of the parts.
    """

    def __init__(self) -> None:
        self.encoded = 0
        self._document = _Kept()
        self._directory = _Kept()

    def document(self, number: int, content: bytes) -> bytes:
        """Returns the compressed document."""
        return self._get(
            self._document,
            number,
            lambda: zlib.compress(content, COMPRESSION_LEVEL),
        )

    def directory(self, name: str, directory: gateway.Directory) -> bytes:
        """Returns the encoded directory.

        Args:
            name: Names the leader and its epoch; revisions count from there.
            directory: Endpoints that the leader believes in.
        """
        return self._get(
            self._directory,
            (name, directory.revision),
            lambda: _messages.CODEC.encode(
                _messages.DirectoryPart(
                    tuple(directory.all()),
                    tuple(
                        _messages.EndedLife(endpoint, born)
                        for endpoint, born in directory.ended()
                    ),
                )
            ),
        )

    def _get(
        self,
        kept: _Kept,
        key: object,
        encode: collections.abc.Callable[[], bytes],
    ) -> bytes:
        if kept.key != key:
            kept.part = encode()
            kept.key = key
            self.encoded += 1
        return kept.part


def unpack_document(part: bytes) -> bytes:
    """Returns a document as it was sent.

    Raises:
        ValueError: The bytes are no compressed document, or one that is too
            large.
    """
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(part, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise ValueError(f"The document cannot be unpacked: {exc}") from exc
    if not unpacker.eof:
        raise ValueError(
            f"The document is cut or over {MAX_DOCUMENT_BYTES} bytes."
        )
    return content
