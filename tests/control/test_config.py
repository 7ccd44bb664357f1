"""Tests of configuration commands: revisions, keys and snapshots."""

import unittest

import attrs
import banyanbank_control as control

from tests.control import samples


class RevisionTest(unittest.TestCase):
    """Compare-and-set of revisions, retries and conflicts."""

    def setUp(self) -> None:
        self.machine = samples.make_configured_machine()

    def send(self, cmd: control.Command) -> control.Reply:
        """Applies a command."""
        return samples.send(self.machine, cmd)

    def test_racing_operators(self) -> None:
        model = control.Model("coach", staleness_bound=5)
        items = [*samples.DECLARED.items(), model]
        new_declared = control.Declarations.from_items(
            {item.ref: item for item in items}.values()
        )
        accepted = self.send(
            samples.make_apply_declarations("b", 1, new_declared, "bob")
        )
        self.assertEqual(accepted, control.ConfigAccepted(2, 1))
        conflict = self.send(
            samples.make_apply_declarations("c", 1, operator="eve")
        )
        self.assertIsInstance(conflict, control.RevisionConflict)
        self.assertEqual(
            (
                conflict.winner_operator,
                conflict.winner_request_id,
                conflict.revision,
            ),
            ("bob", "b", 2),
        )
        again = self.send(
            samples.make_apply_declarations("b", 1, new_declared, "bob")
        )
        self.assertEqual(again, accepted)
        same = self.send(
            samples.make_apply_declarations("d", 1, new_declared, "ann")
        )
        self.assertEqual(same, control.ConfigAccepted(2, 0))

    def test_request_id_of_other_content(self) -> None:
        reply = self.send(samples.make_apply_declarations("first", 1))
        self.assertEqual(reply.reason, control.RejectReason.REQUEST_ID_REUSED)

    def test_rejected_changes_have_no_effect(self) -> None:
        declared = samples.DECLARED
        invalid_account = control.Account("acme", weight=float("nan"))
        cases = {
            "unknown account": attrs.evolve(declared, accounts=()),
            "bad value": attrs.evolve(
                declared, accounts=(invalid_account, samples.ACCOUNTS[1])
            ),
            "orphaned key": attrs.evolve(
                declared,
                accounts=samples.ACCOUNTS[:1],
                keys=(),
                routes=samples.ROUTES[:2],
                grants=samples.DECLARED.grants[:1],
            ),
            "altered key": declared.with_keys(
                (attrs.evolve(samples.KEYS[0], account="zeta"),)
            ),
            "moved hash": declared.with_keys(
                (attrs.evolve(samples.KEYS[0], key_id="other"),)
            ),
        }
        before = self.machine.state.config
        for name, case in cases.items():
            with self.subTest(name):
                reply = self.send(
                    samples.make_apply_declarations(name, 1, case)
                )
                self.assertIsInstance(reply, control.Rejected)
                self.assertEqual(reply.reason, control.RejectReason.INVALID)
                after = self.machine.state.config
                self.assertEqual(after.revision, 1)
                self.assertEqual(after.declared(), before.declared())


class CompactTest(unittest.TestCase):
    """A complete set and its compacted changes have the same effect.

    A retry is recognized in either form.
    """

    def test_same_effect(self) -> None:
        declared = attrs.evolve(
            samples.DECLARED, keys=samples.KEYS[:1], capacities=(), offers=()
        )
        whole = samples.make_apply_declarations("x", 1, declared)
        payload = control.COMMAND_CODEC.encode(whole)
        states, replies = [], set()
        for is_first_compacted in (True, False):
            machine = samples.make_configured_machine()
            for is_sent_compacted in (
                is_first_compacted,
                not is_first_compacted,
            ):
                sent = payload
                if is_sent_compacted:
                    in_force = machine.state.config
                    sent = control.derive_changes_payload(in_force, payload)
                replies.add(machine.apply(2, sent))
            states.append(machine.snapshot())
        self.assertEqual(len(replies), 1)
        self.assertEqual(states[0], states[1])

    def test_other_payloads_unchanged(self) -> None:
        in_force = samples.make_configured_machine().state.config
        for cmd in (
            control.WithdrawKey("ApplyDeclarations", "ann", "k"),
            control.ExpireIntents(1.0),
        ):
            payload = control.COMMAND_CODEC.encode(cmd)
            kept = control.derive_changes_payload(in_force, payload)
            self.assertEqual(kept, payload)
        undecodable = b"\xffApplyDeclarations"
        self.assertEqual(
            control.derive_changes_payload(in_force, undecodable), undecodable
        )


class KeyTest(unittest.TestCase):
    """Withdrawn keys are never accepted again."""

    def setUp(self) -> None:
        self.machine = samples.make_configured_machine()

    def test_withdrawn_key_never_returns(self) -> None:
        old = samples.KEYS[0]
        withdraw = control.WithdrawKey("w", "ann", old.key_id)
        reply = samples.send(self.machine, withdraw)
        self.assertEqual(reply, control.ConfigAccepted(2, 1))
        data = self.machine.snapshot()
        self.machine = control.ControlMachine()
        self.machine.restore(data)
        new_id = attrs.evolve(old, key_id="acme-2")
        new_hash = attrs.evolve(old, secret_sha256="0" * 64)
        for number, key in enumerate((old, new_id, new_hash)):
            create = control.CreateKey(f"c{number}", "ann", key)
            sheet = samples.make_apply_declarations(
                f"s{number}",
                2,
                samples.DECLARED.with_keys((key, samples.KEYS[1])),
            )
            for cmd in (create, sheet):
                with self.subTest(cmd=cmd):
                    reply = samples.send(self.machine, cmd)
                    self.assertEqual(
                        reply.reason, control.RejectReason.KEY_WITHDRAWN
                    )

    def test_sheet_without_keys_keeps_them(self) -> None:
        declared = attrs.evolve(
            samples.DECLARED, keys=(), offers=samples.DECLARED.offers[:1]
        )
        reply = samples.send(
            self.machine, samples.make_apply_declarations("x", 1, declared)
        )
        self.assertEqual(reply, control.ConfigAccepted(2, 1))
        self.assertEqual(len(self.machine.state.config.keys), 2)

    def test_sheet_with_keys_withdraws_absent_ones(self) -> None:
        declared = samples.DECLARED.with_keys(samples.KEYS[:1])
        samples.send(
            self.machine, samples.make_apply_declarations("x", 1, declared)
        )
        self.assertEqual(set(self.machine.state.config.keys), {"acme-1"})
        self.assertEqual(set(self.machine.state.config.tombstones), {"zeta-1"})


class BytesTest(unittest.TestCase):
    """Undecodable commands get a reply; unknown snapshots are rejected."""

    def test_undecodable_commands(self) -> None:
        machine = control.ControlMachine()
        for payload in (b"", b"\xff" * 40, b"\xa1b_tcFoo", b"\x9f" * 5000):
            reply = control.REPLY_CODEC.decode(machine.apply(1, payload))
            self.assertEqual(reply.reason, control.RejectReason.UNDECODABLE)

    def test_undecodable_snapshots(self) -> None:
        machine = samples.make_configured_machine()
        data = machine.snapshot()
        before = machine.state
        for damaged in (b"", data[:-1], b"x" + data, data[:4] + b"\x07"):
            with self.assertRaises(control.SnapshotError):
                machine.restore(damaged)
        self.assertIs(machine.state, before)
        machine.restore(data)
        self.assertEqual(machine.snapshot(), data)
