"""Interpreter of flat statecharts that are kept as transition tables.

A process that must serve soon after its start runs its charts from tables: the
YAML files remain the source, but neither they nor the libraries that read them
are loaded.
"""

import collections.abc

import attrs


class ChartError(Exception):
    """A chart file is invalid or an event does not fit the current state."""


@attrs.frozen
class ChartTable:
    """Transitions of a flat chart without guards, actions and contracts."""

    name: str
    """Name of the chart."""
    initial: str
    """State in which it starts."""
    transitions: collections.abc.Mapping[str, collections.abc.Mapping[str, str]]
    """Target by source state and event; each state is a key."""


class TableRunner:
    """Runs one instance of a chart from its table.

    Args:
        table: The chart; runners share it and do not modify it.
    """

    def __init__(self, table: ChartTable) -> None:
        self._table = table
        self.state = table.initial
        """Name of the active state."""

    def send(self, event: str) -> str:
        """Sends an event and returns the state that follows.

        Raises:
            ChartError: No transition of the current state takes the event.
        """
        target = self._table.transitions[self.state].get(event)
        if target is None:
            raise ChartError(
                f"Chart {self._table.name}: state {self.state} takes no event "
                f"{event}."
            )
        self.state = target
        return target
