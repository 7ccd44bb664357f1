"""Tests of storage: recovery after crashes and detection of corruption."""

import pathlib
import random
import tempfile
import unittest
import zlib

import banyanbank_consensus as consensus
from banyanbank_consensus import _disk
from banyanbank_consensus import _log
from banyanbank_consensus import _members

HARD_STATE = _disk.HardState(epoch=3, voted_for="a/1", cluster="c")


def make_entries(first: int, last: int, epoch: int = 1) -> list[_log.Entry]:
    return [
        _log.Entry(i, epoch, _log.EntryKind.COMMAND, f"command {i}".encode())
        for i in range(first, last + 1)
    ]


def make_snapshot(index: int, state: bytes) -> _disk.SnapshotMeta:
    crc = zlib.crc32(state)
    return _disk.SnapshotMeta(index, 1, _members.Members(), len(state), crc)


def save_snapshot(
    disk: _disk.Disk,
    meta: _disk.SnapshotMeta,
    state: bytes,
    image: _disk.LogImage,
) -> None:
    """Saves a snapshot that is written in two parts."""
    pending = disk.begin_snapshot(_disk.SnapshotOrigin.TAKEN, meta)
    for part in (state[:7], state[7:]):
        disk.append_snapshot(pending, part)
    disk.finish_snapshot(pending, image)


class MemoryDiskTestCase(unittest.TestCase):
    """Base class of tests on an in-memory folder."""

    def setUp(self) -> None:
        self.files = consensus.MemoryFiles()
        self.disk = consensus.MemoryDisk(self.files)
        self.disk.load("first")

    def write(self, entries: list[_log.Entry]) -> None:
        self.disk.append(entries)
        self.disk.sync()

    def reopen(self) -> _disk.StoredState:
        self.disk = consensus.MemoryDisk(self.files)
        return self.disk.load("second")


