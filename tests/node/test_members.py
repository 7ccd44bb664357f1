"""Tests of the membership changes of the log."""

import typing
import unittest
import unittest.mock

import banyanbank_base as base
import banyanbank_consensus as consensus
from banyanbank_node import _leadership
from banyanbank_node import _member_duty
from banyanbank_node import _membership_changes
from banyanbank_node import _messages

ADD = _membership_changes.ChangeKind.ADD_VOTER
STANDBY = _membership_changes.ChangeKind.ADD_STANDBY
REMOVE = _membership_changes.ChangeKind.REMOVE


def instance_ids(text: str) -> tuple[base.InstanceId, ...]:
    return tuple(base.InstanceId(name) for name in text.split())


def make_view(
    fields: dict[str, str],
) -> _membership_changes.MembershipView:
    """Returns a view of stores that are named by field, between spaces."""
    return _membership_changes.MembershipView(
        voters=instance_ids(fields.get("voters", "")),
        joining=instance_ids(fields.get("joining", "")),
        standby=instance_ids(fields.get("standby", "")),
        live=frozenset(instance_ids(fields.get("live", ""))),
        gone=frozenset(instance_ids(fields.get("gone", ""))),
        leaving=instance_ids(fields.get("leaving", "")),
        retired=frozenset(instance_ids(fields.get("retired", ""))),
        wanted=3,
    )


class NextChangeTest(unittest.TestCase):
    """The number of voters stays odd.

    A voter is removed only after its replacement votes.
    """

    def test_changes(self) -> None:
        for name, fields, kind, instance in (
            (
                "all voters are alive",
                {"voters": "a b c", "live": "a b c"},
                None,
                "",
            ),
            (
                "a fourth store is a standby, as four voters can split evenly",
                {"voters": "a b c", "live": "a b c d"},
                STANDBY,
                "d",
            ),
            (
                "a fifth store is not added while there is a standby",
                {"voters": "a b c", "standby": "d", "live": "a b c d e"},
                None,
                "",
            ),
            (
                "a gone voter stays while no store can replace it",
                {"voters": "a b c", "live": "a b", "gone": "c"},
                None,
                "",
            ),
            (
                "the standby replaces a gone voter",
                {
                    "voters": "a b c",
                    "standby": "d",
                    "live": "a b d",
                    "gone": "c",
                },
                ADD,
                "d",
            ),
            (
                "a new store replaces a gone voter when there is no standby",
                {"voters": "a b c", "live": "a b d", "gone": "c"},
                ADD,
                "d",
            ),
            (
                "no second replacement is added while one joins",
                {
                    "voters": "a b c",
                    "joining": "d",
                    "live": "a b d e",
                    "gone": "c",
                },
                None,
                "",
            ),
            (
                "a gone voter is removed once its replacement votes",
                {"voters": "a b c d", "live": "a b d", "gone": "c"},
                REMOVE,
                "c",
            ),
            (
                "a retired voter is removed once its replacement votes",
                {"voters": "a b c d", "live": "a b c d", "retired": "a"},
                REMOVE,
                "a",
            ),
            (
                "a retired voter stays until its replacement votes",
                {
                    "voters": "a b c",
                    "standby": "d",
                    "live": "a b c d",
                    "retired": "a",
                },
                ADD,
                "d",
            ),
            (
                "a retired standby is removed",
                {
                    "voters": "a b c",
                    "standby": "d",
                    "live": "a b c d",
                    "retired": "d",
                },
                REMOVE,
                "d",
            ),
            (
                "a retired store is not added again",
                {"voters": "a b c", "live": "a b c d", "retired": "d"},
                None,
                "",
            ),
            (
                "a voter that returned beside its replacement is a surplus",
                {"voters": "a b d c", "live": "a b c d"},
                REMOVE,
                "c",
            ),
            (
                "more voters than wanted stay if their number is odd",
                {"voters": "a b c d e", "live": "a b c d e"},
                None,
                "",
            ),
            (
                "one replacement replaces one of two that are gone",
                {"voters": "a d c b", "live": "a d", "gone": "b c"},
                REMOVE,
                "c",
            ),
            (
                "the standby takes the vote of a store that leaves",
                {
                    "voters": "a b c",
                    "standby": "d",
                    "live": "a b c d e",
                    "leaving": "c",
                },
                ADD,
                "d",
            ),
            (
                "a store that leaves keeps its vote while no other one runs",
                {"voters": "a b c", "live": "a b c", "leaving": "c"},
                None,
                "",
            ),
            (
                "a store that leaves is removed once its replacement votes",
                {"voters": "a b c d", "live": "a b c d", "leaving": "c"},
                REMOVE,
                "c",
            ),
            (
                "a voter that is gone is replaced before one that leaves",
                {
                    "voters": "a b c d",
                    "live": "a c d",
                    "gone": "b",
                    "leaving": "c",
                },
                REMOVE,
                "b",
            ),
            (
                "a standby that leaves takes no vote",
                {
                    "voters": "a b c",
                    "standby": "d",
                    "live": "a b c d",
                    "leaving": "c d",
                },
                None,
                "",
            ),
            (
                "a joining store that leaves is removed",
                {
                    "voters": "a b c",
                    "joining": "d",
                    "live": "a b c d",
                    "leaving": "c d",
                },
                REMOVE,
                "d",
            ),
        ):
            with self.subTest(name):
                view = make_view(fields)
                expected = None
                if kind is not None:
                    expected = _membership_changes.MemberChange(
                        kind, base.InstanceId(instance)
                    )
                self.assertEqual(
                    _membership_changes.next_change(view), expected
                )


