"""Tests which requests wait for the first configuration of an entry."""

import unittest

from banyanbank_node import _startup_wait

STARTED_AT = 100.0
EXPECTED_UNTIL = STARTED_AT + _startup_wait.STARTUP_WAIT_S


class StartupWaitTest(unittest.TestCase):
    """Callers that return before the stores have elected a leader."""

    def test_waiting_requests(self) -> None:
        full = _startup_wait.MAX_WAITING_REQUESTS
        cases = (
            ("right after the start", 100.0, 200.0, 0, EXPECTED_UNTIL),
            ("deadline comes first", 100.0, 100.1, 0, 100.1),
            ("deadline has passed", 100.2, 100.1, 0, None),
            ("no longer expected", EXPECTED_UNTIL, 200.0, 0, None),
            ("one more place", 100.0, 200.0, full - 1, EXPECTED_UNTIL),
            ("too many wait", 100.0, 200.0, full, None),
        )
        wait = _startup_wait.start_wait(STARTED_AT)
        for name, now, deadline, waiting, expected in cases:
            with self.subTest(name):
                self.assertEqual(
                    wait.get_wait_deadline(now, deadline, waiting), expected
                )


if __name__ == "__main__":
    unittest.main()
