"""Checks the invariants of control under random orders of events.

Longer searches run from the command line:
    python -m tests.control.stateful.test_promises --seed 7 --examples 2000
"""

import argparse
import unittest

import hypothesis

from tests.control.stateful import rules

_PHASES = (hypothesis.Phase.generate, hypothesis.Phase.shrink)


class PromisesTest(unittest.TestCase):
    """A fixed search that finds no violated invariant."""

    def test_promises(self) -> None:
        for searched in rules.ALL:
            with self.subTest(searched.__name__):
                steps = 30 if searched is rules.SoftRules else 60
                rules.run(searched, 60, steps, phases=_PHASES)


def main() -> None:
    """Runs searches with settings from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=500)
    parser.add_argument("--steps", type=int, default=100)
    args = parser.parse_args()
    for searched in rules.ALL:
        rules.run(searched, args.examples, args.steps, args.seed, _PHASES)


if __name__ == "__main__":
    main()
