"""Tests of when a peer is dialled again."""

import random
import unittest

from banyanbank_mesh import _peer
from banyanbank_mesh import _sockets

REACHED_S = 2.0
"""Seconds after a cut in which a peer is reached again: the users' platform
expects an instance to follow 3 s after the cut, and a poll takes up to one."""

RESENT_S = (0.0, 1.0, 3.0, 7.0, 15.0)
"""Seconds after the first one at which TCP sends an opening packet again."""


class CutTest(unittest.TestCase):
    """A peer is reached soon after a cut, however long it was."""

    def test_silent_cuts(self) -> None:
        """Opening packets are lost, so that a dial ends by its limit."""
        rng = random.Random(5)
        for number in range(2000):
            backoff = _peer.Backoff(rng)
            heals_at = rng.uniform(0.1, 40.0)
            with self.subTest(number=number, heals_at=heals_at):
                late_s = _reached_at(backoff, heals_at) - heals_at
                self.assertLess(late_s, REACHED_S)

    def test_peer_that_is_down(self) -> None:
        """Dials are refused at once."""
        rng = random.Random(6)
        for number in range(200):
            backoff = _peer.Backoff(rng)
            up_at = rng.uniform(0.1, 40.0)
            with self.subTest(number=number, up_at=up_at):
                now = 0.0
                while now < up_at:
                    backoff.failed(now)
                    now = backoff.not_before
                self.assertLess(now - up_at, REACHED_S)


def _reached_at(backoff: _peer.Backoff, heals_at: float) -> float:
    now = 0.0
    while True:
        for pause_s in RESENT_S:
            at = now + pause_s
            if at >= heals_at and pause_s < _sockets.CONNECT_LIMIT_S:
                return at
        now += _sockets.CONNECT_LIMIT_S
        backoff.failed(now)
        now = backoff.not_before
