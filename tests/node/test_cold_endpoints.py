"""Tests of which endpoints a store takes for cold."""

import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _cold_endpoints
from banyanbank_node import _messages

from tests.gateway import samples
from tests.node import test_cold_model

WARM = samples.make_announcement("e1")
COLD = attrs.evolve(WARM, is_cold=True)
READMITTED = {WARM.domain: 100.0}


class ColdEndpointsTest(unittest.TestCase):
    """Announcements, configuration and readmissions taken together."""

    def setUp(self) -> None:
        self.clock = base.ManualClock(100.2)
        self.true_time = gateway.SyncedClock(self.clock)
        self.true_time.set_time(100.2)
        self.directory = gateway.Directory()
        self.events: list[tuple[str, str]] = []
        self.counts: list[int] = []
        self.node = types.SimpleNamespace(leader="s1")
        self.stored = types.SimpleNamespace(
            table=None, ledger=jobs.Ledger(), node=self.node
        )
        self.cold = _cold_endpoints.ColdEndpoints(
            self.clock,
            self.true_time,
            typing.cast(typing.Any, self.stored),
            self.directory,
            typing.cast(
                typing.Any, types.SimpleNamespace(write=self._write_event)
            ),
            typing.cast(
                typing.Any,
                types.SimpleNamespace(
                    cold_endpoints=types.SimpleNamespace(set=self.counts.append)
                ),
            ),
        )

    def _write_event(self, event: str, **fields: typing.Any) -> None:
        self.events.append((event, fields["endpoint"]))

    def configure(self, cold_per_s: float) -> None:
        document = test_cold_model.make_document(cold_per_s)
        self.stored.table = gateway.RouteTable(document)

    def test_announcements(self) -> None:
        """Guards against a cold state where the configuration states none."""
        for name, cold_per_s, announcement, readmitted, is_sent, is_cold in (
            ("cold", 13.0, COLD, {}, True, True),
            ("warm", 13.0, WARM, {}, False, False),
            ("no rate", 0.0, COLD, {}, False, False),
            ("readmitted", 13.0, WARM, READMITTED, False, True),
            ("readmitted, no rate", 0.0, WARM, READMITTED, False, False),
        ):
            with self.subTest(name):
                self.setUp()
                self.configure(cold_per_s)
                self.stored.ledger.evacuations = gateway.Evacuations(
                    readmitted=readmitted
                )
                sent = self.cold.drop_unused(announcement)
                self.assertEqual(sent.is_cold, is_sent)
                judged = self.cold.judge(sent)
                self.assertEqual(judged.is_cold, is_cold)
                self.directory.apply(judged, self.clock.now())
                self.assertEqual(
                    self.cold.find_rate(WARM), cold_per_s if is_cold else None
                )

    def test_announcements_before_the_document_is_known(self) -> None:
        """Guards against a full load after a common restart.

        Endpoints announce that they are cold before stores have replayed their
        logs, and announce again only 1.2 s later.
        """
        for name, old_rate, leader, rate, is_cold in (
            ("no document yet", None, "s1", 13.0, True),
            ("no leader, old document", 0.0, None, 13.0, True),
            ("no leader, no rate", 0.0, None, 0.0, False),
        ):
            with self.subTest(name):
                self.setUp()
                self.node.leader = leader
                if old_rate is not None:
                    self.configure(old_rate)
                sent = self.cold.drop_unused(COLD)
                self.directory.apply(self.cold.judge(sent), self.clock.now())
                self.configure(rate)
                # The call to the leader arrives once one is elected.
                self.directory.apply(self.cold.judge(sent), self.clock.now())
                self.assertEqual(
                    self.cold.find_rate(WARM), rate if is_cold else None
                )

    def test_readmission_of_known_endpoints(self) -> None:
        """Guards against a full load on endpoints that announced before it."""
        self.configure(13.0)
        elsewhere = samples.make_announcement(
            "e2", domain=base.FailureDomain("b"), address="10.0.0.2:80"
        )
        for announcement in (WARM, elsewhere):
            self.directory.apply(announcement, now=99.0)
        self.stored.ledger.evacuations = gateway.Evacuations(
            readmitted=READMITTED
        )
        for is_change in (True, False):
            self.assertEqual(self.cold.apply_readmissions(), is_change)
            self.assertEqual(self.cold.find_rate(WARM), 13.0)
            self.assertIsNone(self.cold.find_rate(elsewhere))
            self.assertEqual(self.directory.revision, 3)
        for since_s, sequence, want in ((1.4, 5, 13.0), (1.5, 6, None)):
            self.true_time.set_time(100.0 + since_s)
            later = attrs.evolve(WARM, sequence=sequence)
            self.directory.apply(self.cold.judge(later), self.clock.now())
            self.assertEqual(self.cold.find_rate(WARM), want)

    def test_reports(self) -> None:
        """Guards against endpoints that a new leader takes for warm.

        The lease began at 100.0; the leader's announcement has number 4, and
        another one arrives after the report.
        """
        for name, rate, heard_at, reported, next_key, want, want_next in (
            ("heard before", 13.0, 99.0, (1_000, 3), (1_000, 5), 13.0, None),
            ("newer", 13.0, 100.0, (1_000, 3), (1_000, 5), None, None),
            ("the same", 13.0, 100.0, (1_000, 4), (1_000, 5), 13.0, None),
            ("older", 13.0, 100.0, (1_000, 9), (1_000, 8), 13.0, 13.0),
            ("life before", 13.0, 100.0, (1_001, 1), (1_000, 8), 13.0, 13.0),
            ("life after", 13.0, 100.0, (999, 9), (1_000, 8), None, None),
            ("no rate", 0.0, 99.0, (1_000, 9), (1_000, 8), None, None),
            ("unknown", 13.0, None, (1_000, 3), (1_000, 5), None, None),
        ):
            with self.subTest(name):
                self.setUp()
                self.configure(rate)
                if heard_at is not None:
                    self.directory.apply(self.cold.judge(WARM), heard_at)
                report = gateway.ColdReport(WARM.endpoint, *reported)
                # A newer announcement is sent to the entry once.
                is_refuted = name in ("newer", "life after")
                for is_change in (want is not None or is_refuted, False):
                    self.assertEqual(
                        self.cold.apply_reports([report], 100.0), is_change
                    )
                self.assertEqual(self.cold.find_rate(WARM), want)
                self.assertEqual(len(self.directory), heard_at is not None)
                later = attrs.evolve(
                    WARM, born_ms=next_key[0], sequence=next_key[1]
                )
                self.directory.apply(self.cold.judge(later), 100.5)
                self.assertEqual(self.cold.find_rate(WARM), want_next)

    def test_entry_that_reports_a_warm_endpoint(self) -> None:
        """Guards against an endpoint that an entry takes for cold for good.

        A new leader that knows an older announcement sends it to the entry,
        which ignores it. The next one changes nothing at the leader.
        """
        self.configure(13.0)
        entry = gateway.Directory()
        entry.apply(attrs.evolve(COLD, sequence=5), 99.0)
        self.directory.apply(WARM, 99.0)
        seen_revision = self.directory.revision
        later = attrs.evolve(WARM, sequence=6)
        self.directory.apply(self.cold.judge(later), 100.5)
        self.assertEqual(self.directory.revision, seen_revision)
        report = gateway.ColdReport(WARM.endpoint, WARM.born_ms, 5)
        # Further requests may follow before the entry's next poll.
        for is_change in (True, False):
            self.assertEqual(
                self.cold.apply_reports([report], 100.0), is_change
            )
        self.assertNotEqual(self.directory.revision, seen_revision)
        for announcement in self.directory.all():
            entry.apply(announcement, 100.6)
        (known,) = entry.all()
        self.assertFalse(known.is_cold)
        self.assertIsNone(self.cold.find_rate(WARM))

    def test_reports_of_several_entries(self) -> None:
        """Guards against the older of two reports deciding."""
        self.configure(13.0)
        self.directory.apply(WARM, 99.0)
        for sequence in (9, 7):
            report = gateway.ColdReport(WARM.endpoint, WARM.born_ms, sequence)
            self.cold.apply_reports([report], 100.0)
        for sequence, want in ((8, 13.0), (10, None)):
            later = attrs.evolve(WARM, sequence=sequence)
            self.directory.apply(self.cold.judge(later), 100.5)
            self.assertEqual(self.cold.find_rate(WARM), want)

    def test_log(self) -> None:
        self.configure(13.0)
        for announcement in (COLD, attrs.evolve(COLD, sequence=5)):
            self.directory.apply(announcement, now=100.0)
            self.assertEqual(list(self.cold.observe()), ["e1"])
        self.directory.apply(attrs.evolve(WARM, sequence=6), now=100.0)
        self.assertEqual(list(self.cold.observe()), [])
        self.assertEqual(
            self.events, [("endpoint.cold", "e1"), ("endpoint.warm", "e1")]
        )
        self.assertEqual(self.counts, [1, 0])

    def test_messages_to_earlier_releases(self) -> None:
        """Guards against a field that an earlier release cannot read."""
        for announcement, is_named in ((WARM, False), (COLD, True)):
            part = _messages.DirectoryPart((announcement,), ())
            for message in (announcement, part):
                data = _messages.CODEC.encode(message)
                self.assertEqual(b"is_cold" in data, is_named)
                self.assertEqual(_messages.CODEC.decode(data), message)


if __name__ == "__main__":
    unittest.main()
