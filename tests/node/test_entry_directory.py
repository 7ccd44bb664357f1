"""Tests of the directory that an entry follows."""

import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _entry_directory
from banyanbank_node import _messages

from tests.gateway import samples
from tests.node import test_entry_sync

POLL_S = 0.5
POLLS_PER_ANNOUNCEMENT = 3
"""An endpoint announces itself less often than entries poll."""

OLD = samples.make_announcement("e1", sequence=4)
COLD = attrs.evolve(OLD, sequence=5, is_cold=True)
ELSEWHERE = samples.make_announcement("e2", address="10.0.0.2:80")


class LostAnnouncementTest(unittest.TestCase):
    """A new leader that missed the announcement of a cold endpoint."""

    def poll_often(
        self, known: gateway.Announcement, is_cold: bool, is_alive: bool = True
    ) -> tuple[list[bool], int]:
        """Polls a leader as an entry that knows an announcement.

        Args:
            known: What the entry knows.
            is_cold: Whether the endpoint says so in its next announcements.
            is_alive: Whether there are any.

        Returns:
            Whether the entry takes the endpoint for cold after each poll, and
            how often the leader sent its directory.
        """
        entry = _entry_directory.EntryDirectory(
            typing.cast(
                typing.Any, types.SimpleNamespace(write=lambda *_, **__: None)
            )
        )
        leader = gateway.Directory()
        leader.apply(OLD, 100.0)
        leader.apply(ELSEWHERE, 100.0)
        entry.directory.apply(known, 99.0)
        states, sent = [], 0
        for number in range(4 * POLLS_PER_ANNOUNCEMENT):
            now = 100.0 + number * POLL_S
            if is_alive and number % POLLS_PER_ANNOUNCEMENT == 2:
                announced = attrs.evolve(
                    OLD, sequence=6 + number, is_cold=is_cold
                )
                leader.apply(announced, now)
            part = None
            if entry.revision != leader.revision:
                sent += 1
                part = _messages.CODEC.encode(
                    _messages.DirectoryPart(tuple(leader.all()), ())
                )
            answer = attrs.evolve(
                test_entry_sync.make_answer(7),
                directory=part,
                directory_revision=leader.revision,
            )
            entry.apply(answer, now)
            newest = entry.directory.get(base.EndpointId("e1"))
            states.append(newest is not None and newest.is_cold)
        return states, sent

    def test_entry_that_knows_the_cold_state(self) -> None:
        """Guards against an endpoint that an entry takes for cold for good.

        Such an endpoint comes after all others, so the entry never asks the
        leader for a permit, which would tell.
        """
        for name, known, is_cold, is_alive, lasts, sent in (
            ("warm by now", COLD, False, True, 4, 2),
            ("marked by the former leader", OLD, False, True, 4, 2),
            ("still cold", COLD, True, True, 12, 2),
            ("no announcement yet", COLD, False, False, 12, 3),
        ):
            with self.subTest(name):
                states, times_sent = self.poll_often(
                    attrs.evolve(known, is_cold=True), is_cold, is_alive
                )
                self.assertEqual(
                    states, [True] * lasts + [False] * (12 - lasts)
                )
                self.assertEqual(times_sent, sent)

    def test_entry_that_takes_all_for_warm(self) -> None:
        """Guards against directories that are sent without a need."""
        for name, known, is_cold, sent in (
            ("nothing is cold", OLD, False, 1),
            ("becomes cold", OLD, True, 2),
        ):
            with self.subTest(name):
                states, times_sent = self.poll_often(known, is_cold)
                self.assertEqual(any(states), is_cold)
                self.assertEqual(times_sent, sent)


if __name__ == "__main__":
    unittest.main()
