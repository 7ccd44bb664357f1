"""Sheets: one CSV table with a `kind` column.

Reads what spreadsheets export: UTF-8 or UTF-16 with a byte order mark, CRLF,
commas, semicolons or tabs, a leading `sep=` line, quoted cells, blank lines
and trailing empty columns. Either every row is taken or none.
"""

import csv
import io

import attrs
import returns.result

from banyanbank_control.declarations import _checks
from banyanbank_control.declarations import _columns
from banyanbank_control.declarations import _errors
from banyanbank_control.declarations import _models

MAX_SHEET_BYTES = 8 * 1024 * 1024
"""Largest sheet that is read, in bytes."""

_DELIMITERS = ",;\t"


class _UnreadableError(Exception):
    """The file as a whole cannot be read; carries problem and mend."""


@attrs.define
class _Reading:
    """What has been read of one sheet so far."""

    file: str
    """Name of the file."""
    items: dict[_models.ItemRef, _models.Item] = attrs.Factory(dict)
    """Items by reference."""
    rows: dict[_models.ItemRef, int] = attrs.Factory(dict)
    """Row of each item."""
    errors: list[_errors.SheetError] = attrs.Factory(list)
    """Faults so far."""

    def fail(self, row: int, column: str, problem: str, mend: str) -> None:
        """Notes one fault."""
        self.errors.append(
            _errors.SheetError(self.file, row, column, problem, mend)
        )

    def add(self, row: int, item: _models.Item) -> None:
        """Takes in one item, or notes that it stands twice."""
        first = self.rows.setdefault(item.ref, row)
        if first != row:
            self.fail(
                row,
                "name",
                f"The {item.ref} stands in row {first} already.",
                "Remove one of the two rows.",
            )
            return
        self.items[item.ref] = item


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
    reading = _Reading(name)
    try:
        records = _records(data)
    except _UnreadableError as exc:
        problem, mend = exc.args
        reading.fail(0, "", problem, mend)
        records = []
    _read_records(reading, records)
    return conclude(reading.file, reading.items, reading.rows, reading.errors)


def conclude(
    file: str,
    items: dict[_models.ItemRef, _models.Item],
    rows: dict[_models.ItemRef, int],
    errors: list[_errors.SheetError],
) -> returns.result.Result[_models.Declarations, _errors.SheetErrors]:
    """Checks items against each other and returns them or every fault.

    Args:
        file: Name of the file.
        items: Items read, by reference.
        rows: Row or line of each item.
        errors: Faults found so far.
    """
    declared = _models.Declarations.of(items.values())
    found = list(errors)
    # Checks between items would repeat the faults of rows that were left out.
    if not errors:
        found.extend(
            _errors.SheetError(
                file,
                rows[problem.ref],
                problem.heading,
                problem.problem,
                problem.mend,
            )
            for problem in _checks.check(declared)
        )
    if found:
        found.sort(key=lambda error: error.row)
        return returns.result.Failure(_errors.SheetErrors(tuple(found)))
    return returns.result.Success(declared)


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


def _read_records(reading: _Reading, records: list[list[str]]) -> None:
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


def _read_headings(reading: _Reading, row: int, cells: list[str]) -> list[str]:
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
    reading: _Reading, row: int, headings: list[str], cells: list[str]
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
