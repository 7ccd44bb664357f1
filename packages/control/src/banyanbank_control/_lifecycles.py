"""Lifecycles that the charts of this package lay down.

The state of a lifecycle stands in a committed record, so a chart is read once
into a table of transitions; `base.ChartRunner` would hold it in an object.
"""

import attrs
import banyanbank_base as base

_PACKAGE = "banyanbank_control"


@attrs.frozen
class Lifecycle:
    """Transitions of one flat chart."""

    name: str
    """Name of the chart."""
    initial: str
    """State at the beginning."""
    transitions: dict[str, dict[str, str]]
    """Next state by state and event; final states have no events."""

    @classmethod
    def load(cls, name: str) -> "Lifecycle":
        """Reads a chart of this package.

        Raises:
            ChartError: The chart is missing, invalid or nested.
        """
        chart = base.load_chart(_PACKAGE, name)
        states = chart.children_for(chart.root)
        if any(chart.children_for(state) for state in states):
            raise base.ChartError(f"Chart {name} has nested states.")
        return cls(
            name,
            chart.state_for(chart.root).initial,
            {
                state: {
                    item.event: item.target
                    for item in chart.transitions_from(state)
                }
                for state in states
            },
        )

    def next(self, state: str, event: str) -> str | None:
        """Returns the state after an event; None when it takes no effect."""
        return self.transitions[state].get(event)

    def is_final(self, state: str) -> bool:
        """Returns whether no event leads on from a state."""
        return not self.transitions[state]


ORDER = Lifecycle.load("order")
INTENT = Lifecycle.load("intent")
WINDOW = Lifecycle.load("window")
ENDPOINT = Lifecycle.load("endpoint")
