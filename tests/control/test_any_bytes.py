"""Malformed commands, snapshots, sheets and texts get typed errors."""

import collections.abc
import functools
import typing
import unittest

import banyanbank_control as control
import cbor2
import hypothesis
from hypothesis import strategies

from tests.control import samples
from tests.control import test_duties
from tests.control import test_intents
from tests.control import test_usage

_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

_COMMANDS = (
    samples.make_apply_declarations("x", 1),
    control.derive_changes(
        samples.make_configured_machine().state.config,
        samples.make_apply_declarations("y", 1),
    ),
    control.CreateKey("c", "ann", control.Key("n", "acme", "1" * 64)),
    control.WithdrawKey("w", "ann", "acme-1"),
    test_intents.BEGIN,
    test_intents.COMPLETE,
    test_intents.ABANDON,
    control.ExpireIntents(10.0),
    control.NoteInstanceLost("ann", 1),
    test_usage.flush(1),
    control.CloseWindow(1, 60.0),
    control.MarkReported(1),
    test_duties.DECIDE,
    control.MarkOrder(1, control.OrderStatus.SENT, 1),
    control.MarkEngine("e1", "coach", 2, 1),
    control.RolloutCommand(b"\xa0"),
)

_ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.binary(max_size=8),
    strategies.just([]),
    strategies.just({}),
    strategies.just([[["x"]]]),
)


def _iter_paths(value: typing.Any) -> collections.abc.Iterator[tuple]:
    """Yields the path of every value within maps and arrays."""
    if isinstance(value, dict):
        items: collections.abc.Iterable = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        items = ()
    for key, inner in items:
        yield (key,)
        for path in _iter_paths(inner):
            yield (key, *path)


def _with_odd_value(data: bytes, draw: strategies.DataObject) -> bytes:
    """Replaces one value anywhere in encoded CBOR by an unexpected one."""
    value = cbor2.loads(data)
    path = draw.draw(
        strategies.sampled_from(sorted(_iter_paths(value), key=repr))
    )
    inner = functools.reduce(lambda part, key: part[key], path[:-1], value)
    inner[path[-1]] = draw.draw(_ODD_VALUES)
    return cbor2.dumps(value)


class CommandBytesTest(unittest.TestCase):
    """Any payload gets the same decodable reply on every voter."""

    def apply(self, payload: bytes) -> None:
        """Applies a payload at two voters and checks replies and snapshots."""
        voters = [samples.make_configured_machine() for _ in range(2)]
        replies = {voter.apply(2, payload) for voter in voters}
        self.assertEqual(len(replies), 1)
        reply = control.REPLY_CODEC.decode(replies.pop())
        if isinstance(reply, control.Rejected):
            self.assertIsNot(reply.reason, control.RejectReason.DEFECT)
        data = voters[0].snapshot()
        voters[1].restore(data)
        self.assertEqual(voters[1].snapshot(), data)

    @hypothesis.settings(_SETTINGS, max_examples=100)
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes(self, payload: bytes) -> None:
        self.apply(payload)

    @hypothesis.settings(_SETTINGS, max_examples=700)
    @hypothesis.given(strategies.sampled_from(_COMMANDS), strategies.data())
    def test_odd_values(
        self, cmd: control.Command, draw: strategies.DataObject
    ) -> None:
        self.apply(_with_odd_value(control.COMMAND_CODEC.encode(cmd), draw))


class SnapshotBytesTest(unittest.TestCase):
    """A damaged snapshot is rejected and leaves the state unchanged."""

    @classmethod
    def setUpClass(cls) -> None:
        machine = samples.make_configured_machine()
        for cmd in _COMMANDS:
            samples.send(machine, cmd)
        cls.data = machine.snapshot()

    @hypothesis.settings(_SETTINGS, max_examples=500)
    @hypothesis.given(strategies.data())
    def test_odd_values(self, draw: strategies.DataObject) -> None:
        machine = samples.make_configured_machine()
        before = machine.state
        try:
            machine.restore(
                self.data[:5] + _with_odd_value(self.data[5:], draw)
            )
        except control.SnapshotError:
            self.assertIs(machine.state, before)


class SheetBytesTest(unittest.TestCase):
    """Sheets and texts are read completely or rejected with errors."""

    def read(self, data: bytes) -> None:
        """Parses bytes as a sheet and as a text; what is read round-trips."""
        for parse in (control.parse_sheet, control.parse_text):
            read = parse("f", data)
            declared = read.value_or(None)
            if declared is None:
                self.assertTrue(read.failure().errors)
                continue
            sheet = control.export_sheet(declared)
            text = control.export_text(declared).encode()
            self.assertEqual(control.parse_sheet("f", sheet).unwrap(), declared)
            self.assertEqual(control.parse_text("f", text).unwrap(), declared)

    def test_hostile_texts(self) -> None:
        for data in (
            b"&a [*a]",
            b"accounts: &a [*a]",
            b"accounts: [{name: &b [*b]}]",
            b"accounts: [{? [x] : y}]",
            b"accounts: !!python/object:os.system [x]",
            b"accounts:\n  - name: a\n    name: b\n",
            b"[" * 5000,
            b"{" * 5000,
        ):
            with self.subTest(data[:30]):
                self.read(data)

    @hypothesis.settings(_SETTINGS, max_examples=300)
    @hypothesis.given(strategies.data())
    def test_any_bytes(self, draw: strategies.DataObject) -> None:
        forms = (
            control.export_sheet(samples.DECLARED),
            control.export_text(samples.DECLARED).encode(),
        )
        data = bytearray(draw.draw(strategies.sampled_from(forms)))
        for _ in range(draw.draw(strategies.integers(1, 4))):
            offset = draw.draw(strategies.integers(0, len(data) - 1))
            data[offset : offset + 1] = draw.draw(strategies.binary(max_size=3))
        self.read(bytes(data))
