"""Each injected fault must be detected, and none without injection."""

import unittest

from tests.consensus import fuzz
from tests.consensus import mutants
from tests.consensus import scenarios


class MutantsTest(unittest.TestCase):
    """Guards against checks that cannot fail."""

    def test_each_mutant_is_caught(self) -> None:
        for mutant in mutants.MUTANTS:
            with self.subTest(mutant=mutant.name):
                self.assertIsNotNone(mutants.find_detection(mutant))

    def test_each_scenario_passes_without(self) -> None:
        for scenario in scenarios.SCENARIOS:
            for initial in scenarios.INITIAL_VOTERS:
                with self.subTest(scenario=scenario.name, initial=initial):
                    fuzz.run_trace(1, scenario.trace, initial)


if __name__ == "__main__":
    unittest.main()
