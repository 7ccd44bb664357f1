"""Errors of sheets and text files, each with its place and its mend."""

import attrs


@attrs.frozen
class SheetError:
    """One fault in a sheet or text file."""

    file: str
    """Name of the file as the operator gave it."""
    row: int
    """Row as a spreadsheet numbers it (or line of a text), 0 for the whole."""
    column: str
    """Heading of the column; empty when the whole row is meant."""
    problem: str
    """What is wrong, with the value found."""
    mend: str
    """What to write instead."""

    def __str__(self) -> str:
        place = self.file
        if self.row:
            place += f", row {self.row}"
        if self.column:
            place += f", column {self.column}"
        return f"{place}: {self.problem} {self.mend}"


@attrs.frozen
class SheetErrors:
    """Every fault of one file; nothing of the file was taken."""

    errors: tuple[SheetError, ...]
    """The faults in the order of their rows; never empty."""

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)
