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
class Shelf:
    """A message with a long list."""

    name: str
    books: tuple[bytes, ...]
    length: int


@attrs.frozen
class Unknown:
    """A class that is no member of the test's union."""

    what: object


def run_generator(
    reading: typing.Generator[int, None, typing.Any],
) -> tuple[tuple[int, ...], typing.Any]:
    """Returns what a generator yielded, and what it returned."""
    yielded = []
    while True:
        try:
            yielded.append(next(reading))
        except StopIteration as end:
            return tuple(yielded), end.value


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

    def test_slices_are_the_encoded_message(self) -> None:
        """Guards against snapshots that other releases cannot read."""
        sole: base.Codec[Shelf] = base.Codec(Shelf)
        tagged: base.Codec[Shelf | Ping] = base.Codec(Shelf, Ping)
        for name, codec in (("sole member", sole), ("tagged", tagged)):
            for sizes in ((), (0,), (1, 23, 24, 255, 256, 70_000)):
                with self.subTest(name, sizes=sizes):
                    books = tuple(bytes(size) for size in sizes)
                    head = Shelf("shelf", (), 7)
                    items = [lambda book=book: book for book in books]
                    slices = list(codec.encode_slices(head, "books", items))
                    whole = codec.encode(attrs.evolve(head, books=books))
                    self.assertEqual(b"".join(slices), whole)
                    self.assertGreater(len(slices), len(books))
                    read: list[bytes] = []
                    reading = codec.decode_slices(whole, "books", read.append)
                    self.assertEqual(run_generator(reading), (sizes, head))
                    self.assertEqual(tuple(read), books)

    def test_slices_of_foreign_bytes(self) -> None:
        whole = self.codec.encode(Ping(7))
        for name, data in (
            ("empty", b""),
            ("no map", b"\x81\x01"),
            ("indefinite length", b"\xbf\xff"),
            ("cut short", whole[:-1]),
        ):
            with self.subTest(name), self.assertRaises(base.CodecError):
                run_generator(self.codec.decode_slices(data, "x", print))

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
