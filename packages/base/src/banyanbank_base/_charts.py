"""Interpreter of statecharts kept in YAML files.

Its library, the YAML parser and the reader of the packages' files take time and
some 3 MB, so they are loaded with the first chart: many processes run none.
"""

import typing

if typing.TYPE_CHECKING:
    import sismic.model


class ChartError(Exception):
    """A chart file is invalid or an event does not fit the current state."""


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
        raise ChartError(f"Chart {package}/{name}: {exc}") from exc


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
            raise ChartError(
                f"Chart {self._name}: state {before} takes no event {event}."
            )
        return self.state
