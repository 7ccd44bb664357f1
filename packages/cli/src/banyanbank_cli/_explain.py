"""The command that explains a request, job or item from log files."""

import collections.abc
import json
import pathlib
import typing

import attrs
import banyanbank_node as node

ID_FIELDS = ("request", "job", "item", "endpoint", "scorer")
"""Fields of a line that name what it is about."""

CONTEXT = (
    "leader.",
    "lease.",
    "process.st",
    "process.failed",
    "dep.",
    "log.failed",
)
"""Beginnings of events that may explain others at the same time."""

CONTEXT_S = 1.0
"""Seconds before and after the lines of an id in which others are shown."""


@attrs.frozen
class Explanation:
    """Lines about one id, in order, and the one that decided."""

    lines: tuple[dict[str, typing.Any], ...]
    """Lines about the id."""
    context: tuple[dict[str, typing.Any], ...]
    """Losses and elections at the same time."""
    deciding: dict[str, typing.Any] | None
    """Line that ended it; None while it is open."""


def read_lines(
    texts: collections.abc.Iterable[str],
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    """Yields the structured lines of logs; other lines are passed over.

    A line may have words before its JSON, as collectors add them.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "t" in line:
            yield line


def explain(
    lines: collections.abc.Iterable[dict[str, typing.Any]], wanted: str
) -> Explanation:
    """Finds the lines about an id and those that may explain them.

    Processes write one agreed time, so their lines merge by it.

    Args:
        lines: Lines of all processes.
        wanted: Id of a request, job, item or endpoint.
    """
    ordered = sorted(lines, key=lambda line: float(line["t"]))
    own = [
        line
        for line in ordered
        if wanted in (line.get(name) for name in ID_FIELDS)
    ]
    deciding = [line for line in own if line["event"] in _deciding_events()]
    context = []
    if own:
        since = own[0]["t"] - CONTEXT_S
        until = own[-1]["t"] + CONTEXT_S
        context = [
            line
            for line in ordered
            if since <= line["t"] <= until and line["event"].startswith(CONTEXT)
        ]
    return Explanation(
        tuple(own), tuple(context), deciding[-1] if deciding else None
    )


def show(found: Explanation, as_json: bool) -> str:
    """Returns an explanation as text."""
    if as_json:
        return json.dumps(attrs.asdict(found)) + "\n"
    if not found.lines:
        return "No line names this id: no process of these logs decided it.\n"
    marked = [(line, " ") for line in found.lines]
    marked += [(line, "~") for line in found.context]
    marked.sort(key=lambda pair: float(pair[0]["t"]))
    start = float(found.lines[0]["t"])
    shown = [_show_line(line, mark, start) for line, mark in marked]
    if found.deciding is None:
        shown.append("open: no line ends it")
    else:
        shown.append("decided by:")
        shown.append(_show_line(found.deciding, ">", start))
    return "\n".join(shown) + "\n"


def run(wanted: str, files: list[str], as_json: bool) -> str:
    """Explains an id from log files.

    Args:
        wanted: Id of a request, job, item or endpoint.
        files: Log files of the processes.
        as_json: Whether to answer with JSON.

    Raises:
        OSError: A file cannot be read.
    """
    texts: list[str] = []
    for file in files:
        texts.extend(pathlib.Path(file).read_text("utf-8").splitlines())
    return show(explain(read_lines(texts), wanted), as_json)


def _deciding_events() -> frozenset[str]:
    return frozenset(kind.name for kind in node.EVENTS if kind.is_final)


def _show_line(line: dict[str, typing.Any], mark: str, start: float) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("t", "instance", "event")
    )
    age_s = float(line["t"]) - start
    return f"{mark} {age_s:+9.3f} {line['instance']} {line['event']} {fields}"
