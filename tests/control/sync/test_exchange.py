"""Tests of polls, replies, freshness and the state of entries."""

import unittest

import attrs
import banyanbank_control as control

from tests.control import samples


def member(name: str, incarnation: int = 1) -> control.Member:
    """Returns a member in failure domain `a`."""
    return control.Member(name, incarnation, f"{name}:7000", "a")


def engine(
    name: str,
    incarnation: int = 1,
    sequence: int = 1,
    phase: control.Phase = control.Phase.SERVING,
) -> control.Announcement:
    """Returns an engine's announcement."""
    return control.Announcement(
        name,
        incarnation,
        sequence,
        control.EndpointKind.ENGINE,
        "10.0.0.1:1",
        "a",
        phase=phase,
    )


class ExchangeCase(unittest.TestCase):
    """A leader, two entries and a manual clock."""

    def setUp(self) -> None:
        self.now = 100.0
        self.machine = samples.make_configured_machine()
        self.leader = control.LeaderSync(1, self.now)
        self.ann = control.EntrySync(member("ann"))
        self.bob = control.EntrySync(member("bob"))

    def reply(self, req: control.SyncRequest) -> control.SyncReply:
        """Returns the leader's reply; encodes and decodes both messages."""
        decoded_req = control.SYNC_CODEC.decode(control.SYNC_CODEC.encode(req))
        config = self.machine.state.config
        self.leader.record_outages(self.machine.state.outages)
        answer = self.leader.answer(decoded_req, config, self.now)
        return control.SYNC_CODEC.decode(control.SYNC_CODEC.encode(answer))

    def poll(self, entry: control.EntrySync) -> control.SyncUpdate:
        """Polls the leader once and applies the reply."""
        return entry.apply_reply(self.reply(entry.request(self.now)), self.now)


class FreshnessTest(ExchangeCase):
    """The deadline counts from the send time of an answered poll."""

    def test_freshness_counts_from_sending(self) -> None:
        req = self.ann.request(self.now)
        reply = self.reply(req)
        self.now += 2.0
        self.assertTrue(self.ann.apply_reply(reply, self.now).is_current)
        freshness = self.ann.freshness
        self.assertEqual(freshness.deadline, 100.0 + control.FRESHNESS_S)
        self.assertTrue(freshness.is_fresh(102.4))
        self.assertFalse(freshness.is_fresh(102.5))

    def test_ignores_mismatched_replies(self) -> None:
        mine = self.reply(self.ann.request(self.now))
        cases = {
            "another entry": self.reply(self.bob.request(self.now)),
            "an earlier incarnation": attrs.evolve(mine, incarnation=0),
            "an unknown poll": attrs.evolve(mine, number=99),
            "a gap": attrs.evolve(mine, revision=9),
        }
        for name, reply in cases.items():
            with self.subTest(name):
                self.ann.apply_reply(reply, self.now)
                self.assertFalse(self.ann.freshness.is_fresh(self.now))
        self.ann.apply_reply(mine, self.now)
        self.assertTrue(self.ann.freshness.is_fresh(self.now))

    def test_ignores_duplicate_reply(self) -> None:
        reply = self.reply(self.ann.request(self.now))
        self.ann.apply_reply(reply, self.now)
        self.now += 5.0
        self.ann.apply_reply(reply, self.now)
        self.assertFalse(self.ann.freshness.is_fresh(self.now))