class ReopenTest(MemoryDiskTestCase):
    """Recovery after a shutdown or a crash."""

    def test_store_keeps_its_first_identity(self) -> None:
        self.files.crash(random.Random(1))
        self.assertEqual(self.reopen().store, "first")

    def test_synced_entries_and_hard_state_survive(self) -> None:
        self.disk.save_hard_state(HARD_STATE)
        self.write(make_entries(1, 50))
        for seed in range(20):
            self.files.crash(random.Random(seed))
            stored = self.reopen()
            self.assertEqual(stored.image.hard_state, HARD_STATE)
            self.assertEqual(list(stored.image.entries), make_entries(1, 50))

    def test_torn_tail_is_truncated_and_overwritten(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.setUp()
                self.write(make_entries(1, 5))
                self.disk.append(make_entries(6, 12))
                # The write succeeds, but the sync fails.
                self.files.pending_sync_errors = 1
                with self.assertRaises(consensus.StorageError):
                    self.disk.sync()
                self.files.crash(random.Random(seed))
                last = len(self.reopen().image.entries)
                self.assertGreaterEqual(last, 5)
                self.write(make_entries(last + 1, 20))
                entries = list(self.reopen().image.entries)
                self.assertEqual(entries, make_entries(1, 20))

    def test_truncation_survives(self) -> None:
        self.write(make_entries(1, 9))
        self.disk.truncate_from(5)
        self.write(make_entries(5, 6, epoch=2))
        expected = make_entries(1, 4) + make_entries(5, 6, epoch=2)
        self.assertEqual(list(self.reopen().image.entries), expected)

    def test_failed_sync_is_never_retried(self) -> None:
        self.files.pending_sync_errors = 1
        self.disk.append(make_entries(1, 1))
        for _ in range(2):
            with self.assertRaises(consensus.StorageError):
                self.disk.sync()

    def test_sync_covers_all_pending_writes(self) -> None:
        before = self.disk.syncs
        self.disk.save_hard_state(HARD_STATE)
        self.write(make_entries(1, 100))
        self.disk.sync()
        self.assertEqual(self.disk.syncs, before + 1)


class SnapshotTest(MemoryDiskTestCase):
    """Snapshots, and crashes while one is saved."""

    def save(self, index: int, kept: list[_log.Entry]) -> None:
        start = _log.LogBase(kept[0].index - 1, 1) if kept else _log.LogBase()
        image = _disk.LogImage(HARD_STATE, start, tuple(kept))
        state = b"state" * 100
        save_snapshot(self.disk, make_snapshot(index, state), state, image)

    def test_snapshot_replaces_the_entries_before_it(self) -> None:
        self.write(make_entries(1, 20))
        self.save(15, make_entries(11, 20))
        self.files.crash(random.Random(1))
        stored = self.reopen()
        self.assertEqual(stored.snapshot.index, 15)
        self.assertEqual(stored.state, b"state" * 100)
        self.assertEqual(stored.image.base.index, 10)
        self.assertEqual(list(stored.image.entries), make_entries(11, 20))
        self.assertEqual(self.disk.read_snapshot(5, 5), b"state")

    def test_crash_between_snapshot_and_log_keeps_both_consistent(self) -> None:
        for failing_sync in range(1, 5):
            for seed in range(15):
                with self.subTest(failing_sync=failing_sync, seed=seed):
                    self.setUp()
                    self.write(make_entries(1, 20))
                    self.fail_nth_sync(failing_sync)
                    with self.assertRaises(consensus.StorageError):
                        self.save(15, make_entries(11, 20))
                    self.files.crash(random.Random(seed))
                    stored = self.reopen()
                    log = _log.Log(stored.image.base, stored.image.entries)
                    self.assertEqual(log.last_index, 20)
                    covered = stored.snapshot.index if stored.snapshot else 0
                    self.assertGreaterEqual(covered, log.base.index)

    def fail_nth_sync(self, number: int) -> None:
        syncs = {"left": number}

        def consume_sync_error() -> bool:
            syncs["left"] -= 1
            return syncs["left"] == 0

        self.files._consume_sync_error = consume_sync_error

    def test_received_snapshot_replaces_conflicting_log(self) -> None:
        """Guards against entries of another epoch after the snapshot.

        A crash between the writes of snapshot and log leaves the old log.
        """
        self.write(make_entries(1, 20, epoch=7))
        self.fail_nth_sync(3)
        with self.assertRaises(consensus.StorageError):
            self.save(15, make_entries(16, 16))
        self.files.crash(random.Random(4))
        stored = self.reopen()
        if stored.snapshot is not None:
            self.assertEqual(stored.image.base.index, 15)
            self.assertEqual(stored.image.entries, ())

    def test_entries_after_interrupted_installation_survive(self) -> None:
        """Guards against a log file that keeps entries dropped at the start."""
        for name, old_entries in (
            ("empty log", []),
            ("log that ends before the snapshot", make_entries(1, 5)),
            ("log that ends with another epoch", make_entries(1, 15, epoch=7)),
            ("log that goes on in another epoch", make_entries(1, 20, epoch=7)),
        ):
            with self.subTest(name):
                self.setUp()
                self.disk.save_hard_state(HARD_STATE)
                self.write(old_entries)
                self.fail_nth_sync(3)
                with self.assertRaises(consensus.StorageError):
                    self.save(15, [])
                self.files.crash(random.Random(1))
                self.assertEqual(self.reopen().snapshot.index, 15)
                self.write(make_entries(16, 18))
                stored = self.reopen()
                self.assertEqual(stored.store, "first")
                self.assertEqual(stored.image.hard_state, HARD_STATE)
                self.assertEqual(stored.image.base.index, 15)
                self.assertEqual(
                    list(stored.image.entries), make_entries(16, 18)
                )


class CorruptionTest(MemoryDiskTestCase):
    """Detection of corrupt synced data at any offset."""

    def test_corruption_in_middle_of_log(self) -> None:
        self.write(make_entries(1, 10))
        size = len(self.files.read("log"))
        self.write(make_entries(11, 20))
        for offset in range(0, size, 7):
            with self.subTest(offset=offset):
                self.files.corrupt_byte("log", offset)
                with self.assertRaises(consensus.StorageError):
                    self.reopen()
                self.files.corrupt_byte("log", offset)
        self.assertEqual(len(self.reopen().image.entries), 20)

    def test_corruption_in_snapshot(self) -> None:
        state = b"state" * 100
        image = _disk.LogImage(HARD_STATE, _log.LogBase(15, 1), ())
        save_snapshot(self.disk, make_snapshot(15, state), state, image)
        for offset in range(0, len(self.files.read("snapshot")), 7):
            with self.subTest(offset=offset):
                self.files.corrupt_byte("snapshot", offset)
                with self.assertRaises(consensus.StorageError):
                    self.reopen()
                self.files.corrupt_byte("snapshot", offset)

    def test_missing_file(self) -> None:
        image = _disk.LogImage(HARD_STATE, _log.LogBase(15, 1), ())
        save_snapshot(self.disk, make_snapshot(15, b""), b"", image)
        for name in ("log", "snapshot"):
            with self.subTest(name=name):
                content = self.files.read(name)
                self.files.remove(name)
                with self.assertRaises(consensus.CorruptLogError):
                    self.reopen()
                self.files.append(name, content)

    def test_unsupported_format_version(self) -> None:
        self.files.corrupt_byte("log", 7)
        with self.assertRaises(consensus.FormatVersionError):
            self.reopen()


class FileDiskTest(unittest.TestCase):
    """Storage on the file system."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "deep" / "data"

    def test_entries_and_snapshot_survive(self) -> None:
        disk = consensus.FileDisk(self.path)
        disk.load("first")
        disk.append(make_entries(1, 9))
        disk.sync()
        image = _disk.LogImage(
            HARD_STATE, _log.LogBase(5, 1), tuple(make_entries(6, 9))
        )
        save_snapshot(disk, make_snapshot(7, b"state"), b"state", image)
        disk.append(make_entries(10, 12))
        disk.sync()
        disk.close()
        disk = consensus.FileDisk(self.path)
        self.addCleanup(disk.close)
        stored = disk.load("second")
        self.assertEqual(stored.store, "first")
        self.assertEqual(stored.state, b"state")
        self.assertEqual(list(stored.image.entries), make_entries(6, 12))

    def test_folder_lock_excludes_second_process(self) -> None:
        disk = consensus.FileDisk(self.path)
        self.addCleanup(disk.close)
        with self.assertRaises(consensus.FolderLockedError):
            consensus.FileDisk(self.path)

    def test_torn_tail_is_truncated(self) -> None:
        disk = consensus.FileDisk(self.path)
        disk.load("first")
        disk.append(make_entries(1, 9))
        disk.sync()
        disk.close()
        log = self.path / "log"
        log.write_bytes(log.read_bytes()[:-3])
        disk = consensus.FileDisk(self.path)
        self.addCleanup(disk.close)
        entries = list(disk.load("second").image.entries)
        self.assertEqual(entries, make_entries(1, 8))


if __name__ == "__main__":
    unittest.main()
