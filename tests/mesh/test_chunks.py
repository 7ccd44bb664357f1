"""Tests of decoding chunked bodies."""

import random
import typing
import unittest

from banyanbank_mesh import _chunks
from twisted.web import http

SEEDS = 300
READ_BYTES = 64 * 1024


def _decode(
    decoder_class: typing.Any, reads: list[bytes]
) -> tuple[bytes, bytes | None, str]:
    """Returns the data, the bytes after the body, and the kind of error."""
    data: list[bytes] = []
    rest: list[bytes] = []
    decoder = decoder_class(data.append, rest.append)
    error = ""
    try:
        for read in reads:
            if rest:
                break
            decoder.dataReceived(read)
        if not rest:
            decoder.noMoreData()
    except Exception as exc:
        error = type(exc).__name__
    return b"".join(data), rest[0] if rest else None, error


def _make_body(rng: random.Random) -> bytes:
    body = b""
    for _ in range(rng.randrange(12)):
        size = rng.choice((1, 2, 9, 10, 31, 300))
        line = rng.choice((b"%x", b"%X", b"%04x", b"%05x")) % size
        line += rng.choice((b"", b"", b"", b";a=b"))
        body += line + b"\r\n" + rng.randbytes(size) + b"\r\n"
    return body + rng.choice((b"0\r\n", b"00\r\n", b"0\r\nA: b\r\n")) + b"\r\n"


def _split(rng: random.Random, body: bytes) -> list[bytes]:
    reads = []
    while body:
        length = rng.choice((1, 2, 7, 50, len(body)))
        reads.append(body[:length])
        body = body[length:]
    return reads


class JoiningDecoderTest(unittest.TestCase):
    """Bodies are decoded as by Twisted, however they are split."""

    def test_random_bodies(self) -> None:
        for seed in range(SEEDS):
            rng = random.Random(seed)
            body = _make_body(rng)
            if rng.random() < 0.5:
                place = rng.randrange(len(body))
                body = body[:place] + rng.randbytes(1) + body[place + 1 :]
            body += rng.choice((b"", b"rest"))
            reads = _split(rng, body)
            with self.subTest(seed=seed):
                self.assertEqual(
                    _decode(_chunks.JoiningDecoder, reads),
                    _decode(http._ChunkedTransferDecoder, reads),
                )

    def test_reads_that_hold_up_others(self) -> None:
        for name, size, want in (("small", 2, True), ("large", 4096, False)):
            with self.subTest(name):
                delivered: list[bytes] = []
                decoder = _chunks.JoiningDecoder(delivered.append, print)
                chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
                count = READ_BYTES // len(chunk)
                decoder.dataReceived(chunk * count)
                self.assertEqual(delivered, [b"x" * size * count])
                self.assertEqual(decoder.is_dense, want)


if __name__ == "__main__":
    unittest.main()
