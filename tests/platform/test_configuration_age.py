"""Tests of the age of the configuration that entries act on."""

import pathlib
import shutil
import tempfile
import unittest

from tests.platform import configuration_age


class ConfigurationAgeTest(unittest.TestCase):
    """Acknowledged changes are in force at every entry in time."""

    def test_entry_cut_from_leader_runs_moved_route_at_old_service(
        self,
    ) -> None:
        """Guards against an entry that only the leader tells of a change."""
        self._play("path to the leader silent")

    def test_entries_with_one_way_or_slow_path_act_on_old_configuration(
        self,
    ) -> None:
        """Guards against the same with polls or answers that pass."""
        self._play("each path to the leader harmed")

    def _play(self, case: str) -> None:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="configuration-age-"))
        report = configuration_age.play_case(case, folder)
        shown = f"{configuration_age.format_report(report)}  logs {folder}"
        self.assertGreater(report.acknowledged_under_fault, 0, shown)
        self.assertFalse(report.breaches, shown)
        shutil.rmtree(folder)


if __name__ == "__main__":
    unittest.main()
