"""Tests of when a leader may act on engines and the platform."""

import random
import unittest

import attrs
import banyanbank_base as base
from banyanbank_node import _action_guard

LEASE_S = 3.0


@attrs.define
class FakeLog:
    """Fake log of one instance."""

    epoch: int = 0
    """Number of the leadership."""
    is_held: bool = False
    """Whether the lease is held."""

    def lease_held(self) -> bool:
        """Returns whether the lease is held."""
        return self.is_held


class ActionGuardTest(unittest.TestCase):
    """An instance acts only in its own epoch and waits between two epochs."""

    def test_courses(self) -> None:
        # Steps: elapsed seconds, epoch, whether the lease is held, and whether
        # an action of that epoch is permitted.
        for name, is_fenced, steps in (
            (
                "first epoch, tokens are checked",
                True,
                [(0.0, 1, True, True), (0.1, 1, True, True)],
            ),
            (
                "first epoch after a start, tokens are not checked",
                False,
                [(0.0, 1, True, False), (3.0, 1, True, True)],
            ),
            (
                "no lease",
                True,
                [(9.0, 1, False, False), (0.1, 1, True, True)],
            ),
            (
                "re-elected immediately",
                True,
                [
                    (9.0, 1, True, True),
                    (1.0, 3, True, False),
                    (2.1, 3, True, True),
                    (0.0, 3, True, True),
                ],
            ),
            (
                "re-elected after the lease duration",
                False,
                [(9.0, 1, True, True), (5.0, 4, True, True)],
            ),
            (
                "led without acting, then re-elected",
                True,
                [
                    (9.0, 1, True, True),
                    (2.0, 3, True, False),
                    (1.1, 5, True, True),
                ],
            ),
        ):
            clock = base.ManualClock(100.0)
            log = FakeLog()
            guard = _action_guard.ActionGuard(
                clock, log, _action_guard.HandoverRules(LEASE_S, is_fenced)
            )
            for number, (elapsed_s, epoch, is_held, is_permitted) in enumerate(
                steps
            ):
                clock.advance(elapsed_s)
                log.epoch, log.is_held = epoch, is_held
                with self.subTest(name, step=number):
                    self.assertEqual(guard.make_permit(epoch)(), is_permitted)

    def test_permission_of_an_earlier_epoch(self) -> None:
        clock = base.ManualClock(100.0)
        log = FakeLog(1, is_held=True)
        guard = _action_guard.ActionGuard(
            clock, log, _action_guard.HandoverRules(LEASE_S)
        )
        permit = guard.make_permit(1)
        log.epoch = 2
        self.assertFalse(permit())

    def test_no_two_instances_act_in_turn(self) -> None:
        """Random changes of leader and restarts; tokens are not checked."""
        for seed in range(200):
            rng = random.Random(seed)
            clock = base.ManualClock(100.0)
            logs = [FakeLog() for _ in range(3)]
            rules = _action_guard.HandoverRules(LEASE_S, is_fenced=False)
            guards = [
                _action_guard.ActionGuard(clock, log, rules) for log in logs
            ]
            actions: list[tuple[float, int, int]] = []
            for epoch in range(1, 60):
                leader = rng.randrange(len(logs))
                if rng.random() < 0.2:
                    # A restart loses the record of earlier actions.
                    guards[leader] = _action_guard.ActionGuard(
                        clock, logs[leader], rules
                    )
                for number, log in enumerate(logs):
                    log.epoch, log.is_held = epoch, number == leader
                for _ in range(rng.randrange(1, 12)):
                    if guards[leader].make_permit(epoch)():
                        actions.append((clock.now(), leader, epoch))
                    clock.advance(rng.choice((0.05, 0.3, 1.0)))
            self.assertEqual(_find_violations(actions), [], f"seed {seed}")
            self.assertGreater(len({action[1] for action in actions}), 1)


def _find_violations(actions: list[tuple[float, int, int]]) -> list[object]:
    """Returns decreasing tokens and alternations within the lease duration."""
    found: list[object] = []
    for first, (at, holder, token) in enumerate(actions):
        others = 0
        for later, other, newer in actions[first + 1 :]:
            if newer < token:
                found.append(("lower token", at, later))
            if later - at >= LEASE_S:
                break
            if other != holder:
                others += 1
            elif others:
                found.append(("in turn", holder, at, later))
                break
    return found


if __name__ == "__main__":
    unittest.main()