class ConfigViewTest(ExchangeCase):
    """A view applies deltas or complete configurations and never reverts."""

    def test_never_reverts(self) -> None:
        old = self.reply(self.ann.request(self.now))
        self.poll(self.ann)
        withdraw = control.WithdrawKey("w", "ann", "acme-1")
        samples.send(self.machine, withdraw)
        update = self.poll(self.ann)
        self.assertEqual(update.withdrawn, {"acme-1"})
        for reply in (old, attrs.evolve(old, epoch=7)):
            self.ann.apply_reply(reply, self.now)
            self.assertEqual(self.ann.view.revision, 2)
        held = control.ConfigView(epoch=7)
        self.assertEqual(held.apply_reply(old).view, held)

    def test_deltas_equal_complete_configuration(self) -> None:
        self.poll(self.ann)
        declared = attrs.evolve(
            samples.DECLARED, keys=samples.KEYS[:1], capacities=(), offers=()
        )
        samples.send(
            self.machine, samples.make_apply_declarations("x", 1, declared)
        )
        self.poll(self.ann)
        whole = control.ConfigWhole(2, self.machine.state.config.declared())
        reply = self.reply(self.bob.request(self.now))
        reply = attrs.evolve(reply, whole=whole, deltas=())
        self.bob.apply_reply(reply, self.now)
        for name in ("revision", "items", "keys", "key_ids"):
            self.assertEqual(
                getattr(self.ann.view, name), getattr(self.bob.view, name)
            )

    def test_history_too_short(self) -> None:
        for number in range(1100):
            key = control.Key(
                f"k{number}", "acme", control.hash_secret(f"s{number}")
            )
            samples.send(
                self.machine, control.CreateKey(f"r{number}", "ann", key)
            )
        self.assertEqual(len(self.machine.state.config.history), 1024)
        reply = self.reply(self.ann.request(self.now))
        self.assertIsNotNone(reply.whole)
        self.ann.apply_reply(reply, self.now)
        self.assertEqual(len(self.ann.view.keys), 1102)


class AuthenticatorTest(ExchangeCase):
    """Keyed routes need fresh configuration and a grant; open ones neither."""

    def outcome(self, path: str, secret: str | None) -> str:
        """Returns the account, `open`, or the reason for the refusal."""
        auth = self.ann.authenticator
        result = auth.admit(path, secret, self.now)
        try:
            admission = result.unwrap()
        except Exception:
            refusal = result.failure()
            self.assertEqual(refusal.outcome.value, "not run")
            return refusal.reason.value
        return admission.principal.account if admission.principal else "open"

    def test_route_access(self) -> None:
        self.poll(self.ann)
        acme, zeta = "s-acme-1", "s-zeta-1"
        cases = {
            ("/status", None): "open",
            ("/status/x", "wrong"): "open",
            ("/statusx", acme): "not-found",
            ("/orders", None): "unauthenticated",
            ("/orders", "wrong"): "unauthenticated",
            ("/orders", "x" * 600): "unauthenticated",
            ("/orders/7", zeta): "zeta",
            ("/orders/book/3/", acme): "acme",
            ("/grade", zeta): "forbidden",
            ("/", acme): "not-found",
        }
        for (path, secret), expected in cases.items():
            with self.subTest(path=path, secret=secret):
                self.assertEqual(self.outcome(path, secret), expected)
        withdraw = control.WithdrawKey("w", "ann", "acme-1")
        samples.send(self.machine, withdraw)
        self.poll(self.ann)
        self.assertEqual(self.outcome("/orders", acme), "key-withdrawn")
        self.now += 3.0
        self.assertEqual(self.outcome("/orders", zeta), "configuration-stale")
        self.assertEqual(self.outcome("/new", zeta), "configuration-stale")
        self.assertEqual(self.outcome("/status", None), "open")

    def test_queued_work_and_models(self) -> None:
        self.poll(self.ann)
        auth = self.ann.authenticator
        acme = auth.authenticate("s-acme-1", self.now).unwrap()
        zeta = auth.authenticate("s-zeta-1", self.now).unwrap()
        self.assertIsNone(auth.authorise_model(acme, "coach"))
        reasons = [
            auth.authorise_model(zeta, "coach").reason.value,
            auth.authorise_model(acme, "none").reason.value,
        ]
        self.assertEqual(reasons, ["forbidden", "not-found"])
        self.assertIsNone(auth.recheck(acme, self.now))
        withdraw = control.WithdrawKey("w", "ann", "acme-1")
        samples.send(self.machine, withdraw)
        self.poll(self.ann)
        reasons = [
            auth.recheck(acme, self.now).reason.value,
            auth.recheck(zeta, self.now + 3).reason.value,
        ]
        self.assertEqual(reasons, ["key-withdrawn", "configuration-stale"])


