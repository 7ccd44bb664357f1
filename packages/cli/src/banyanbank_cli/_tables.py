"""Readable text of the JSON documents that servers answer with."""

import collections.abc
import typing

MAX_CELL_CHARS = 60
"""Longer cells of a table are cut."""


def render(document: typing.Any) -> str:
    """Returns a JSON document as text: names, values and tables."""
    return "\n".join(_lines(document)) + "\n"


def _lines(document: typing.Any) -> collections.abc.Iterator[str]:
    if isinstance(document, dict):
        for name, value in document.items():
            yield from _field(str(name), value)
    elif _is_table(document):
        yield from _table(document)
    elif isinstance(document, list):
        yield from (f"- {_cell(item)}" for item in document)
    else:
        yield _cell(document)


def _field(name: str, value: typing.Any) -> collections.abc.Iterator[str]:
    if isinstance(value, dict | list) and value:
        yield f"{name}:"
        yield from (f"  {line}" for line in _lines(value))
    else:
        yield f"{name}: {_cell(value)}"


def _is_table(document: typing.Any) -> bool:
    return (
        isinstance(document, list)
        and bool(document)
        and all(isinstance(row, dict) for row in document)
    )


def _table(
    rows: list[dict[str, typing.Any]],
) -> collections.abc.Iterator[str]:
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_cut(_cell(row.get(name))) for name in names] for row in rows]
    widths = [
        max(len(name), *(len(row[column]) for row in cells))
        for column, name in enumerate(names)
    ]
    for row in [names, *cells]:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        yield "  ".join(padded).rstrip()


def _cell(value: typing.Any) -> str:
    if value is None or value in ([], {}):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(_cell(item) for item in value)
    if isinstance(value, dict):
        return " ".join(f"{name}={_cell(item)}" for name, item in value.items())
    return "".join(char if char.isprintable() else " " for char in str(value))


def _cut(text: str) -> str:
    if len(text) <= MAX_CELL_CHARS:
        return text
    return text[: MAX_CELL_CHARS - 1] + "…"
