"""Tests of routing, health, prefix cache estimates and queue ownership."""

import collections
import random

import banyanbank_base as base
import banyanbank_dispatch as dispatch
from banyanbank_dispatch import _prefix

from tests.dispatch import _case

E1, E2, E3 = (base.EndpointId(name) for name in ("e1", "e2", "e3"))
Z1 = base.FailureDomain("z1")


class RouterTest(_case.DispatchCase):
    """The router picks the eligible endpoint with the least expected delay."""

    def setUp(self) -> None:
        super().setUp()
        self.router = dispatch.Router(Z1, random.Random(1))

    def _choose(
        self, query: dispatch.RouteQuery, *candidates: dispatch.Candidate
    ) -> str:
        return self.router.choose(query, candidates, 1.0).unwrap().endpoint_id

    def test_choice_of_two(self) -> None:
        default_query = dispatch.RouteQuery()
        prefix_query = dispatch.RouteQuery(blocks=("p",), prefix_tokens=500.0)
        version_query = dispatch.RouteQuery(min_version=base.WeightVersion(2))
        table = [
            ("load", default_query, {"load_tokens": 9.0}, {}),
            ("domain", default_query, {"failure_domain": "z2"}, {}),
            ("leaving", default_query, {"leaving": True}, {"load_tokens": 9.0}),
            ("version", version_query, {"version": 1}, {"version": 2}),
            (
                "safe",
                dispatch.RouteQuery(exclude_reclaimable=True),
                {"reclaimable": True},
                {"load_tokens": 9.0},
            ),
            (
                "excluded",
                dispatch.RouteQuery(avoided=frozenset({E1})),
                {},
                {"load_tokens": 9.0},
            ),
            ("cache", prefix_query, {}, {"load_tokens": 300.0}),
            (
                "load decides without cache",
                prefix_query,
                {"load_tokens": 3.0},
                {"load_tokens": 2.0},
            ),
        ]
        for name, query, first, second in table:
            self.router.prefixes.remove_endpoint(E2)
            if name == "cache":
                self.router.prefixes.note_sent(E2, ("p",), 1.0)
            with self.subTest(name):
                chosen = self._choose(
                    query,
                    _case.candidate("e1", **first),
                    _case.candidate("e2", **second),
                )
                self.assertEqual(chosen, E2)

    def test_popular_prefix_is_spread(self) -> None:
        query = dispatch.RouteQuery(100.0, blocks=("p",), prefix_tokens=200.0)
        candidates = [_case.candidate(name) for name in ("e1", "e2", "e3")]
        counts: collections.Counter[str] = collections.Counter()
        for number in range(300):
            rid = base.RequestId(f"r{number}")
            chosen = self.router.choose(query, candidates, 1.0).unwrap()
            self.router.note_sent(rid, chosen.endpoint_id, query, 1.0)
            counts[chosen.endpoint_id] += 1
        self.assertLess(max(counts.values()), 120)

    def test_refuses_without_candidates(self) -> None:
        answer = self.router.choose(
            dispatch.RouteQuery(), [_case.candidate("e1", leaving=True)], 1.0
        )
        self.assert_refused(answer, base.RefusalReason.NO_ENDPOINT)

    def test_own_requests_count_until_reported(self) -> None:
        query = dispatch.RouteQuery(50.0)
        self.router.note_sent(base.RequestId("r"), E1, query, 1.0)
        for reported_at, expected in ((0.5, 0.05), (1.5, 0.0)):
            view = _case.candidate("e1", reported_at=reported_at)
            delay = self.router.expected_delay(query, view, 2.0)
            self.assertAlmostEqual(delay, expected)
        self.router.note_done(base.RequestId("r"), E1, True, 2.0)
        view = _case.candidate("e1")
        self.assertEqual(self.router.expected_delay(query, view, 2.0), 0.0)


class HealthTest(_case.DispatchCase):
    """Failing endpoints are ejected temporarily and ramped up again."""

    def setUp(self) -> None:
        super().setUp()
        self.health = dispatch.HealthTracker()

    def _record_failures(
        self, endpoint_id: base.EndpointId, now: float
    ) -> None:
        for _ in range(3):
            self.health.record_outcome(endpoint_id, False, now)

    def test_ejection_and_return(self) -> None:
        self._record_failures(E1, 0.0)
        table = [(0.1, 0.0), (1.9, 0.0), (2.0, 0.1), (7.0, 0.5), (12.0, 1.0)]
        for now, weight in table:
            with self.subTest(now=now):
                self.assertAlmostEqual(self.health.weight(E1, now), weight)

    def test_failure_on_return_ejects_for_longer(self) -> None:
        self._record_failures(E1, 0.0)
        self.health.record_outcome(E1, False, 3.0)
        self.assertEqual(self.health.weight(E1, 6.9), 0.0)
        self.assertGreater(self.health.weight(E1, 7.1), 0.0)

    def test_success_clears_failures(self) -> None:
        for ok in (False, False, True, False, False):
            self.health.record_outcome(E1, ok, 0.0)
        self.assertEqual(self.health.weight(E1, 0.0), 1.0)

    def test_minimum_stays_in_service(self) -> None:
        for eid in (E1, E2, E3):
            self._record_failures(eid, 0.0)
        for pool in ([E1], [E1, E2], [E1, E2, E3]):
            weights = self.health.weights(pool, 0.5)
            serving = sum(weight > 0 for weight in weights.values())
            self.assertGreaterEqual(serving, len(pool) / 2)


