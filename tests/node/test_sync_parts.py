"""Tests of what a leader encodes for its entries."""

import unittest
import zlib

import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _messages
from banyanbank_node import _sync_parts

from tests.gateway import samples

ENTRIES = 161


def make_engine(
    name: str, sequence: int = 1, version: int = 1
) -> gateway.Announcement:
    """Returns what an engine says with some weights loaded."""
    models = (gateway.LoadedModel("m", version),)
    return samples.make_said(name, sequence=sequence, models=models)


class SyncPartsTest(unittest.TestCase):
    """Each part is encoded once for all entries, and anew when it changed."""

    def test_encodings(self) -> None:
        directory = gateway.Directory()
        directory.announce(make_engine("e1"), now=0.0)
        parts = _sync_parts.SyncParts()
        for name, change, want in (
            ("first answers", lambda: None, 2),
            ("nothing new", lambda: None, 0),
            (
                "a beat with new weights",
                lambda: directory.announce(make_engine("e1", 2, 2), now=1.0),
                0,
            ),
            (
                "the engine leaves",
                lambda: directory.withdraw(base.EndpointId("e1"), now=2.0),
                1,
            ),
        ):
            with self.subTest(name):
                change()
                before = parts.encoded
                for _ in range(ENTRIES):
                    parts.document(7, b"content")
                    encoded = parts.directory("leader/1", directory)
                self.assertEqual(parts.encoded - before, want)
                part = _messages.CODEC.decode(encoded)
                self.assertEqual(
                    [said.endpoint for said in part.announcements],
                    [said.endpoint for said in directory.all()],
                )

    def test_another_leader_with_the_same_revision(self) -> None:
        parts = _sync_parts.SyncParts()
        first, second = gateway.Directory(), gateway.Directory()
        first.announce(make_engine("e1"), now=0.0)
        second.announce(make_engine("e2"), now=0.0)
        self.assertNotEqual(
            parts.directory("a/1", first), parts.directory("b/2", second)
        )

    def test_documents(self) -> None:
        content = b'{"routes": []}' * 1000
        part = _sync_parts.SyncParts().document(1, content)
        self.assertLess(len(part), len(content) // 10)
        self.assertEqual(_sync_parts.unpack_document(part), content)
        for name, bad in (
            ("cut", part[:-5]),
            ("not compressed", content),
            ("empty", b""),
            ("endless", zlib.compress(bytes(65 * 1024 * 1024))),
        ):
            with self.subTest(name), self.assertRaises(ValueError):
                _sync_parts.unpack_document(bad)


if __name__ == "__main__":
    unittest.main()
