"""Tests of the cached parts of sync answers."""

import unittest
import zlib

import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _messages
from banyanbank_node import _sync_part_cache

from tests.gateway import samples

ENTRY_COUNT = 161


def make_engine(
    name: str, sequence: int = 1, version: int = 1
) -> gateway.Announcement:
    """Returns an engine's announcement with one loaded model."""
    models = (gateway.LoadedModel("m", version),)
    return samples.make_announcement(name, sequence=sequence, models=models)


class SyncPartCacheTest(unittest.TestCase):
    """Each part is encoded once for all entries, and again after a change."""

    def test_encodings(self) -> None:
        directory = gateway.Directory()
        directory.apply(make_engine("e1"), now=0.0)
        parts = _sync_part_cache.SyncPartCache()
        for name, change, want in (
            ("first answers", lambda: None, 2),
            ("no change", lambda: None, 0),
            (
                "an announcement with new weights",
                lambda: directory.apply(make_engine("e1", 2, 2), now=1.0),
                0,
            ),
            (
                "the engine leaves",
                lambda: directory.withdraw(
                    base.EndpointId("e1"), now=2.0, unix_ms=5_000
                ),
                1,
            ),
        ):
            with self.subTest(name):
                change()
                before = parts.encode_count
                for _ in range(ENTRY_COUNT):
                    parts.document(7, b"content")
                    encoded = parts.directory("leader/1", directory)
                self.assertEqual(parts.encode_count - before, want)
                part = _messages.CODEC.decode(encoded)
                self.assertEqual(
                    [
                        announcement.endpoint
                        for announcement in part.announcements
                    ],
                    [announcement.endpoint for announcement in directory.all()],
                )

    def test_another_leader_with_the_same_revision(self) -> None:
        parts = _sync_part_cache.SyncPartCache()
        first, second = gateway.Directory(), gateway.Directory()
        first.apply(make_engine("e1"), now=0.0)
        second.apply(make_engine("e2"), now=0.0)
        self.assertNotEqual(
            parts.directory("a/1", first), parts.directory("b/2", second)
        )

    def test_documents(self) -> None:
        content = b'{"routes": []}' * 1000
        part = _sync_part_cache.SyncPartCache().document(1, content)
        self.assertLess(len(part), len(content) // 10)
        self.assertEqual(_sync_part_cache.decompress_document(part), content)
        for name, bad in (
            ("cut", part[:-5]),
            ("not compressed", content),
            ("empty", b""),
            ("endless", zlib.compress(bytes(65 * 1024 * 1024))),
        ):
            with self.subTest(name), self.assertRaises(ValueError):
                _sync_part_cache.decompress_document(bad)


if __name__ == "__main__":
    unittest.main()
