"""Tests of the body store on disk."""

import pathlib
import tempfile
import unittest
from unittest import mock

import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases


def slot(step: int, trainer: str = "coach/../x") -> rollout.SampleSlot:
    """Returns a slot of a trainer whose name is not a valid file name."""
    return rollout.SampleSlot(base.TrainerId(trainer), step, 0, 0)


class FileBodyStoreTest(unittest.TestCase):
    """Synced bodies survive a restart; corrupt ones are never returned."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.directory = pathlib.Path(temporary.name) / "bodies"
        self.store = self.open()

    def open(self) -> rollout.FileBodyStore:
        store = rollout.FileBodyStore(self.directory)
        self.addCleanup(store.close)
        return store

    def file(self) -> pathlib.Path:
        (path,) = self.directory.iterdir()
        return path

    def test_survives_a_restart(self) -> None:
        digests = [self.store.put(slot(0), bytes([n]) * n) for n in range(9)]
        self.store.sync()
        store = self.open()
        for number, digest in enumerate(digests):
            self.assertEqual(store.get(digest), bytes([number]) * number)
        body = rollout.SampleBody.stored(b"\x03\x03\x03")
        self.assertEqual(body.digest, digests[3])
        self.assertEqual(store.missing([*digests, b"x"]), {b"x"})

    def test_torn_at_any_byte(self) -> None:
        whole = self.store.put(slot(0), b"whole")
        torn = self.store.put(slot(0), b"torn")
        data = self.file().read_bytes()
        first = len(data) - len(b"torn") - 36
        for end in range(first, len(data)):
            self.file().write_bytes(data[:end])
            store = self.open()
            with self.subTest(end=end):
                self.assertEqual(store.get(whole), b"whole")
                self.assertEqual(store.missing([torn]), {torn})
                self.assertEqual(store.put(slot(0), b"torn"), torn)
                self.assertEqual(self.open().get(torn), b"torn")

    def test_corrupt_body_is_not_returned(self) -> None:
        digest = self.store.put(slot(0), b"body")
        data = self.file().read_bytes()
        self.file().write_bytes(data[:-1] + b"?")
        self.assertIsNone(self.store.get(digest))
        self.assertEqual(self.store.missing([digest]), {digest})

    def test_done_steps_are_deleted(self) -> None:
        digests = [self.store.put(slot(n), b"%d" % n) for n in range(3)]
        self.store.retain([(slot(1).trainer, 1)])
        for store in (self.store, self.open()):
            held = [store.get(digest) for digest in digests]
            self.assertEqual(held, [None, b"1", None])

    def test_syncs_new_files_and_their_directory(self) -> None:
        with mock.patch("os.fsync") as fsync:
            self.store.put(slot(0), b"a")
            self.store.put(slot(1), b"b")
            self.assertEqual(fsync.call_count, 0)
            self.store.sync()
            self.assertEqual(fsync.call_count, 3)
            self.store.put(slot(1), b"c")
            self.store.sync()
            self.assertEqual(fsync.call_count, 4)
            self.store.sync()
            self.assertEqual(fsync.call_count, 4)

    def test_recovered_bodies_are_synced_again(self) -> None:
        self.store.put(slot(0), b"written but not synced")
        store = self.open()
        store.put(slot(0), b"written but not synced")
        with mock.patch("os.fsync") as fsync:
            store.sync()
        self.assertEqual(fsync.call_count, 2)

    def test_failed_sync_rejects_writes(self) -> None:
        digest = self.store.put(slot(0), b"a")
        with (
            mock.patch("os.fsync", side_effect=OSError("disk full")),
            self.assertRaises(rollout.BodyStoreError),
        ):
            self.store.sync()
        for operation in (
            self.store.sync,
            lambda: self.store.put(slot(0), b"a"),
        ):
            with self.assertRaises(rollout.BodyStoreError):
                operation()
        self.assertEqual(self.store.get(digest), b"a")

    def test_ledger_lists_stored_digests(self) -> None:
        ledger = rollout.Ledger()
        body = rollout.SampleBody.stored(b"body")
        for command in (cases.group(), cases.sample(0, body=body)):
            ledger, _ = ledger.apply(command)
        self.assertEqual(ledger.stored_digests(), {body.digest})
        self.assertEqual(
            self.store.missing(ledger.stored_digests()), {body.digest}
        )


if __name__ == "__main__":
    unittest.main()
