"""Tests of the choice of the store through which an entry polls."""

import random
import unittest

import banyanbank_base as base
from banyanbank_node import _poll_paths

STORES = tuple(base.InstanceId(f"store-{n}") for n in (1, 2, 3))
LEADER, FIRST, SECOND = STORES


class PollPathsTest(unittest.TestCase):
    """Other stores relay polls while the leader cannot be reached."""

    def setUp(self) -> None:
        self.paths = _poll_paths.PollPaths(random.Random(1))
        self.now = 100.0

    def choose(self) -> _poll_paths.PollPath:
        return self.paths.choose(STORES, self.now)

    def fail(  # type: ignore[override]
        self,
        path: _poll_paths.PollPath,
        leader: base.InstanceId | None = LEADER,
    ) -> None:
        self.paths.record_failure(path, leader, self.now)

    def test_sound_path_to_the_leader_is_kept(self) -> None:
        for _ in range(3):
            self.assertEqual(self.choose(), _poll_paths.DIRECT)
            self.paths.record_answer(_poll_paths.DIRECT, LEADER, 0.5)

    def test_leader_is_tried_again_between_the_other_stores(self) -> None:
        """Guards against waiting for each of the connections that fell silent.

        The one to the leader is found silent, and made anew, first.
        """
        tried = []
        for _ in range(6):
            path = self.choose()
            tried.append(path.relay)
            self.fail(path)
        self.assertEqual(tried[::2], [None, None, None])
        self.assertEqual({tried[1], tried[3]}, {FIRST, SECOND})
        self.assertEqual(self.paths.avoided_leader, LEADER)

    def test_store_that_was_silent_relays_last(self) -> None:
        """Guards against an entry that waits twice for a store that is dark.

        Its time in the failed poll was too short to avoid it in all calls.
        """
        for seed in range(10):
            with self.subTest(seed=seed):
                self.paths = _poll_paths.PollPaths(random.Random(seed))
                path = self.choose()
                self.paths.record_failure(path, LEADER, self.now, {SECOND})
                path = self.choose()
                self.assertEqual(path.relay, FIRST)
                # It is tried once the other one has failed, too.
                self.fail(path)
                self.fail(self.choose())
                self.assertIsNotNone(self.choose().relay)

    def test_store_that_relays_is_kept(self) -> None:
        for _ in range(3):
            self.fail(self.choose())
        path = self.choose()
        for _ in range(5):
            self.paths.record_answer(path, LEADER, 0.5)
            self.assertEqual(self.choose(), path)
        self.assertIsNotNone(path.relay)

    def test_when_the_leader_is_polled_again(self) -> None:
        def answer_of_successor() -> None:
            self.paths.record_answer(self.choose(), SECOND, 0.5)

        def answer_of_the_same_leader() -> None:
            self.paths.record_answer(self.choose(), LEADER, 0.5)

        def pass_time() -> None:
            self.now += _poll_paths.DIRECT_AVOIDANCE_S

        for name, happen, is_direct in (
            ("another store leads", answer_of_successor, True),
            ("it is still relayed", answer_of_the_same_leader, False),
            ("a probe was answered", self.restore, True),
            ("time has passed", pass_time, True),
        ):
            with self.subTest(name):
                self.setUp()
                self.fail(self.choose())
                happen()
                self.assertEqual(self.choose() == _poll_paths.DIRECT, is_direct)

    def restore(self) -> None:
        self.paths.restore_direct()

    def test_slow_paths_get_more_time_until_one_is_fast(self) -> None:
        """Guards against an entry that learns nothing while all are slow."""
        fast, slow = _poll_paths.FAST_RESPONSE_S, _poll_paths.SLOW_RESPONSE_S
        timeouts = []
        for took_s in (None, None, None, 1.2, 1.2, 0.5, None):
            timeouts.append(self.paths.response_timeout_s)
            path = self.choose()
            if took_s is None:
                self.fail(path)
            else:
                self.paths.record_answer(path, LEADER, took_s)
        self.assertEqual(timeouts, [fast, fast, fast, slow, slow, slow, fast])

    def test_unknown_leader_excludes_no_store(self) -> None:
        tried = set()
        for _ in range(2 * len(STORES)):
            path = self.choose()
            tried.add(path.relay)
            self.fail(path, leader=None)
        self.assertEqual(tried, {None, *STORES})

    def test_silent_stores_are_left_out(self) -> None:
        self.fail(self.choose())
        path = self.paths.choose((LEADER, SECOND), self.now)
        self.assertEqual(path.relay, SECOND)

    def test_avoided_leader_is_probed_at_an_interval(self) -> None:
        self.assertIsNone(self.paths.take_probe(self.now))
        self.fail(self.choose())
        self.assertIsNone(self.paths.take_probe(self.now))
        self.now += _poll_paths.PROBE_INTERVAL_S
        self.assertEqual(self.paths.take_probe(self.now), LEADER)
        self.assertIsNone(self.paths.take_probe(self.now))


if __name__ == "__main__":
    unittest.main()