class EndpointExchangeTest(ExchangeCase):
    """Announcements reach all entries; leaves override late renewals."""

    def serving_names(self, entry: control.EntrySync) -> set[str]:
        """Returns the endpoints to which an entry may send new work."""
        return {item.endpoint for item in entry.serving(self.now)}

    def test_announce_leave_and_expire(self) -> None:
        self.ann.endpoints.heard.merge_announcement(engine("e1"), self.now)
        self.ann.endpoints.heard.merge_announcement(engine("e2"), self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), {"e1", "e2"})
        leave = engine("e1", sequence=2, phase=control.Phase.LEAVING)
        self.bob.endpoints.heard.merge_announcement(leave, self.now)
        self.assertEqual(self.serving_names(self.bob), {"e2"})
        late = engine("e1", sequence=9)
        self.ann.endpoints.heard.merge_announcement(late, self.now)
        self.poll(self.bob)
        self.poll(self.ann)
        self.assertEqual(self.serving_names(self.ann), {"e2"})
        self.now += control.ENDPOINT_TTL_S
        self.leader.tick(self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), set())
        restarted = engine("e1", incarnation=2)
        self.ann.endpoints.heard.merge_announcement(restarted, self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), {"e1"})

    def test_reclaim_notice(self) -> None:
        heard = self.ann.endpoints.heard
        heard.merge_announcement(engine("e1"), self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.assertTrue(heard.mark_reclaimed("e1", 130.0, self.now))
        self.assertFalse(heard.mark_reclaimed("e9", None, self.now))
        self.poll(self.ann)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), set())
        (known,) = self.bob.endpoints.all(True)
        self.assertEqual(known.gone_at, 130.0)

    def test_keeps_endpoints_unknown_to_new_leader(self) -> None:
        self.ann.endpoints.heard.merge_announcement(engine("e1"), self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.poll(self.ann)
        self.leader = control.LeaderSync(2, self.now)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), {"e1"})
        self.assertEqual(len(self.bob.members.all()), 2)
        self.poll(self.ann)
        self.poll(self.ann)
        self.assertEqual(len(self.leader.endpoints.all()), 1)
        self.now += control.ENDPOINT_TTL_S
        self.leader.tick(self.now)
        self.poll(self.bob)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), set())

    def test_long_isolation_and_new_leader(self) -> None:
        self.ann.endpoints.heard.merge_announcement(engine("e1"), self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.now += control.ENDPOINT_TTL_S + control.FRESHNESS_S
        self.leader = control.LeaderSync(2, self.now)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), set())
        self.assertEqual(len(self.bob.members.all()), 1)

    def test_lease_regained_in_same_epoch(self) -> None:
        self.ann.endpoints.heard.merge_announcement(engine("e1"), self.now)
        for entry in (self.ann, self.bob, self.ann):
            self.poll(entry)
        self.now += 1.0
        self.leader = control.LeaderSync(1, self.now)
        self.bob.endpoints.heard.merge_announcement(engine("e2"), self.now)
        for _ in range(3):
            self.poll(self.bob)
            self.poll(self.ann)
            self.now += control.RELEARN_GRACE_S / 2
        for entry in (self.ann, self.bob):
            self.assertEqual(self.serving_names(entry), {"e1", "e2"})
            self.assertEqual(len(entry.members.all()), 2)

    def test_new_leader_knows_earlier_incarnation(self) -> None:
        heard = self.ann.endpoints.heard
        heard.merge_announcement(engine("e1", incarnation=2), self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.leader = control.LeaderSync(2, self.now)
        old = engine("e1", phase=control.Phase.LEAVING)
        self.bob.endpoints.heard.merge_announcement(old, self.now)
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), {"e1"})
        self.now += control.RELEARN_GRACE_S
        self.poll(self.bob)
        self.assertEqual(self.serving_names(self.bob), set())

    def test_isolated_entry(self) -> None:
        self.ann.endpoints.heard.merge_announcement(engine("e1"), self.now)
        self.poll(self.ann)
        self.poll(self.bob)
        self.now += control.FRESHNESS_S + control.ISOLATION_GRACE_S
        self.assertEqual(self.serving_names(self.bob), set())
        self.assertEqual(self.serving_names(self.ann), {"e1"})

    def test_forwards_renewals_at_interval(self) -> None:
        heard = self.ann.endpoints.heard
        forwarded_counts = []
        for sequence in range(20):
            heard.merge_announcement(engine("e1", sequence=sequence), self.now)
            req = self.ann.request(self.now)
            forwarded_counts.append(len(req.heard))
            self.ann.apply_reply(self.reply(req), self.now)
            self.now += control.POLL_INTERVAL_S
        self.assertEqual(sum(forwarded_counts), 4)
        self.assertEqual(self.leader.tick(self.now), ())
        self.assertEqual(len(self.leader.endpoints.all()), 1)


