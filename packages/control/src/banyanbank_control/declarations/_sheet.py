"""Parses and writes sheets: one CSV table with a `kind` column.

Accepts what spreadsheets export: UTF-8, or UTF-16 with a byte order mark;
LF or CRLF; commas, semicolons or tabs; a leading `sep=` line; quoted cells;
blank lines and trailing empty columns. One invalid row rejects the sheet.
"""

import csv
import io

import returns.result

from banyanbank_control.declarations import _collector
from banyanbank_control.declarations import _columns
from banyanbank_control.declarations import _errors
from banyanbank_control.declarations import _models

MAX_SHEET_BYTES = 8 * 1024 * 1024
"""Maximum size of a sheet or text file."""

_DELIMITERS = ",;\t"


class _FileFormatError(Exception):
    """The file cannot be decoded or split into cells.

    Its arguments are the message and the hint of a `SheetError`.
    """


def parse_sheet(
    name: str, data: bytes
) -> returns.result.Result[_models.Declarations, _errors.SheetErrors]:
    """Parses a sheet.

    Args:
        name: Name of the file, for error messages.
        data: Content of the file.

    Returns:
        The declarations, or every error of the sheet.
    """
    collector = _collector.ItemCollector(name, "row")
    try:
        rows = _read_csv_rows(data)
    except _FileFormatError as exc:
        message, hint = exc.args
        collector.add_error(0, "", message, hint)
        rows = []
    _parse_rows(collector, rows)
    return collector.finish()


def _read_csv_rows(data: bytes) -> list[list[str]]:
    if len(data) > MAX_SHEET_BYTES:
        raise _FileFormatError(
            f"The file is too large: {len(data)} bytes.",
            f"Reduce it to at most {MAX_SHEET_BYTES} bytes.",
        )
    text = _decode(data)
    delimiter = _detect_delimiter(text)
    reader = csv.reader(
        io.StringIO(text, newline=""), delimiter=delimiter, strict=True
    )
    try:
        return list(reader)
    except csv.Error as exc:
        raise _FileFormatError(
            f"Line {reader.line_num} is not valid CSV: {exc}.",
            "Export the sheet again as CSV and check its quotes.",
        ) from exc


def _decode(data: bytes) -> str:
    is_utf16 = data[:2] in (b"\xff\xfe", b"\xfe\xff")
    try:
        return data.decode("utf-16" if is_utf16 else "utf-8-sig")
    except UnicodeDecodeError as exc:
        raise _FileFormatError(
            f"The byte at offset {exc.start} is not valid {exc.encoding}.",
            "Export the sheet as CSV in UTF-8.",
        ) from exc


def _detect_delimiter(text: str) -> str:
    first_line = next((line for line in text.splitlines() if line.strip()), "")
    if _is_separator_line(first_line):
        return first_line[len("sep=")]
    return max(_DELIMITERS, key=first_line.count)


def _is_separator_line(line: str) -> bool:
    return line.lower().startswith("sep=") and line[4:5] in tuple(_DELIMITERS)


def _parse_rows(
    collector: _collector.ItemCollector, rows: list[list[str]]
) -> None:
    headings: list[str] = []
    for row, record in enumerate(rows, start=1):
        cells = [cell.strip() for cell in record]
        if not any(cells):
            continue
        if headings:
            _parse_row(collector, row, headings, cells)
        elif not (cells[0].lower().startswith("sep=")):
            headings = _parse_headings(collector, row, cells)
            if "kind" not in headings:
                return
    if not headings and not collector.errors:
        collector.add_error(
            0,
            "",
            "The sheet is empty.",
            f"Start it with the headings {', '.join(_columns.HEADINGS)}.",
        )


def _parse_headings(
    collector: _collector.ItemCollector, row: int, cells: list[str]
) -> list[str]:
    headings = [cell.lower().replace(" ", "_") for cell in cells]
    seen: set[str] = set()
    for heading in headings:
        if heading and heading not in _columns.HEADINGS:
            collector.add_error(
                row,
                heading,
                "The heading is unknown.",
                f"Use only: {', '.join(_columns.HEADINGS)}.",
            )
        elif heading and heading in seen:
            collector.add_error(
                row,
                heading,
                "The heading occurs more than once.",
                "Remove all but one.",
            )
        seen.add(heading)
    if "kind" not in seen:
        collector.add_error(
            row,
            "kind",
            "The first row that is not blank has no heading 'kind'.",
            "Start the sheet with a row of headings.",
        )
    return headings


def _parse_row(
    collector: _collector.ItemCollector,
    row: int,
    headings: list[str],
    cells: list[str],
) -> None:
    if any(cells[len(headings) :]):
        collector.add_error(
            row,
            "",
            "The row has more cells than there are headings.",
            "Quote cells that contain the separator, or add the headings.",
        )
        return
    filled = {
        heading: cell
        for heading, cell in zip(headings, cells, strict=False)
        if cell and heading in _columns.HEADINGS
    }
    kind = filled.pop("kind", "").lower()
    spec = _columns.SPEC_BY_KIND.get(kind)
    if spec is None:
        kinds = ", ".join(_columns.SPEC_BY_KIND)
        collector.add_error(
            row,
            "kind",
            f"{kind!r} is not a known kind.",
            f"Write one of: {kinds}.",
        )
        return
    item, problems = _columns.parse_item(spec, filled)
    for problem in problems:
        collector.add_error(row, problem.column, problem.message, problem.hint)
    if item is not None:
        collector.add(row, item)


def export_sheet(declared: _models.Declarations) -> bytes:
    """Returns a sheet (UTF-8, commas, LF) that parses back unchanged."""
    buffer = io.StringIO(newline="")
    writer = csv.DictWriter(
        buffer, _columns.HEADINGS, restval="", lineterminator="\n"
    )
    writer.writeheader()
    for item in declared.items():
        kind = _columns.SPEC_BY_CLASS[type(item)].kind.value
        writer.writerow({"kind": kind, **_columns.format_item(item)})
    return buffer.getvalue().encode("utf-8")
