"""Tests that transition tables, enumerations and chart interpreter agree."""

import unittest

import banyanbank_base as base
import banyanbank_control as control
from banyanbank_control import _lifecycles
from banyanbank_control import intents
from banyanbank_control import usage


class LifecycleTest(unittest.TestCase):
    """Transition tables and the chart interpreter take the same steps."""

    def test_states(self) -> None:
        cases = (
            (_lifecycles.ORDER, control.OrderStatus, set()),
            (_lifecycles.INTENT, intents.IntentStatus, {"unclaimed"}),
            (_lifecycles.WINDOW, usage.WindowStatus, set()),
            (_lifecycles.ENDPOINT, control.Phase, set()),
        )
        for lifecycle, members, extra_states in cases:
            with self.subTest(lifecycle.name):
                values = {member.value for member in members} | extra_states
                self.assertEqual(set(lifecycle.transitions), values)
                self.check_paths(lifecycle)

    def check_paths(self, lifecycle: _lifecycles.Lifecycle) -> None:
        """Follows every transition from the initial state."""
        chart = base.load_chart("banyanbank_control", lifecycle.name)
        paths = [()]
        for path in paths:
            runner = base.ChartRunner(chart)
            state = lifecycle.initial
            for event in path:
                state = lifecycle.next(state, event)
                self.assertEqual(runner.send(event), state)
            if len(path) < 3:
                events = lifecycle.transitions[state]
                paths.extend((*path, event) for event in events)

    def test_orders_end(self) -> None:
        live = {item.value for item in control.OrderStatus if item.live}
        self.assertEqual(live, {"decided", "sent", "acknowledged"})
