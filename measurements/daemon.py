"""Measures metrics, time line and logs: `python -m measurements.daemon`."""

import collections.abc
import io
import pathlib
import tempfile
import time

import banyanbank_base as base
from banyanbank_daemon import _logs
from banyanbank_daemon import _metrics
from banyanbank_daemon import _timeline
from banyanbank_daemon import _timeline_pages
import loguru

ROUNDS = 20_000
"""Repetitions of one figure."""


def show(
    name: str, action: collections.abc.Callable[[], object], rounds: int
) -> None:
    """Prints the mean time of an action in microseconds."""
    before = time.perf_counter()
    for _ in range(rounds):
        action()
    mean = (time.perf_counter() - before) / rounds * 1e6
    print(f"{name}: {mean:.1f} us")  # noqa: T201


def measure_metrics() -> None:
    """Recording and rendering."""
    registry = _metrics.MetricsRegistry(base.SystemClock())
    calls = registry.counter("calls_total", "Calls.", "account")
    wait = registry.histogram("wait_seconds", "Wait.", "account")
    show("counter", lambda: calls.add(1, "tesfaye"), ROUNDS)
    show("histogram", lambda: wait.record(0.012, "tesfaye"), ROUNDS)
    for number in range(50):
        wait.record(0.1, str(number))
    show("render 51 histograms", registry.render, 20)


def measure_timeline(folder: pathlib.Path) -> None:
    """Recording, reading, merging and drawing."""
    clock = base.SystemClock()
    memory = _timeline.Timeline(base.InstanceId("e1"), clock)
    files = _timeline.EventFiles(folder)
    written = _timeline.Timeline(base.InstanceId("e2"), clock, files=files)
    for name, line in (("memory", memory), ("memory and file", written)):
        show(
            f"event to {name}",
            lambda line=line: line.record("request.accepted", request="r" * 32),
            ROUNDS,
        )
    files.close()
    query = _timeline.EventQuery(request="none")
    show("query of 20000 events", lambda: memory.find(query), 20)
    lists = [list(memory.events), list(written.events)]
    show("merge of 40000 events", lambda: _timeline.merge_events(lists), 5)
    merged = _timeline.merge_events(lists)
    show(
        "page of 5000 events",
        lambda: _timeline_pages.render_html(merged, "x"),
        3,
    )


def measure_logs() -> None:
    """One line of a log, with its search for secrets."""
    for log_format in _FORMATS:
        redactor = _logs.Redactor()
        redactor.add("operator-token-17")
        undo = _logs.configure(
            io.StringIO(), log_format, "INFO", "e1", redactor
        )
        show(
            f"log line, {log_format}",
            lambda: loguru.logger.info("Endpoint {} has left", "en-1"),
            5_000,
        )
        undo()


_FORMATS = ("json", "readable")


def main() -> None:
    """Prints all figures."""
    measure_metrics()
    with tempfile.TemporaryDirectory() as folder:
        measure_timeline(pathlib.Path(folder))
    measure_logs()


if __name__ == "__main__":
    main()
