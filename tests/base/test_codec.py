"""Tests of the CBOR codec."""

import typing
import unittest

import attrs
import banyanbank_base as base
import cbor2


@attrs.frozen
class Ping:
    """A message of the test's union."""

    number: int


@attrs.frozen
class Pong:
    """Another message of the test's union."""

    body: bytes
    names: tuple[str, ...] = ()


@attrs.frozen
class Late:
    """A message whose later field is left out at its default."""

    number: int
    later: int = 0


@attrs.frozen
class Unknown:
    """A class that is no member of the test's union."""

    what: object


class CodecTest(unittest.TestCase):
    """Messages survive a round trip; other bytes are refused."""

    def setUp(self) -> None:
        self.codec: base.Codec[Ping | Pong] = base.Codec(Ping, Pong)

    def test_bytes_on_the_wire(self) -> None:
        """Guards against a change that peers of other releases cannot read."""
        sparse: base.Codec[typing.Any] = base.Codec(Ping, Late, sparse=(Late,))
        sole: base.Codec[Ping] = base.Codec(Ping)
        for name, codec, message, fields in (
            ("tagged", self.codec, Ping(7), {"number": 7, "_t": "Ping"}),
            ("sole member", sole, Ping(7), {"number": 7}),
            ("default left out", sparse, Late(1), {"number": 1, "_t": "Late"}),
            (
                "no default",
                sparse,
                Late(1, 2),
                {"number": 1, "later": 2, "_t": "Late"},
            ),
        ):
            with self.subTest(name):
                encoded = codec.encode(message)
                self.assertEqual(encoded, cbor2.dumps(fields))
                self.assertEqual(codec.decode(encoded), message)

    def test_foreign_classes(self) -> None:
        with self.assertRaises(TypeError):
            self.codec.encode(typing.cast(Ping, Unknown(1)))

    def test_preparation(self) -> None:
        """Guards against a message kind that fails at its first use only."""
        codec: base.Codec[typing.Any] = base.Codec(Ping, Pong)
        for prepare in codec.preparations():
            prepare()
        self.assertEqual(list(codec.preparations()), [])

    def test_round_trip(self) -> None:
        for message in (Ping(7), Pong(b"\x00", ("a", "b"))):
            with self.subTest(message=message):
                encoded = self.codec.encode(message)
                self.assertEqual(self.codec.decode(encoded), message)

    def test_foreign_bytes(self) -> None:
        unknown = [
            cbor2.dumps(fields)
            for fields in (
                {"number": 1, "_t": "Unknown"},
                {"number": 1, "_t": ["Ping"]},
                {"number": 1, "more": 2, "_t": "Ping"},
                {"_t": "Ping"},
                ["Ping"],
                "Ping",
            )
        ]
        for data in (
            b"",
            b"\xff",
            b"\xa0",
            self.codec.encode(Ping(1))[:-1],
            *unknown,
        ):
            with self.subTest(data=data), self.assertRaises(base.CodecError):
                self.codec.decode(data)
