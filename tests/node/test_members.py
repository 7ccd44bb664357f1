"""Tests of the membership changes of the log."""

import unittest

import banyanbank_base as base
from banyanbank_node import _member_duty

ADD = _member_duty.ChangeKind.ADD_VOTER
STANDBY = _member_duty.ChangeKind.ADD_STANDBY
REMOVE = _member_duty.ChangeKind.REMOVE


def instance_ids(text: str) -> tuple[base.InstanceId, ...]:
    return tuple(base.InstanceId(name) for name in text.split())


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
        ):
            with self.subTest(name):
                view = _member_duty.MembershipView(
                    voters=instance_ids(fields.get("voters", "")),
                    joining=instance_ids(fields.get("joining", "")),
                    standby=instance_ids(fields.get("standby", "")),
                    live=frozenset(instance_ids(fields.get("live", ""))),
                    gone=frozenset(instance_ids(fields.get("gone", ""))),
                    retired=frozenset(instance_ids(fields.get("retired", ""))),
                    wanted=3,
                )
                expected = None
                if kind is not None:
                    expected = _member_duty.MemberChange(
                        kind, base.InstanceId(instance)
                    )
                self.assertEqual(_member_duty.next_change(view), expected)
