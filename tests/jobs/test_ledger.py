"""Tests of the ledger."""

import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_gateway import _evacuations
import banyanbank_jobs as jobs
from banyanbank_jobs import _ledger

from tests.jobs import samples

ZONE, OTHER_ZONE = map(base.FailureDomain, ("zone-a", "zone-b"))

EARLIER_SNAPSHOT = bytes.fromhex(
    "a76f646f63756d656e745f6e756d6265720368646f63756d656e74457468726565687665"
    "7273696f6e73a1616d02646a6f6273806777696e646f7773a0687265706f727465648067"
    "72657469726564816d31302e302e302e313a37303030"
)
"""Snapshot of a release without evacuations: document 3, version 2 of a model
and a retired store."""

NEW = jobs.Applied(is_new=True)
OLD = jobs.Applied(is_new=False)


class LedgerTest(unittest.TestCase):
    """Commands are idempotent, and committed results never change."""

    def setUp(self) -> None:
        self.ledger = jobs.Ledger()
        self.seen: list[jobs.Command] = []
        self.ledger.on_committed = self.seen.append

    def apply(self, command: jobs.Command) -> jobs.Reply:
        payload = jobs.COMMAND_CODEC.encode(command)
        return jobs.REPLY_CODEC.decode(self.ledger.apply(1, payload))

    def test_highest_document_wins(self) -> None:
        for number, content, reply in (
            (3, b"three", NEW),
            (3, b"other three", OLD),
            (2, b"two", OLD),
            (7, b"seven", NEW),
        ):
            with self.subTest(number=number, content=content):
                command = jobs.DeclareDocument(number, content)
                self.assertEqual(self.apply(command), reply)
        self.assertEqual(self.ledger.document, b"seven")

    def test_versions_rise(self) -> None:
        for version, reply in ((2, NEW), (2, OLD), (1, OLD), (3, NEW)):
            command = jobs.NameVersion("m", version)
            self.assertEqual(self.apply(command), reply)
        self.assertEqual(self.ledger.versions, {"m": 3})

    def test_job_is_accepted_once(self) -> None:
        accept = jobs.AcceptJob(samples.make_job("j"))
        self.assertEqual(self.apply(accept), NEW)
        self.assertEqual(self.apply(accept), OLD)
        self.assertEqual(len(self.seen), 1)

    def test_item_is_listed_once(self) -> None:
        self.apply(jobs.AcceptJob(samples.make_job("j")))
        first = jobs.ListResult("j", samples.make_result("i2", "first"))
        second = jobs.ListResult("j", samples.make_result("i2", "second"))
        self.assertEqual(self.apply(first), NEW)
        self.assertEqual(self.apply(second), OLD)
        self.assertEqual(
            [one.text for one in self.ledger.jobs["j"].results], ["first"]
        )

    def test_parts_are_joined_without_gap_or_duplicate(self) -> None:
        self.apply(jobs.AcceptJob(samples.make_job("j")))
        for begins_at, pieces, want in (
            (0, ("a", "b"), ["a", "b"]),
            (0, ("a", "b"), ["a", "b"]),
            (3, ("d",), ["a", "b"]),
            (2, ("c",), ["a", "b", "c"]),
        ):
            with self.subTest(begins_at=begins_at, pieces=pieces):
                part = jobs.TextPart("i1", 1, begins_at, pieces, (4,))
                self.apply(jobs.KeepParts("j", (part,)))
                kept = self.ledger.jobs["j"].kept["i1"]
                self.assertEqual(kept.pieces, want)
        other = jobs.Ledger()
        other.restore(self.ledger.snapshot())
        self.assertEqual(other.jobs["j"].kept, self.ledger.jobs["j"].kept)
        self.apply(jobs.ListResult("j", samples.make_result("i1")))
        self.assertEqual(self.ledger.jobs["j"].kept, {})

    def test_end(self) -> None:
        self.apply(jobs.AcceptJob(samples.make_job("j")))
        other_account = jobs.EndJob("j", base.AccountId("other"))
        self.assertEqual(self.apply(other_account), jobs.NotFound())
        self.assertTrue(self.ledger.jobs["j"].is_open)
        end = jobs.EndJob("j", samples.ACCOUNT)
        self.assertEqual(self.apply(end), NEW)
        self.assertEqual(self.apply(end), OLD)
        self.assertFalse(self.ledger.jobs["j"].is_open)

    def test_window_that_was_dropped_is_not_frozen_again(self) -> None:
        count = _ledger.MAX_USAGE_WINDOWS + 1
        for window in range(count):
            self.apply(jobs.FreezeWindow(window, {samples.ACCOUNT: 1}))
        again = jobs.FreezeWindow(0, {samples.ACCOUNT: 2})
        self.assertEqual(self.apply(again), OLD)
        self.assertEqual(sorted(self.ledger.windows), list(range(1, count)))

    def test_window_is_frozen(self) -> None:
        first = jobs.FreezeWindow(4, {samples.ACCOUNT: 3})
        later = jobs.FreezeWindow(4, {samples.ACCOUNT: 5})
        frozen = jobs.Frozen({samples.ACCOUNT: 3})
        self.assertEqual(self.apply(first), frozen)
        self.assertEqual(self.apply(later), frozen)
        self.assertEqual(self.apply(jobs.MarkReported(4)), NEW)
        self.assertEqual(self.apply(jobs.MarkReported(4)), OLD)

    def test_forgets_only_ended_jobs(self) -> None:
        self.apply(jobs.AcceptJob(samples.make_job("open")))
        self.apply(jobs.AcceptJob(samples.make_job("ended")))
        self.apply(jobs.EndJob("ended", samples.ACCOUNT))
        self.apply(jobs.ForgetJobs(accepted_before=1.0))
        self.assertEqual(list(self.ledger.jobs), ["open"])

    def test_evacuations(self) -> None:
        """Guards against orders that are lost, or count twice if repeated."""
        evacuate, readmit = jobs.EvacuateDomain, jobs.ReadmitDomain
        for name, command, reply, expected in (
            ("never evacuated", readmit(ZONE, 1.0), OLD, (0, (), {})),
            ("first", evacuate(OTHER_ZONE), NEW, (1, (OTHER_ZONE,), {})),
            ("repeated", evacuate(OTHER_ZONE), OLD, (1, (OTHER_ZONE,), {})),
            ("second", evacuate(ZONE), NEW, (2, (ZONE, OTHER_ZONE), {})),
            (
                "withdrawn",
                readmit(ZONE, 5.0),
                NEW,
                (3, (OTHER_ZONE,), {ZONE: 5.0}),
            ),
            (
                "withdrawn again",
                readmit(ZONE, 6.0),
                OLD,
                (3, (OTHER_ZONE,), {ZONE: 5.0}),
            ),
            (
                "evacuated again",
                evacuate(ZONE),
                NEW,
                (4, (ZONE, OTHER_ZONE), {}),
            ),
        ):
            with self.subTest(name):
                self.assertEqual(self.apply(command), reply)
                self.assertEqual(
                    self.ledger.evacuations, gateway.Evacuations(*expected)
                )
                restored = jobs.Ledger()
                restored.restore(self.ledger.snapshot())
                self.assertEqual(restored.evacuations, self.ledger.evacuations)
                self.assertEqual(restored.snapshot(), self.ledger.snapshot())
        self.assertEqual(len(self.seen), 4)
        self.assertFalse(self.ledger.evacuations.permits(ZONE))

    def test_remembered_readmissions_are_bounded(self) -> None:
        """Guards against a snapshot that grows with each readmission."""
        count = _evacuations.MAX_READMITTED + 1
        for number in range(count):
            domain = base.FailureDomain(f"zone-{number}")
            self.apply(jobs.EvacuateDomain(domain))
            self.apply(jobs.ReadmitDomain(domain, float(number)))
        self.assertEqual(
            list(self.ledger.evacuations.readmitted.values()),
            [float(number) for number in range(1, count)],
        )

    def test_snapshot_of_an_earlier_release(self) -> None:
        """Guards against a store that loses its state in an upgrade."""
        self.ledger.restore(EARLIER_SNAPSHOT)
        self.assertEqual(self.ledger.document, b"three")
        self.assertEqual(self.ledger.evacuations, gateway.Evacuations())
        # Nor can a store of the earlier release lose it in a downgrade.
        self.assertEqual(self.ledger.snapshot(), EARLIER_SNAPSHOT)

    def test_snapshot(self) -> None:
        for command in (
            jobs.DeclareDocument(3, b"three"),
            jobs.NameVersion("m", 2),
            jobs.AcceptJob(samples.make_job("j", model="m")),
            jobs.ListResult("j", samples.make_result("i1")),
            jobs.EndJob("j", samples.ACCOUNT),
            jobs.FreezeWindow(4, {samples.ACCOUNT: 3}),
            jobs.MarkReported(4),
            jobs.RetireInstance(base.InstanceId("10.0.0.1:7000")),
        ):
            self.apply(command)
        other = jobs.Ledger()
        other.restore(self.ledger.snapshot())
        self.assertEqual(other.snapshot(), self.ledger.snapshot())
        self.assertEqual(other.jobs["j"].listed, {"i1"})
        self.assertEqual(other.reported, {4})

    def test_snapshot_after_each_change(self) -> None:
        part = jobs.TextPart("i2", 1, 0, ("a", "b"), (3,))
        commands = (
            jobs.AcceptJob(samples.make_job("j", model="m")),
            jobs.KeepParts("j", (part,)),
            jobs.ListResult("j", samples.make_result("i1")),
            jobs.EndJob("j", samples.ACCOUNT),
            jobs.ListResult("j", samples.make_result("i2")),
            jobs.AcceptJob(samples.make_job("k", model="m")),
            jobs.ForgetJobs(accepted_before=1.0),
        )
        for count, command in enumerate(commands, 1):
            with self.subTest(type(command).__name__, count=count):
                self.apply(command)
                replayed = jobs.Ledger()
                for earlier in commands[:count]:
                    replayed.apply(1, jobs.COMMAND_CODEC.encode(earlier))
                # Guards against stale cached encodings in later snapshots.
                self.assertEqual(self.ledger.snapshot(), replayed.snapshot())
                restored = jobs.Ledger()
                restored.restore(self.ledger.snapshot())
                self.assertEqual(restored.jobs, self.ledger.jobs)

    def test_capture_holds_nothing_of_later_commands(self) -> None:
        """Guards against a snapshot that mixes the states of two moments."""
        part = jobs.TextPart("i2", 1, 0, ("a", "b"), (3,))
        later_part = jobs.TextPart("i2", 1, 2, ("c",), (3,))
        for command in (
            jobs.DeclareDocument(3, b"three"),
            jobs.AcceptJob(samples.make_job("j", model="m")),
            jobs.KeepParts("j", (part,)),
            jobs.AcceptJob(samples.make_job("k", model="m")),
            jobs.FreezeWindow(4, {samples.ACCOUNT: 3}),
        ):
            self.apply(command)
        before = self.ledger.snapshot()
        parts = self.ledger.capture()
        encoded = next(parts)
        for command in (
            jobs.DeclareDocument(4, b"four"),
            jobs.KeepParts("j", (later_part,)),
            jobs.ListResult("j", samples.make_result("i1")),
            jobs.EndJob("k", samples.ACCOUNT),
            jobs.AcceptJob(samples.make_job("l", model="m")),
            jobs.FreezeWindow(5, {samples.ACCOUNT: 3}),
        ):
            self.apply(command)
        encoded += b"".join(parts)
        self.assertEqual(encoded, before)
        # What was encoded late is no cached encoding of the changed jobs.
        restored = jobs.Ledger()
        restored.restore(self.ledger.snapshot())
        self.assertEqual(restored.jobs, self.ledger.jobs)
        self.assertEqual(restored.document, b"four")

    def test_state_is_unchanged_until_all_is_restored(self) -> None:
        """Guards against a state of which a part is missing."""
        for job in ("j", "k"):
            self.apply(jobs.AcceptJob(samples.make_job(job)))
        other = jobs.Ledger()
        for _ in other.restore_slices(self.ledger.snapshot()):
            self.assertEqual(other.jobs, {})
        self.assertEqual(other.jobs, self.ledger.jobs)

    def test_snapshot_encodes_ended_jobs_once(self) -> None:
        self.apply(jobs.AcceptJob(samples.make_job("j")))
        self.apply(jobs.EndJob("j", samples.ACCOUNT))
        record = self.ledger.jobs["j"].encoded_record
        self.ledger.snapshot()
        self.assertIsNotNone(record)
        self.assertIs(self.ledger.jobs["j"].encoded_record, record)

    def test_unknown_bytes(self) -> None:
        reply = jobs.REPLY_CODEC.decode(self.ledger.apply(1, b"\x00"))
        self.assertEqual(reply, jobs.Undecodable())
