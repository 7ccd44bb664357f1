"""Cache of the large parts of sync answers, encoded once for all entries.

For 161 entries, sending an uncompressed document of 1,600 routes to each takes
40 MB on the leader's link; compression reduces this to a tenth.
"""

import collections.abc
import zlib

import attrs
import banyanbank_gateway as gateway

from banyanbank_node import _messages
from banyanbank_node import _permit_messages

COMPRESSION_LEVEL = 1
"""Fastest level of zlib; names and keys are repetitive enough for it."""

MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
"""Maximum size of a decompressed document."""


@attrs.define
class _CachedPart:
    key: object = None
    part: bytes = b""


class SyncPartCache:
    """Caches the latest encodings of document, directory and rate limits.

    Attributes:
        encode_count: Number of encodings so far, over all parts.
    """

    def __init__(self) -> None:
        self.encode_count = 0
        self._document = _CachedPart()
        self._directory = _CachedPart()
        self._limits = _CachedPart()

    def document(self, number: int, content: bytes) -> bytes:
        """Returns the compressed document.

        Args:
            number: Number of the document; the cache key.
            content: Uncompressed document.
        """
        return self._get_or_encode(
            self._document,
            number,
            lambda: zlib.compress(content, COMPRESSION_LEVEL),
        )

    def directory(self, name: str, directory: gateway.Directory) -> bytes:
        """Returns the encoded directory.

        Args:
            name: Leader and epoch, the scope of the directory's revisions.
            directory: Endpoints that the leader considers alive.
        """
        return self._get_or_encode(
            self._directory,
            (name, directory.revision),
            lambda: _messages.CODEC.encode(
                _messages.DirectoryPart(
                    tuple(directory.all()),
                    tuple(directory.ended()),
                )
            ),
        )

    def limits(self, name: str, known: gateway.KnownLimits) -> bytes:
        """Returns the encoded rate limits.

        Args:
            name: Leader and epoch, the scope of the revisions.
            known: Limits that the leader knows.
        """
        return self._get_or_encode(
            self._limits,
            (name, known.revision),
            lambda: _messages.CODEC.encode(
                _permit_messages.LimitsPart(known.all())
            ),
        )

    def _get_or_encode(
        self,
        kept: _CachedPart,
        key: object,
        encode: collections.abc.Callable[[], bytes],
    ) -> bytes:
        if kept.key != key:
            kept.part = encode()
            kept.key = key
            self.encode_count += 1
        return kept.part


def decompress_document(compressed: bytes) -> bytes:
    """Returns the uncompressed document.

    Raises:
        ValueError: The bytes are not a complete zlib stream, or the document
            exceeds `MAX_DOCUMENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise ValueError(f"The document cannot be decompressed: {exc}") from exc
    if not decompressor.eof:
        raise ValueError(
            f"The document is truncated or exceeds {MAX_DOCUMENT_BYTES} bytes."
        )
    return content
