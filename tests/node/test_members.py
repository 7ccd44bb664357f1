"""Tests of keeping the log's members in step with the stores."""

import unittest

import banyanbank_base as base
from banyanbank_node import _member_duty

ADD = _member_duty.ChangeKind.ADD_VOTER
STANDBY = _member_duty.ChangeKind.ADD_STANDBY
REMOVE = _member_duty.ChangeKind.REMOVE


def names(text: str) -> tuple[base.InstanceId, ...]:
    return tuple(base.InstanceId(name) for name in text.split())


class NextChangeTest(unittest.TestCase):
    """The number of voters stays odd, and none leaves before its successor."""

    def test_changes(self) -> None:
        for name, fields, kind, instance in (
            ("all is well", {"voters": "a b c", "live": "a b c"}, None, ""),
            (
                "a fourth store stands by: four voters have no half",
                {"voters": "a b c", "live": "a b c d"},
                STANDBY,
                "d",
            ),
            (
                "a fifth store is left out while one stands by",
                {"voters": "a b c", "standby": "d", "live": "a b c d e"},
                None,
                "",
            ),
            (
                "a silent voter stays while nobody can take its place",
                {"voters": "a b c", "live": "a b", "gone": "c"},
                None,
                "",
            ),
            (
                "the standby takes the place of a voter that is gone",
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
                "so does a store that has just joined",
                {"voters": "a b c", "live": "a b d", "gone": "c"},
                ADD,
                "d",
            ),
            (
                "one successor is enough",
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
                "the voter that is gone leaves after its successor votes",
                {"voters": "a b c d", "live": "a b d", "gone": "c"},
                REMOVE,
                "c",
            ),
            (
                "a retired voter leaves after its successor votes",
                {"voters": "a b c d", "live": "a b c d", "retired": "a"},
                REMOVE,
                "a",
            ),
            (
                "a retired voter stays until then",
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
                "a retired standby leaves",
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
                "a retired store does not come back",
                {"voters": "a b c", "live": "a b c d", "retired": "d"},
                None,
                "",
            ),
        ):
            with self.subTest(name):
                view = _member_duty.MembershipView(
                    voters=names(fields.get("voters", "")),
                    joining=names(fields.get("joining", "")),
                    standby=names(fields.get("standby", "")),
                    live=frozenset(names(fields.get("live", ""))),
                    gone=frozenset(names(fields.get("gone", ""))),
                    retired=frozenset(names(fields.get("retired", ""))),
                    wanted=3,
                )
                want = None
                if kind is not None:
                    want = _member_duty.MemberChange(
                        kind, base.InstanceId(instance)
                    )
                self.assertEqual(_member_duty.next_change(view), want)
