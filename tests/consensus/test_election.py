"""Tests who may campaign, by the member sets in a replica's log."""

import random
import unittest

import banyanbank_base as base
import banyanbank_consensus as consensus
from banyanbank_consensus import _disk
from banyanbank_consensus import _election
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _replica

STORES = {base.InstanceId(name): f"store-{name}" for name in "abcd"}
ALL = "abcd"
WITHOUT_A = "bcd"


def make_members(names: str) -> _members.Members:
    return _members.make_members(
        _members.Member(instance, STORES[instance])
        for instance in STORES
        if instance in names
    )


def make_state(base_names: str, *changes: str) -> _replica.Replica:
    """Returns replica `a`, whose commit index is that of its snapshot."""
    entries = tuple(
        _log.Entry(
            index,
            1,
            _log.EntryKind.MEMBERS,
            _members.MEMBERS_CODEC.encode(make_members(names)),
        )
        for index, names in enumerate(changes, start=6)
    )
    image = _disk.LogImage(
        _disk.HardState(epoch=1, cluster="log"),
        _log.LogBase(5, 1, make_members(base_names)),
        entries,
    )
    meta = _disk.SnapshotMeta(5, 1, make_members(base_names), 0, 0)
    a = base.InstanceId("a")
    return _replica.Replica(
        consensus.NodeConfig(a, tuple(STORES)),
        _disk.StoredState(STORES[a], image, meta, b""),
        random.Random(1),
        now=0.0,
    )


class MayCampaignTest(unittest.TestCase):
    """A log that only a removed voter has must not come to a standstill."""

    def test_any_member_set_in_force_allows_it(self) -> None:
        cases = (
            ("voter", (ALL,), True),
            ("never a voter", (WITHOUT_A,), False),
            ("removal may be uncommitted", (ALL, WITHOUT_A), True),
            (
                "added and removed, commit unknown",
                (WITHOUT_A, ALL, WITHOUT_A),
                True,
            ),
            ("added, commit unknown", (WITHOUT_A, ALL), True),
        )
        for name, member_sets, may_campaign in cases:
            with self.subTest(name):
                state = make_state(*member_sets).state
                self.assertEqual(_election._may_campaign(state), may_campaign)


if __name__ == "__main__":
    unittest.main()
