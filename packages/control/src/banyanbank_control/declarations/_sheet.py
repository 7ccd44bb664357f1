"""Sheets: one CSV table with a `kind` column.

Reads what spreadsheets export: UTF-8 or UTF-16 with a byte order mark, CRLF,
commas, semicolons or tabs, a leading `sep=` line, quoted cells, blank lines
and trailing empty columns. Either every row is taken or none.
"""

import csv
import io

import returns.result

from banyanbank_control.declarations import _columns
from banyanbank_control.declarations import _errors
from banyanbank_control.declarations import _findings
from banyanbank_control.declarations import _models

MAX_SHEET_BYTES = 8 * 1024 * 1024
"""Largest sheet that is read, in bytes."""

_DELIMITERS = ",;\t"


class _UnreadableError(Exception):
    """The file as a whole cannot be read; carries problem and mend."""


def parse_sheet(
    name: str, data: bytes
) -> returns.result.Result[_models.Declarations, _errors.SheetErrors]:
    """Reads a sheet.

    Args:
        name: Name of the file, for errors.
        data: Its bytes.

    Returns:
        The declarations, or every fault of the sheet.
    """
    reading = _findings.Findings(name, "row")
    try:
        records = _records(data)
    except _UnreadableError as exc:
        problem, mend = exc.args
        reading.fail(0, "", problem, mend)
        records = []
    _read_records(reading, records)
    return reading.conclude()


def _records(data: bytes) -> list[list[str]]:
    if len(data) > MAX_SHEET_BYTES:
        raise _UnreadableError(
            f"The file has {len(data)} bytes.",
            f"Keep it below {MAX_SHEET_BYTES} bytes.",
        )
    text = _decode(data)
    delimiter = _delimiter(text)
    reader = csv.reader(
        io.StringIO(text, newline=""), delimiter=delimiter, strict=True
    )
    try:
        return list(reader)
    except csv.Error as exc:
        raise _UnreadableError(
            f"Line {reader.line_num} is not CSV: {exc}.",
            "Export the sheet again as CSV and check its quotes.",
        ) from exc


def _decode(data: bytes) -> str:
    utf16 = data[:2] in (b"\xff\xfe", b"\xfe\xff")
    try:
        return data.decode("utf-16" if utf16 else "utf-8-sig")
    except UnicodeDecodeError as exc:
        raise _UnreadableError(
            f"Byte {exc.start} is not {exc.encoding} text.",
            "Export the sheet as CSV in UTF-8.",
        ) from exc


def _delimiter(text: str) -> str:
    first = next((line for line in text.splitlines() if line.strip()), "")
    if _is_separator_line(first):
        return first[len("sep=")]
    return max(_DELIMITERS, key=first.count)


def _is_separator_line(line: str) -> bool:
    return line.lower().startswith("sep=") and line[4:5] in tuple(_DELIMITERS)


def _read_records(
    reading: _findings.Findings, records: list[list[str]]
) -> None:
    headings: list[str] = []
    for row, record in enumerate(records, start=1):
        cells = [cell.strip() for cell in record]
        if not any(cells):
            continue
        if headings:
            _read_row(reading, row, headings, cells)
        elif not (cells[0].lower().startswith("sep=")):
            headings = _read_headings(reading, row, cells)
            if "kind" not in headings:
                return
    if not headings and not reading.errors:
        reading.fail(
            0,
            "",
            "The sheet is empty.",
            f"Start it with the headings {', '.join(_columns.HEADINGS)}.",
        )


def _read_headings(
    reading: _findings.Findings, row: int, cells: list[str]
) -> list[str]:
    headings = [cell.lower().replace(" ", "_") for cell in cells]
    seen: set[str] = set()
    for heading in headings:
        if heading and heading not in _columns.HEADINGS:
            reading.fail(
                row,
                heading,
                "The heading is not known.",
                f"Use some of: {', '.join(_columns.HEADINGS)}.",
            )
        elif heading and heading in seen:
            reading.fail(
                row, heading, "The heading stands twice.", "Remove one."
            )
        seen.add(heading)
    if "kind" not in seen:
        reading.fail(
            row,
            "kind",
            "The first row that is not blank has no heading 'kind'.",
            "Start the sheet with its headings.",
        )
    return headings


def _read_row(
    reading: _findings.Findings, row: int, headings: list[str], cells: list[str]
) -> None:
    if any(cells[len(headings) :]):
        reading.fail(
            row,
            "",
            "The row has more cells than there are headings.",
            "Quote cells that hold the separator.",
        )
        return
    filled = {
        heading: cell
        for heading, cell in zip(headings, cells, strict=False)
        if cell and heading in _columns.HEADINGS
    }
    kind = filled.pop("kind", "").lower()
    spec = _columns.BY_KIND.get(kind)
    if spec is None:
        known = ", ".join(_columns.BY_KIND)
        reading.fail(
            row, "kind", f"{kind!r} is not known.", f"Write one of: {known}."
        )
        return
    item, problems = _columns.read_item(spec, filled)
    for problem in problems:
        reading.fail(row, problem.heading, problem.problem, problem.mend)
    if item is not None:
        reading.add(row, item)


def export_sheet(declared: _models.Declarations) -> bytes:
    """Returns a sheet (UTF-8, commas, LF) that reads back unchanged."""
    out = io.StringIO(newline="")
    writer = csv.DictWriter(
        out, _columns.HEADINGS, restval="", lineterminator="\n"
    )
    writer.writeheader()
    for item in declared.items():
        kind = _columns.BY_CLASS[type(item)].kind.value
        writer.writerow({"kind": kind, **_columns.write_item(item)})
    return out.getvalue().encode("utf-8")
