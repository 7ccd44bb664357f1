"""Tests of usage: exactly-once counts and frozen windows."""

import unittest

import attrs
import banyanbank_control as control

from tests.control import samples

ONE_CALL = control.UsageFigures(1, 10, 5, 2, 700)


def flush(sequence: int, incarnation: int = 1) -> control.AddUsage:
    """Returns a flush of one call."""
    delta = control.UsageDelta("acme", ONE_CALL)
    return control.AddUsage("ann", incarnation, sequence, (delta,))


class UsageTest(unittest.TestCase):
    """A flush counts exactly once and never in a frozen window."""

    def setUp(self) -> None:
        self.machine = control.ControlMachine()

    def send(self, cmd: control.Command) -> control.Reply:
        """Applies a command."""
        return samples.send(self.machine, cmd)

    @property
    def usage(self) -> control.UsageState:
        """Current usage state."""
        return self.machine.state.usage

    def test_flushes_count_once(self) -> None:
        added = control.UsageAdded(1)
        script = [
            (flush(1), added),
            (flush(1), added),
            (flush(3), control.UsageGap(2)),
            (flush(2), added),
            (flush(1, incarnation=2), added),
            (flush(3), added),
        ]
        for cmd, expected in script:
            self.assertEqual(self.send(cmd), expected)
        self.assertEqual(self.usage.open.figures["acme"].calls, 4)
        self.assertEqual(self.usage.open.interrupted, 1)

    def test_window_is_frozen(self) -> None:
        self.send(flush(1))
        close = control.CloseWindow(1, 120.0, first_start=60.0)
        closed = control.WindowClosed(1, 120.0)
        self.assertEqual(self.send(close), closed)
        self.assertEqual(self.send(flush(2)), control.UsageAdded(2))
        later = attrs.evolve(close, end=180.0)
        self.assertEqual(self.send(later), closed)
        frozen = self.usage.closed[1]
        self.assertEqual(frozen.figures["acme"], ONE_CALL)
        self.assertEqual((frozen.start, frozen.end), (60.0, 120.0))
        self.assertEqual(self.usage.open.start, 120.0)
        earlier_end = control.CloseWindow(2, 100.0)
        self.assertEqual(self.send(earlier_end), control.WindowClosed(2, 120.0))
        for number in (9, 3, -1):
            with self.subTest(number):
                reply = self.send(control.MarkReported(number))
                self.assertIsInstance(reply, control.Rejected)

    def test_refused_flushes(self) -> None:
        negative = control.UsageFigures(calls=-1)
        deltas = (control.UsageDelta("acme", negative),)
        reply = self.send(attrs.evolve(flush(1), deltas=deltas))
        self.assertEqual(reply.reason, control.RejectReason.INVALID)
        for incarnation in range(2, 7):
            self.send(flush(1, incarnation))
        reply = self.send(flush(1, 2))
        self.assertEqual(reply.reason, control.RejectReason.STALE)
        self.assertEqual(self.usage.open.figures["acme"].calls, 5)

    def test_unreported_windows_are_kept(self) -> None:
        for number in range(1, 1101):
            self.send(control.CloseWindow(number, 60.0 * number))
            if number != 5:
                self.send(control.MarkReported(number))
        self.assertEqual(len(self.usage.closed), 1096)
        self.assertEqual([w.number for w in self.usage.unreported()], [5])
        self.send(control.MarkReported(5))
        self.assertEqual(len(self.usage.closed), 1024)
        reply = self.send(control.MarkReported(5))
        self.assertEqual(reply, control.WindowReported(5))

    def test_graceful_shutdown_is_not_interrupted(self) -> None:
        self.send(attrs.evolve(flush(1), final=True))
        self.send(control.NoteInstanceLost("ann", 1))
        self.send(flush(1, incarnation=2))
        self.assertEqual(self.usage.open.interrupted, 0)
        self.send(control.NoteInstanceLost("ann", 2))
        self.send(control.NoteInstanceLost("ann", 2))
        self.assertEqual(self.usage.open.interrupted, 1)


class BufferTest(unittest.TestCase):
    """A flush stays unchanged until it is acknowledged."""

    def test_flushes(self) -> None:
        buffer = control.UsageBuffer("ann", 1)
        initial = buffer.flush()
        self.assertEqual((initial.sequence, initial.deltas), (1, ()))
        buffer.count("acme", ONE_CALL)
        self.assertIs(buffer.flush(), initial)
        buffer.acknowledge(initial)
        first = buffer.flush()
        buffer.count("acme", ONE_CALL)
        buffer.acknowledge(initial)
        self.assertIs(buffer.flush(), first)
        self.assertEqual(first, flush(2))
        buffer.acknowledge(first)
        buffer.acknowledge(buffer.flush())
        self.assertTrue(buffer.is_empty)
        self.assertIsNone(buffer.flush())
        self.assertTrue(buffer.flush(final=True).final)
