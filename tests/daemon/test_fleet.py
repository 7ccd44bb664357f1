"""Tests of what an instance makes of the endpoints that it knows."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_control as control
from banyanbank_daemon import _fleet

ME = base.InstanceId("i1")
NO_RUNNER: typing.Any = None
COACH = base.ModelName("coach")


def announcement(
    name: str, slots: int, sequence: int = 1, **more: object
) -> control.Announcement:
    """An engine of the model that all cases use."""
    fields: dict[str, object] = {
        "endpoint": base.EndpointId(name),
        "incarnation": base.Incarnation(1),
        "sequence": sequence,
        "kind": control.EndpointKind.ENGINE,
        "address": "127.0.0.1:1",
        "failure_domain": base.FailureDomain("zone-1"),
        "models": (control.ServedModel(COACH, base.WeightVersion(1)),),
        "slots": slots,
    }
    return control.Announcement(**{**fields, **more})  # type: ignore[arg-type]


class FleetCase(unittest.TestCase):
    """A directory under a fake clock, and engines that it hears."""

    def setUp(self) -> None:
        self.clock = base.ManualClock(10.0)
        member = control.Member(
            ME, base.Incarnation(1), "127.0.0.1:2", base.FailureDomain("zone-1")
        )
        self.entry = control.EntrySync(member)
        self.directory = _fleet.Directory(ME, self.clock, self.entry)

    def hear(self, *announcements: control.Announcement) -> None:
        for one in announcements:
            self.entry.endpoints.heard.merge_announcement(one, self.clock.now())
        self.directory.note_change()


class SlotsTest(FleetCase):
    """One of several engines stays quick for lookups, whoever comes or goes."""

    def test_reserves(self) -> None:
        table = [
            ("one engine", ["a"], 48, {"a": 4}),
            ("three engines", ["a", "b", "c"], 48, {"a": 4, "b": 4, "c": 4}),
            (
                "four engines",
                ["a", "b", "c", "d"],
                48,
                {"a": 24, "b": 4, "c": 4, "d": 4},
            ),
            ("small engine", ["a"], 2, {"a": 1}),
            ("single stream", ["a"], 1, {"a": 0}),
        ]
        for name, engines, slots, reserves in table:
            with self.subTest(name):
                self.setUp()
                self.hear(*(announcement(e, slots) for e in engines))
                found = {e: self.directory.slots_of(e) for e in engines}
                self.assertEqual(
                    {e: one.reserve for e, one in found.items()}, reserves
                )

    def test_another_becomes_quick(self) -> None:
        self.hear(*(announcement(name, 48) for name in "abcde"))
        self.assertEqual(self.directory.slots_of("a").reserve, 24)
        leaving = announcement("a", 48, 2, phase=control.Phase.LEAVING)
        self.hear(leaving)
        self.assertEqual(self.directory.slots_of("b").reserve, 24)
        self.assertEqual(self.directory.slots_of("c").reserve, 4)

    def test_unknown_engine_has_one_stream(self) -> None:
        self.assertEqual(self.directory.slots_of("z"), _fleet.EngineSlots(1, 0))


class CandidatesTest(FleetCase):
    """Lookups avoid engines out of service where others are left."""

    def test_out_of_service(self) -> None:
        fleet = _fleet.Fleet(
            self.clock, self.directory, NO_RUNNER, lambda _peer: NO_RUNNER
        )
        mixed = control.ServedModel(COACH, base.WeightVersion(0))
        self.hear(
            announcement("a", 8),
            announcement("b", 8),
            announcement("mixed", 8, models=(mixed,)),
        )
        table = [
            ("none", (), {"a", "b", "mixed"}),
            ("one", ("a",), {"b", "mixed"}),
            ("two", ("a", "mixed"), {"b"}),
            ("all", ("a", "b", "mixed"), {"a", "b"}),
        ]
        for name, out, left in table:
            with self.subTest(name):
                self.entry.endpoints.apply(self.reply(out), 10.0, False)
                found = fleet.engine_candidates(COACH)
                self.assertEqual({one.endpoint_id for one in found}, left)

    def reply(self, out: tuple[str, ...]) -> control.SyncReply:
        """The leader's word that engines are out of service."""
        outages = tuple(
            control.Restriction(base.EndpointId(name), (COACH,)) for name in out
        )
        return control.SyncReply(
            1,
            1,
            1,
            control.SoftVersion(),
            soft_whole=True,
            restrictions=outages,
        )


class ForgetTest(FleetCase):
    """What is kept of an endpoint ends with the endpoint."""

    def test_gone_engine(self) -> None:
        fleet = _fleet.Fleet(
            self.clock, self.directory, NO_RUNNER, lambda _peer: NO_RUNNER
        )
        self.hear(announcement("a", 8), announcement("b", 8))
        self.assertEqual(fleet.forget_gone(), frozenset())
        self.clock.advance(control.ENDPOINT_TTL_S / 2)
        self.hear(announcement("b", 8, 2))
        self.clock.advance(control.ENDPOINT_TTL_S / 2)
        self.entry.endpoints.expire(self.clock.now())
        self.assertEqual(fleet.forget_gone(), {"a"})
        self.assertEqual(fleet.forget_gone(), frozenset())
