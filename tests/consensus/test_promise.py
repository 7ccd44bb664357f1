"""Tests when a former leader campaigns, by single messages and by a model."""

import random
import unittest

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _messages
from banyanbank_consensus import _replica
from banyanbank_consensus import _state

from tests.consensus import cluster

A, B, C = (base.InstanceId(name) for name in "abc")
STORES = {A: "store-a", B: "store-b", C: "store-c"}
LED_BY_A = "a/store-a"
LED_BY_B = "b/store-b"
EPOCH = 3


def make_replica(promised_to: str) -> _replica.Replica:
    """Returns replica `a`, restarted at 0 s."""
    members = _members.make_members(
        _members.Member(instance, store) for instance, store in STORES.items()
    )
    hard_state = _disk.HardState(EPOCH, promised_to, "log", promised_to)
    image = _disk.LogImage(hard_state, _log.LogBase(5, EPOCH, members), ())
    meta = _disk.SnapshotMeta(5, EPOCH, members, 0, 0)
    return _replica.Replica(
        consensus.NodeConfig(A, tuple(STORES)),
        _disk.StoredState(STORES[A], image, meta, b""),
        random.Random(1),
        now=0.0,
    )


def make_head(sender: base.InstanceId, epoch: int) -> _messages.Header:
    return _messages.Header("log", STORES[sender], STORES[A], epoch)


QUERY = _messages.LeadershipQuery(make_head(C, EPOCH), incarnation=7)
HEARTBEAT = _messages.AppendRequest(make_head(B, EPOCH + 1), 0, 5, EPOCH, 5, ())
VOTE_REQUEST = _messages.VoteRequest(
    make_head(B, EPOCH + 1), pre=False, last_index=5, last_epoch=EPOCH
)
PRE_VOTE = _messages.VoteResponse(
    make_head(B, EPOCH), pre=True, asked_epoch=EPOCH + 1, granted=True
)


class CampaignWhenAskedTest(unittest.TestCase):
    """After a common restart, a vote released was asked for up to 0.3 s later.

    Campaigning when a leader is followed would break the promise to it.
    """

    def test_only_a_former_leader_that_nobody_relies_on(self) -> None:
        cases = (
            ("it led last", LED_BY_A, (), True),
            ("another led last", LED_BY_B, (), False),
            ("it follows a leader", LED_BY_A, (HEARTBEAT,), False),
            ("it has voted for a rival", LED_BY_A, (VOTE_REQUEST,), False),
            ("it is a candidate", LED_BY_A, (PRE_VOTE,), False),
        )
        for name, promised_to, before, campaigns in cases:
            with self.subTest(name):
                replica = make_replica(promised_to)
                # The first campaign, which nobody hears.
                replica.tick(0.0)
                for message in before:
                    replica.receive(B, message, 0.01)
                replica.take_effects()
                replica.receive(C, QUERY, 0.02)
                sent = [
                    effect.message
                    for effect in replica.take_effects()
                    if isinstance(effect, _effects.Send)
                ]
                # The answer releases the vote, so it goes first.
                self.assertIsInstance(sent[0], _messages.LeadershipAnswer)
                self.assertFalse(sent[0].is_leading)
                asked = [
                    message
                    for message in sent
                    if isinstance(message, _messages.VoteRequest)
                ]
                self.assertEqual(bool(asked), campaigns)
                self.assertTrue(all(message.pre for message in asked))

    def test_leader_goes_on_leading(self) -> None:
        replica = make_replica(LED_BY_A)
        replica.tick(0.0)
        replica.receive(B, PRE_VOTE, 0.01)
        vote = attrs.evolve(PRE_VOTE, head=make_head(B, EPOCH + 1), pre=False)
        replica.receive(B, vote, 0.02)
        self.assertIs(replica.state.role, _state.Role.LEADER)
        replica.take_effects()
        replica.receive(C, QUERY, 0.03)
        self.assertIs(replica.state.role, _state.Role.LEADER)
        [answer] = [
            effect.message
            for effect in replica.take_effects()
            if isinstance(effect, _effects.Send)
        ]
        self.assertTrue(answer.is_leading)


class CommonRestartTest(unittest.TestCase):
    """Stores that start one after another need no election timeout."""

    def test_leader_once_the_former_one_is_asked(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                world = cluster.World(seed=seed)
                world.start()
                world.run_until(lambda w=world: bool(w.lease_holders()))
                world.run(1.0)
                [former] = world.lease_holders()
                world.black_out()
                world.start(former)
                world.run(0.03)
                world.start(*(name for name in "abc" if name != former))
                took_s = world.run_until(lambda w=world: bool(w.leaders()))
                self.assertLessEqual(took_s, 2 * cluster.TICK_S)


if __name__ == "__main__":
    unittest.main()
