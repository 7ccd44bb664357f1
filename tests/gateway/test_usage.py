"""Tests of usage windows and of the clock that delimits them."""

import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway

A = base.AccountId("a")
B = base.AccountId("b")


class UsageTest(unittest.TestCase):
    """Entries report totals of windows; duplicate reports change nothing."""

    def test_windows(self) -> None:
        meter = gateway.UsageMeter(5.0)
        for account, began_at in ((A, 1.0), (A, 4.9), (B, 5.0)):
            meter.count(account, began_at)
        self.assertEqual(
            meter.report(6.0),
            (
                gateway.WindowCounts(0, {A: 2}),
                gateway.WindowCounts(1, {B: 1}),
            ),
        )
        self.assertEqual(meter.report(1_000.0), ())

    def test_totals(self) -> None:
        totals = gateway.UsageTotals()
        first = (gateway.WindowCounts(0, {A: 1}),)
        second = (gateway.WindowCounts(0, {A: 2, B: 1}),)
        totals.replace_counts("entry-1", first)
        totals.replace_counts("entry-1", second)
        totals.replace_counts("entry-1", second)
        totals.replace_counts("entry-2", first)
        self.assertEqual(totals.total(0), {A: 3, B: 1})
        totals.forget_before(1)
        self.assertEqual(totals.total(0), {})

    def test_poll_that_a_relay_delivers_late_lowers_no_count(self) -> None:
        totals = gateway.UsageTotals()
        for count in (1, 9, 1):
            totals.replace_counts(
                "entry-1", [gateway.WindowCounts(0, {A: count})]
            )
        self.assertEqual(totals.total(0), {A: 9})


class _SteppingClock:
    def __init__(self) -> None:
        self.monotonic = 100.0
        self.step_s = 0.0

    def now(self) -> float:
        return self.monotonic

    def wall(self) -> float:
        return 5_000.0 + self.monotonic + self.step_s


class SyncedClockTest(unittest.TestCase):
    """The system clock is read once and corrected only by other machines."""

    def test_clock_step(self) -> None:
        clock = _SteppingClock()
        true_time = gateway.SyncedClock(clock)
        clock.step_s = 2.4
        clock.monotonic += 1.0
        self.assertEqual(true_time.now(), 5_101.0)
        self.assertEqual(true_time.at(100.0), 5_100.0)

    def test_start_during_a_clock_step(self) -> None:
        clock = _SteppingClock()
        clock.step_s = -2.4
        true_time = gateway.SyncedClock(clock)
        true_time.step_to_median([5_100.0, 5_100.1])
        self.assertAlmostEqual(true_time.now(), 5_100.0)

    def test_drift_is_not_corrected(self) -> None:
        true_time = gateway.SyncedClock(_SteppingClock())
        true_time.step_to_median([5_100.2, 5_100.3])
        self.assertEqual(true_time.now(), 5_100.0)
