"""Interpreter of statecharts kept in YAML files.

Its library, the YAML parser and the reader of the packages' files take time and
some 3 MB, so they are loaded with the first chart: many processes run none, or
run theirs from a table.
"""

import typing

from banyanbank_base import _chart_table

if typing.TYPE_CHECKING:
    import sismic.model


def load_chart(package: str, name: str) -> "sismic.model.Statechart":
    """Loads a statechart that ships with a package.

    Args:
        package: Import name of the package that holds a `charts` folder.
        name: File name without `.yaml`.

    Raises:
        ChartError: The file is missing or not a valid chart.
    """
    import importlib.resources

    import sismic.exceptions
    import sismic.io

    file = importlib.resources.files(package) / "charts" / f"{name}.yaml"
    try:
        return sismic.io.import_from_yaml(file.read_text(encoding="utf-8"))
    except (OSError, sismic.exceptions.SismicError) as exc:
        raise _chart_table.ChartError(f"Chart {package}/{name}: {exc}") from exc


def load_table(package: str, name: str) -> _chart_table.ChartTable:
    """Loads a flat statechart that ships with a package as a table.

    Args:
        package: Import name of the package that holds a `charts` folder.
        name: File name without `.yaml`.

    Raises:
        ChartError: The file is missing or not a valid chart, or the chart has
            what a table cannot express.
    """
    chart = load_chart(package, name)
    transitions: dict[str, dict[str, str]] = {}
    for state in chart.children_for(chart.root):
        transitions[state] = {
            item.event: item.target for item in chart.transitions_from(state)
        }
    table = _chart_table.ChartTable(
        chart.name, chart.state_for(chart.root).initial, transitions
    )
    # What is rebuilt from the table alone differs if anything was left out.
    rebuilt = _describe(table)
    found = _export(chart)
    if found != rebuilt:
        raise _chart_table.ChartError(
            f"Chart {package}/{name}: a table holds only an initial state and "
            "transitions with one event and one target; found "
            f"{found}, of which the table keeps {rebuilt}."
        )
    return table


def _export(chart: "sismic.model.Statechart") -> dict[str, typing.Any]:
    """Returns all that the interpreter acts on, without names and texts."""
    import sismic.io.datadict

    exported = sismic.io.datadict.export_to_dict(chart)["statechart"]
    root = dict(exported["root state"])
    del root["name"]
    root["states"] = sorted(root["states"], key=lambda state: state["name"])
    for state in root["states"]:
        if "transitions" in state:
            state["transitions"].sort(key=lambda item: item.get("event", ""))
    return {**exported, "description": None, "root state": root}


def _describe(table: _chart_table.ChartTable) -> dict[str, typing.Any]:
    """Returns what `_export` finds in a chart that the table expresses."""
    states = []
    for name, targets in sorted(table.transitions.items()):
        state: dict[str, typing.Any] = {"name": name}
        if targets:
            state["transitions"] = [
                {"event": event, "target": target}
                for event, target in sorted(targets.items())
            ]
        states.append(state)
    return {
        "name": table.name,
        "description": None,
        "root state": {"initial": table.initial, "states": states},
    }


class ChartRunner:
    """Runs one instance of a chart.

    Args:
        chart: The chart, from `load_chart`.
    """

    def __init__(self, chart: "sismic.model.Statechart") -> None:
        import sismic.interpreter

        self._name = chart.name
        self._interpreter = sismic.interpreter.Interpreter(chart)
        self._interpreter.execute()

    @property
    def state(self) -> str:
        """Name of the innermost active state."""
        return str(self._interpreter.configuration[-1])

    def send(self, event: str) -> str:
        """Sends an event and returns the state that follows.

        Raises:
            ChartError: No transition of the current state takes the event.
        """
        before = self.state
        self._interpreter.queue(event)
        steps = self._interpreter.execute()
        if not any(step.transitions for step in steps):
            raise _chart_table.ChartError(
                f"Chart {self._name}: state {before} takes no event {event}."
            )
        return self.state