class OutageTest(ExchangeCase):
    """All entries know the outages, even after a change of leader."""

    def mark(self, required: int | None, epoch: int = 1) -> control.Reply:
        cmd = control.MarkEngine("e1", "coach", required, epoch)
        return samples.send(self.machine, cmd)

    def serves(self, entry: control.EntrySync) -> bool:
        self.poll(entry)
        return entry.endpoints.in_service("e1", "coach")

    def test_mark_and_unmark(self) -> None:
        self.assertTrue(self.serves(self.ann))
        self.mark(2)
        for entry in (self.ann, self.bob):
            self.assertFalse(self.serves(entry))
        self.assertTrue(self.ann.endpoints.in_service("e1", "draft"))
        self.mark(None)
        for entry in (self.ann, self.bob):
            self.assertTrue(self.serves(entry))

    def test_mark_survives_leader_change_and_snapshot(self) -> None:
        self.mark(2)
        self.poll(self.ann)
        restored = control.ControlMachine()
        restored.restore(self.machine.snapshot())
        self.machine = restored
        self.leader = control.LeaderSync(2, self.now)
        for entry in (self.ann, self.bob):
            self.assertFalse(self.serves(entry))
        self.assertEqual(self.machine.state.outages.required("e1", "coach"), 2)

    def test_unmark_during_leader_change(self) -> None:
        self.mark(2)
        self.poll(self.ann)
        self.mark(None, 2)
        self.leader = control.LeaderSync(2, self.now)
        self.assertTrue(self.serves(self.ann))

    def test_rejects_earlier_epoch(self) -> None:
        self.mark(2, 2)
        self.assertIsInstance(self.mark(None, 1), control.Rejected)
        self.assertFalse(self.serves(self.ann))


class MemberTest(ExchangeCase):
    """Instances join, leave, crash and restart."""

    def known_members(self) -> set[tuple[str, int]]:
        """Returns instance and incarnation of all members that bob knows."""
        self.poll(self.bob)
        known = self.bob.members.all()
        return {(item.instance, item.incarnation) for item in known}

    def test_restart_and_expiry(self) -> None:
        self.poll(self.ann)
        self.assertEqual(self.known_members(), {("ann", 1), ("bob", 1)})
        moved = attrs.evolve(member("ann", 2), address="ann:9")
        restarted_entry = control.EntrySync(moved)
        self.poll(restarted_entry)
        self.poll(self.ann)
        self.assertEqual(self.known_members(), {("ann", 2), ("bob", 1)})
        self.now += control.MEMBER_TTL_S
        self.poll(self.bob)
        (lost,) = self.leader.tick(self.now)
        self.assertEqual(lost.member, moved)
        self.poll(self.ann)
        self.assertEqual(self.known_members(), {("bob", 1)})

    def test_delayed_poll_keeps_leaving(self) -> None:
        before = self.ann.request(self.now)
        self.ann.mark_leaving()
        self.poll(self.ann)
        self.reply(before)
        self.assertTrue(self.leader.members.get("ann").leaving)