def batch(
    first: int, *events: tuple[str, bool], incarnation: int = 1
) -> dispatch.CacheBatch:
    """Returns cache events of engine E1."""
    return dispatch.CacheBatch(
        E1,
        base.Incarnation(incarnation),
        first,
        tuple(dispatch.CacheEvent(block, stored) for block, stored in events),
    )


class PrefixTest(_case.DispatchCase):
    """Cache estimates stay correct with late, duplicate and lost events."""

    def setUp(self) -> None:
        super().setUp()
        self.index = dispatch.PrefixIndex()

    def test_events(self) -> None:
        # Name, batch, and the blocks considered cached after it.
        table = [
            ("first", batch(1, ("p", True), ("q", True)), "pq"),
            ("duplicate batch", batch(1, ("p", True), ("q", False)), "pq"),
            ("overlapping", batch(2, ("q", False), ("r", True)), "pqr"),
            ("evicted", batch(4, ("p", False), ("s", True)), "qrs"),
            ("one lost", batch(7, ("t", True)), "rst"),
            ("late", batch(6, ("q", True)), "rst"),
            ("end lost", batch(10), "t"),
            ("many lost", batch(10**9, ("u", True)), "u"),
            ("new incarnation", batch(0, ("v", True), incarnation=2), "v"),
            ("old incarnation", batch(10**9 + 1, ("w", True)), "v"),
        ]
        for name, cache_batch, held in table:
            with self.subTest(name):
                self.index.apply(cache_batch, 0.0)
                found = [
                    block
                    for block in "pqrstuvw"
                    if self.index.confidence(E1, block, 0.0)
                ]
                self.assertEqual("".join(found), held)
        self.assertEqual(self.index.confidence(E1, "v", 60.0), 0.5)

    def test_use_delays_eviction(self) -> None:
        self.index.apply(batch(1, ("p", True), ("q", True)), 0.0)
        self.index.note_sent(E1, ("p",), 0.0)
        self.index.apply(batch(4), 0.0)
        self.assertEqual(self.index.held(E1, ("p",), 0.0), 1)
        self.assertEqual(self.index.held(E1, ("q",), 0.0), 0)

    def test_cached_share_counts_leading_blocks(self) -> None:
        self.assertIsNone(self.index.held(E1, ("p",), 0.0))
        self.index.apply(batch(1, ("p", True), ("r", True)), 0.0)
        self.index.note_sent(E1, ("s",), 0.0)
        table = [
            ("p", 1.0, 1),
            ("sp", 0.8, 2),
            ("pq", 0.5, 1),
            ("pqr", 1 / 3, 1),
            ("qr", 0, 0),
        ]
        for blocks, share, held in table:
            with self.subTest(blocks):
                found = self.index.cached_share(E1, tuple(blocks), 0.0)
                self.assertAlmostEqual(found, share)
                self.assertEqual(self.index.held(E1, tuple(blocks), 0.0), held)

    def test_learn_keeps_blocks_sent_since_request(self) -> None:
        self.index.note_sent(E1, ("p", "q"), 1.0)
        self.index.note_sent(E1, ("r",), 2.0)
        self.index.merge_report(E1, ("p", "q", "r"), 1, 2.0)
        found = [self.index.confidence(E1, block, 2.0) for block in "pqr"]
        self.assertEqual(found, [1.0, 0.0, 0.8])

    def test_memory_is_bounded(self) -> None:
        for number in range(2 * _prefix.MAX_TRACKED_BLOCKS):
            self.index.note_sent(E1, (f"b{number}",), 0.0)
        held = sum(
            self.index.confidence(E1, f"b{number}", 0.0) > 0
            for number in range(2 * _prefix.MAX_TRACKED_BLOCKS)
        )
        self.assertEqual(held, _prefix.MAX_TRACKED_BLOCKS)


class OwnershipTest(_case.DispatchCase):
    """Each endpoint has one owner, which changes only if that owner leaves."""

    def test_owner(self) -> None:
        members = [base.InstanceId(f"i{number}") for number in range(8)]
        endpoints = [base.EndpointId(f"e{number}") for number in range(200)]
        owners = {e: dispatch.rendezvous_owner(e, members) for e in endpoints}
        self.assertIsNone(dispatch.rendezvous_owner(E1, []))
        removed_member = members[3]
        remaining = [m for m in reversed(members) if m != removed_member]
        for endpoint, owner in owners.items():
            after = dispatch.rendezvous_owner(endpoint, remaining)
            if owner != removed_member:
                self.assertEqual(after, owner)
        self.assertEqual(set(owners.values()), set(members))