class HandoverRefusalTest(unittest.TestCase):
    """A store that leaves learns whether another one can take its vote."""

    def test_refusals(self) -> None:
        nobody, taken = "no other store runs", "take all successors"
        for name, fields, instance, refusal in (
            ("no other store runs", {"leaving": "c"}, "c", nobody),
            ("a standby runs", {"leaving": "c", "standby": "d"}, "c", ""),
            ("a store joins", {"leaving": "c", "joining": "d"}, "c", ""),
            ("a store is new", {"leaving": "c", "live": "d"}, "c", ""),
            (
                "the only standby leaves, too",
                {"leaving": "c d", "standby": "d"},
                "c",
                nobody,
            ),
            (
                "its replacement votes",
                {"voters": "a b c d", "leaving": "c"},
                "c",
                "",
            ),
            (
                "another one left before it",
                {"leaving": "b c", "standby": "d"},
                "c",
                taken,
            ),
            (
                "it left before another one",
                {"leaving": "b c", "standby": "d"},
                "b",
                "",
            ),
            (
                "the standby replaces one that is gone",
                {"gone": "a", "leaving": "c", "standby": "d"},
                "c",
                taken,
            ),
        ):
            with self.subTest(name):
                live = "a b c d" if "standby" in fields else "a b c"
                view = make_view({"voters": "a b c", "live": live} | fields)
                found = _membership_changes.find_handover_refusal(
                    view, base.InstanceId(instance)
                )
                self.assertIn(refusal, found)
                self.assertEqual(bool(refusal), bool(found))


