"""Tests when the duties of a leader continue and when they stop."""

import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_consensus as consensus
from twisted.internet import task

TICK_S = 0.05


class RecordingDuty:
    """A duty that records its calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def tick(self) -> None:
        """Records a tick; consecutive ticks count once."""
        if self.calls[-1:] != ["tick"]:
            self.calls.append("tick")

    def stop(self) -> None:
        self.calls.append("stop")


class LeaderLoopTest(unittest.TestCase):
    """Calls of duties as the lease and the leadership change."""

    def test_lapse(self) -> None:
        leads, lapsed, follows = (True, True), (True, False), (False, False)
        for name, phases, expected_calls, expected_lasting_calls in (
            (
                "the lease lapses and is held again",
                [(leads, 3), (lapsed, 3), (leads, 3)],
                ["tick", "stop", "tick"],
                ["tick"],
            ),
            (
                "another instance leads",
                [(leads, 3), (follows, 3)],
                ["tick", "stop"],
                ["tick", "stop"],
            ),
            (
                "the lease lapses, then another instance leads",
                [(leads, 3), (lapsed, 3), (follows, 3)],
                ["tick", "stop"],
                ["tick", "stop"],
            ),
            (
                "leads again in a later epoch, its loss of the lead unseen",
                [(leads, 3), (lapsed, 3), (leads, 5)],
                ["tick", "stop", "tick"],
                ["tick", "stop", "tick"],
            ),
            ("never leads", [(follows, 3), (lapsed, 4)], [], []),
        ):
            with self.subTest(name):
                reactor = task.Clock()
                log = types.SimpleNamespace(tick=lambda: None, failure=None)
                duties = RecordingDuty(), RecordingDuty()
                loop = consensus.LeaderLoop(
                    reactor,
                    typing.cast(typing.Any, log),
                    base.MemoryRecorder(
                        base.InstanceId("i"), base.ManualClock()
                    ),
                    (duties[0],),
                    self.fail,
                    lapse_tolerant_duties=(duties[1],),
                )
                is_started = False
                for (is_leader, is_held), epoch in phases:
                    log.is_leader, log.epoch = is_leader, epoch
                    log.lease_held = lambda is_held=is_held: is_held
                    if not is_started:
                        loop.start()
                        is_started = True
                    reactor.advance(TICK_S)
                self.assertEqual(duties[0].calls, expected_calls)
                self.assertEqual(duties[1].calls, expected_lasting_calls)
                loop.stop()
                self.assertEqual(
                    duties[1].calls[-1:], expected_lasting_calls and ["stop"]
                )


if __name__ == "__main__":
    unittest.main()
