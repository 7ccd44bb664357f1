"""Tests which steps of a trainer count as done."""

import unittest

from banyanbank_rollout import _state


class DoneStepsTest(unittest.TestCase):
    """A step that was done is never accepted again."""

    def test_step_that_ends_late(self) -> None:
        kept = _state.MAX_DONE_STEPS
        newest = 3 * kept
        cases = (
            ("in order", ()),
            ("older than all that are kept", (1,)),
            ("just below those that are kept", (newest - kept,)),
            ("several late ones", (3, 1, 2)),
        )
        for name, late in cases:
            with self.subTest(name):
                trainer = _state.TrainerState()
                steps = [n for n in range(newest) if n not in late]
                for step in (*steps, *late):
                    trainer = trainer.with_open_step()
                    trainer = trainer.with_done_step(step, generation=0)
                done = [trainer.is_done(step) for step in range(newest)]
                self.assertEqual(done, [True] * newest)
                self.assertFalse(trainer.is_done(newest))


if __name__ == "__main__":
    unittest.main()
