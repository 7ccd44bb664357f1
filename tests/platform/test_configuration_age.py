"""Tests of the age of the configuration that entries act on."""

import pathlib
import tempfile
import unittest

from tests.platform import configuration_age


class ConfigurationAgeTest(unittest.TestCase):
    """Acknowledged changes are in force at every entry in time."""

    def test_entry_cut_from_leader_runs_moved_route_at_old_service(
        self,
    ) -> None:
        with tempfile.TemporaryDirectory() as folder:
            report = configuration_age.play_case(
                "path to the leader silent", pathlib.Path(folder)
            )
        self.assertGreater(report.acknowledged_under_fault, 0)
        self.assertEqual(report.breaches, [])


if __name__ == "__main__":
    unittest.main()
