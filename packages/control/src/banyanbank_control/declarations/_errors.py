"""Errors of sheets and text files, each with its location and a remedy."""

import attrs


@attrs.frozen
class SheetError:
    """One error in a sheet or text file."""

    file: str
    """Name of the file as given by the operator."""
    row: int
    """Row of the sheet or line of the text, from 1; 0 for the whole file."""
    column: str
    """Heading of the column; empty for the whole row."""
    message: str
    """What is wrong, with the value found unless it may be a secret."""
    hint: str
    """How to correct it."""

    def __str__(self) -> str:
        location = self.file
        if self.row:
            location += f", row {self.row}"
        if self.column:
            location += f", column {self.column}"
        return f"{location}: {self.message} {self.hint}"


@attrs.frozen
class SheetErrors:
    """Every error of one file; no part of the file was accepted."""

    errors: tuple[SheetError, ...]
    """The errors in the order of their rows; never empty."""

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)