class SilenceTest(unittest.TestCase):
    """A silent member is replaced once it is sure to have ended.

    Guards against a removal without SIGTERM that is noticed late, and against
    a store that is frozen or slow and replaced needlessly.
    """

    def test_time_outs(self) -> None:
        ended_s = _member_duty.ENDED_TIMEOUT_S
        gone_s = _member_duty.GONE_TIMEOUT_S
        ready, behind = (True, "d"), (False, "d")
        for name, silent_s, refuses, learner, is_gone in (
            ("it might be restarting", ended_s - 0.1, True, ready, False),
            ("it has ended", ended_s + 0.1, True, ready, True),
            ("it has no successor", gone_s - 0.1, True, (True, ""), False),
            ("its successor copies the log", gone_s - 0.1, True, behind, False),
            ("it may be frozen", gone_s - 0.1, False, ready, False),
            ("it is silent for too long", gone_s + 0.1, False, ready, True),
            ("the same without successor", gone_s + 0.1, True, behind, True),
        ):
            with self.subTest(name):
                now = 100.0
                stored = unittest.mock.Mock()
                stored.ledger.retired = set()
                status = unittest.mock.Mock(
                    spec=consensus.NodeStatus,
                    instance=base.InstanceId("a"),
                    voters=tuple(map(_make_voter, "abc")),
                    learners=tuple(map(_make_learner, learner[1])),
                    silences=(
                        _make_silence("b", now),
                        _make_silence("c", now - silent_s),
                        _make_silence("d", now, learner[0]),
                    ),
                )
                duty = _member_duty.MemberDuty(
                    base.ManualClock(),
                    stored,
                    unittest.mock.Mock(),
                    3,
                    unittest.mock.Mock(),
                    lambda _, refuses=refuses: refuses,
                )
                view = duty._view(status, now)
                self.assertEqual(view.gone, {"c"} if is_gone else set())
                self.assertEqual(view.voters[-1], "c")


def _make_voter(name: str) -> consensus.Member:
    return consensus.Member(base.InstanceId(name), f"store of {name}")


def _make_learner(name: str) -> consensus.Member:
    return _make_voter(name).with_role(consensus.MemberRole.LEARNER)


def _make_silence(
    name: str, since: float, has_caught_up: bool = True
) -> consensus.MemberSilence:
    return consensus.MemberSilence(
        base.InstanceId(name), since, True, has_caught_up
    )


class RemovalTest(unittest.TestCase):
    """Operators learn what the leader knows, and only once it knows it."""

    def setUp(self) -> None:
        self.clock = base.ManualClock()
        self.handlers: dict[str, typing.Any] = {}
        calls = unittest.mock.Mock()
        calls.serve = self.handlers.__setitem__
        stored = unittest.mock.Mock()
        stored.ledger.retired = set()
        stored.node.status.return_value = unittest.mock.Mock(
            spec=consensus.NodeStatus, members_committed=False
        )
        self.duty = _member_duty.MemberDuty(
            self.clock, stored, calls, 3, unittest.mock.Mock()
        )

    def call(self, method: str, message: object, sender: str = "") -> object:
        """Calls a handler; returns its answer, or the error's class."""
        answered = self.handlers[method](
            base.InstanceId(sender), _messages.CODEC.encode(message)
        )
        try:
            answered.send(None)
        except StopIteration as end:
            return end.value
        except _leadership.NotLeaderError:
            return _leadership.NotLeaderError
        raise AssertionError("it waits")

    def test_leader_that_has_not_heard_of_all_stores(self) -> None:
        """Guards against 404 and 409 on a store that can be removed."""
        gone, few = _messages.NotThere(), _messages.TooFew()
        unknown = _leadership.NotLeaderError
        settled_s = _member_duty.LIVE_TIMEOUT_S
        for name, leads, led_s, silent, heard in (
            ("its duties are stopped", False, 9.0, unknown, unknown),
            ("it has just begun", True, 0.0, unknown, unknown),
            ("some were heard", True, settled_s - 0.1, unknown, unknown),
            ("all were heard", True, settled_s, gone, few),
        ):
            with self.subTest(name):
                self.setUp()
                if leads:
                    self.duty.tick()
                self.clock.advance(led_s)
                join = _messages.Join("store-1")
                self.call(_messages.JOIN, join, "a")
                for machine, expected in (
                    ("store-1", heard),
                    ("store-2", silent),
                ):
                    req = _messages.Retire(machine)
                    answer = self.call(_messages.RETIRE, req)
                    self.assertEqual(answer, expected)
                answer = self.call(_messages.RETIRED, req)
                self.assertEqual(answer, silent)
