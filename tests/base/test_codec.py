"""Tests of the CBOR codec."""

import unittest

import attrs
import banyanbank_base as base


@attrs.frozen
class Ping:
    """A message of the test's union."""

    number: int


@attrs.frozen
class Pong:
    """Another message of the test's union."""

    body: bytes
    names: tuple[str, ...] = ()


class CodecTest(unittest.TestCase):
    """Messages survive a round trip; other bytes are refused."""

    def setUp(self) -> None:
        self.codec: base.Codec[Ping | Pong] = base.Codec(Ping, Pong)

    def test_round_trip(self) -> None:
        for message in (Ping(7), Pong(b"\x00", ("a", "b"))):
            with self.subTest(message=message):
                encoded = self.codec.encode(message)
                self.assertEqual(self.codec.decode(encoded), message)

    def test_foreign_bytes(self) -> None:
        for data in (b"", b"\xff", b"\xa0", self.codec.encode(Ping(1))[:-1]):
            with self.subTest(data=data), self.assertRaises(base.CodecError):
                self.codec.decode(data)
