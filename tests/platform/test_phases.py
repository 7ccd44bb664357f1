"""Tests the phases of a start, from logs of processes."""

import pathlib
import tempfile
import unittest

from tests.platform import phases


def make_log(role: str, **times: float) -> phases.MemberLog:
    """Returns a log; two underscores stand for the dot of an event."""
    return phases.MemberLog(
        role, {name.replace("__", "."): at for name, at in times.items()}
    )


class SplitTest(unittest.TestCase):
    """A wrong rank would report the slowest store as the wait of a quorum."""

    def test_phases_end_with_the_event_that_the_next_one_needs(self) -> None:
        logs = [
            make_log("store", log__started=1.3, votes__released=1.31),
            make_log("store", log__started=1.1),
            make_log("store", log__started=1.2, leader__elected=1.4),
            make_log("entry", config__in_force=1.5, log__started=1.0),
        ]
        figures = {
            name: round(value)
            for name, value in phases.split(logs, began_at=1.0).items()
        }
        self.assertEqual(
            figures,
            {
                "first store has read its disk": 100,
                "quorum has read its disks": 200,
                "all stores have read their disks": 300,
                "first store released its vote": 310,
                "leader elected": 400,
                "wait of a quorum for its leader": 200,
                "first entry has a configuration": 500,
            },
        )

    def test_only_the_latest_start_counts(self) -> None:
        earlier = b'{"t": 1.0, "event": "log.started"}\n'
        latest = (
            b"Traceback\n"
            b'{"t": 5.0, "event": "log.started"}\n'
            b'{"t": 6.0, "event": "log.started"}\n'
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log.txt")
            path.write_bytes(earlier + latest)
            log = phases.read_log("store", path, len(earlier))
        self.assertEqual(log.first_times, {"log.started": 5.0})


if __name__ == "__main__":
    unittest.main()
