"""State transition tables loaded from the statecharts of this package.

Committed records hold the current state, so each chart becomes a stateless
transition table; `base.ChartRunner` would keep the state in an object.
"""

import attrs
import banyanbank_base as base

_PACKAGE = "banyanbank_control"


@attrs.frozen
class Lifecycle:
    """Transition table of one flat statechart."""

    name: str
    """Chart name."""
    initial: str
    """Initial state."""
    transitions: dict[str, dict[str, str]]
    """Target state by source state and event; empty for a final state."""

    @classmethod
    def load(cls, name: str) -> "Lifecycle":
        """Loads a chart of this package.

        Raises:
            ChartError: The chart is missing or invalid, or has nested states.
        """
        chart = base.load_chart(_PACKAGE, name)
        states = chart.children_for(chart.root)
        if any(chart.children_for(state) for state in states):
            raise base.ChartError(
                f"Chart {name} has nested states; a lifecycle must be flat."
            )
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
        """Returns the state after an event, or None if it is ignored."""
        return self.transitions[state].get(event)

    def is_final(self, state: str) -> bool:
        """Returns whether a state has no outgoing transition."""
        return not self.transitions[state]


ORDER = Lifecycle.load("order")
INTENT = Lifecycle.load("intent")
WINDOW = Lifecycle.load("window")
ENDPOINT = Lifecycle.load("endpoint")
