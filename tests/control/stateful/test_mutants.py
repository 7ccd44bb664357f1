"""Checks that the rules detect every mutant.

Run as a script to print which assertion detects each mutant, and when.
"""

import time
import unittest

from tests.control.stateful import mutants
from tests.control.stateful import rules

EXAMPLES = 400
STEPS = 60


TABLES = (
    (rules.ConfigRules, mutants.CONFIG_MUTANTS),
    (rules.EffectRules, mutants.EFFECT_MUTANTS),
    (rules.SoftRules, mutants.SOFT_MUTANTS),
)


class MutantTest(unittest.TestCase):
    """Each mutant violates an invariant within a fixed search."""

    def test_mutants(self) -> None:
        for searched, table in TABLES:
            for name, mutant in table.items():
                with (
                    self.subTest(name),
                    mutant(),
                    self.assertRaises(AssertionError),
                ):
                    rules.run(searched, EXAMPLES, STEPS)


def main() -> None:
    """Prints the assertion that detects each mutant, and the time it takes."""
    for searched, table in TABLES:
        for name, mutant in table.items():
            began = time.perf_counter()
            caught = "NOT CAUGHT"
            try:
                with mutant():
                    rules.run(searched, EXAMPLES, STEPS)
            except AssertionError as exc:
                caught = str(exc)[:60]
            seconds = time.perf_counter() - began
            print(f"{seconds:6.2f} s  {name}: {caught}")  # noqa: T201


if __name__ == "__main__":
    main()
