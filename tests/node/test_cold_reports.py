"""Model of a new leader that missed the announcements of cold endpoints.

Entries with different knowledge ask it for permits until the endpoints announce
again. Leader and entries run the real decisions, as in `test_cold_model`.
"""

import collections
import unittest

import attrs
import banyanbank_gateway as gateway
from banyanbank_node import _leader_permits
from banyanbank_node import _permits

from tests.gateway import samples
from tests.node import test_cold_model

ANNOUNCEMENT_INTERVAL_S = 1.2
TOMBSTONE_TTL_S = 120.0
"""Time for which a directory rejects a life that has ended."""

COLD_PER_S = 13.0
WARM_SEQUENCE = 6
"""Sequence number of the last announcement before the cold states."""

FIRST, SECOND = (
    samples.make_announcement(
        name,
        address=f"10.0.0.{number}:80",
        sequence=WARM_SEQUENCE,
    )
    for number, name in enumerate(("e1", "e2"))
)
NAMES = [FIRST.endpoint, SECOND.endpoint]


def make_cold(target: gateway.Announcement) -> gateway.Announcement:
    """Returns the announcement by which an endpoint became cold."""
    return attrs.evolve(target, sequence=WARM_SEQUENCE + 1, is_cold=True)


@attrs.frozen
class Case:
    """Conditions of a run."""

    views: tuple[tuple[gateway.Announcement, ...], ...]
    """What each kind of entry knows; entries are split evenly."""
    leader_sequence: int = WARM_SEQUENCE
    """Sequence number of the announcement that a new leader knows."""
    has_late_announcements: bool = False
    """Whether announcements from before the cold states reach new leaders."""
    stall_s: float = 0.0
    """See `test_cold_model.Case`."""


class Simulation(test_cold_model.Simulation):
    """Instances around two cold endpoints, with leaders that start ignorant."""

    def __init__(self, case: Case, seed: int) -> None:
        self.knowledge = case
        self.arrivals: collections.defaultdict[str, list[float]] = (
            collections.defaultdict(list)
        )
        self._sequence = WARM_SEQUENCE + 1
        super().__init__(
            test_cold_model.Case(
                65,
                COLD_PER_S,
                tries_per_s=200.0,
                leads_for_s=4.0,
                stall_s=case.stall_s,
            ),
            seed,
        )
        self._views = {
            id(entry): case.views[number % len(case.views)]
            for number, entry in enumerate(self.entries)
        }
        for entry in self.entries:
            self._state_limits(entry)
        self._at(0.0, self._announce)
        self._at(0.0, self._deliver_late)

    def _make_leader(self) -> _leader_permits.LeaderPermits:
        leader = super()._make_leader()
        self._forget(len(self._directories) - 1)
        return leader

    def _forget(self, leader: int) -> None:
        """Has a leader know the endpoints as they were before."""
        directory = self._directories[leader]
        for endpoint in NAMES:
            directory.withdraw(endpoint, self.clock.now(), 0)
        # The tombstones of these lives expire at once.
        directory.expire(self.clock.now() + 2 * TOMBSTONE_TTL_S)
        for target in (FIRST, SECOND):
            known = attrs.evolve(
                target, sequence=self.knowledge.leader_sequence
            )
            directory.apply(known, self.clock.now())

    def _state_limits(self, entry: _permits.RemotePermits) -> None:
        """Has entries ask for an endpoint that they take for warm."""
        for target in self._views[id(entry)]:
            if not target.is_cold:
                entry._limits.known.apply(
                    gateway.LimitObservation(
                        target.endpoint, target.born_ms, 500.0, 1.0
                    )
                )

    def _take_lease(self) -> None:
        super()._take_lease()
        self._colds[self.leader].stop_observing()
        self._forget(self.leader)

    def _announce(self) -> None:
        self._sequence += 1
        for target in (FIRST, SECOND):
            self._hear(
                attrs.evolve(target, sequence=self._sequence, is_cold=True)
            )
        self._at(ANNOUNCEMENT_INTERVAL_S, self._announce)

    def _deliver_late(self) -> None:
        if self.knowledge.has_late_announcements:
            for target in (FIRST, SECOND):
                self._hear(target)
        self._at(0.1, self._deliver_late)

    def _hear(self, announcement: gateway.Announcement) -> None:
        self._directories[self.leader].apply(
            self._colds[self.leader].judge(announcement), self.clock.now()
        )

    async def _send(self, entry: _permits.RemotePermits) -> None:
        targets = list(self._views[id(entry)])
        self.rng.shuffle(targets)
        permit = await entry.acquire(targets, self.clock.now() + 2.0)
        if permit.endpoint is not None:
            self._dial(permit.expires_at, self.arrivals[permit.endpoint])


ONE = (make_cold(FIRST),)
OTHER = (make_cold(SECOND),)
BOTH = (*ONE, *OTHER)
ONE_AND_LIMIT = (*ONE, SECOND)
OTHER_AND_LIMIT = (FIRST, *OTHER)
RESTARTED = tuple(
    attrs.evolve(target, born_ms=target.born_ms + 1, sequence=1)
    for target in BOTH
)

CASES = (
    ("all entries know both", Case((BOTH,)), 0.3),
    ("each knows one", Case((ONE, OTHER)), 0.3),
    ("some know one, some both", Case((ONE, BOTH, OTHER)), 0.3),
    (
        "some take one for warm that states a limit",
        Case((ONE_AND_LIMIT, OTHER_AND_LIMIT, BOTH)),
        0.3,
    ),
    (
        "all take one for warm that states a limit, and dials stall",
        Case((ONE_AND_LIMIT, OTHER_AND_LIMIT), stall_s=2.0),
        0.05,
    ),
    ("the leader knows the life before", Case((RESTARTED,)), 0.1),
    (
        "late announcements from before",
        Case((BOTH, ONE), WARM_SEQUENCE - 1, has_late_announcements=True),
        0.3,
    ),
)
"""Name, conditions, and the least share of the rate that is to be used."""


class MissedAnnouncementTest(unittest.TestCase):
    """Guards against permits without a rate until the next announcement."""

    def test_most_requests_in_any_second(self) -> None:
        for name, case, least_share in CASES:
            for seed in range(2):
                with self.subTest(name, seed=seed):
                    simulation = Simulation(case, seed)
                    simulation.run()
                    for endpoint in NAMES:
                        arrived_at = simulation.arrivals[endpoint]
                        self.assertLessEqual(
                            test_cold_model.count_most_in_second(arrived_at),
                            1.5 * COLD_PER_S + 5,
                        )
                        self.assertGreaterEqual(
                            len(arrived_at),
                            least_share
                            * COLD_PER_S
                            * test_cold_model.SIMULATED_S,
                        )

    def test_first_second_of_leaders(self) -> None:
        """Guards against permits beside what a former leader sent."""
        simulation = Simulation(Case((BOTH, ONE, OTHER)), seed=1)
        simulation.run()
        self.assertGreater(len(simulation.leads_since), 3)
        for since in simulation.leads_since:
            for arrived_at in simulation.arrivals[NAMES[0]]:
                # What the former leader granted arrives within 0.01 s.
                self.assertFalse(since + 0.01 < arrived_at < since + 1.0)


if __name__ == "__main__":
    unittest.main()
