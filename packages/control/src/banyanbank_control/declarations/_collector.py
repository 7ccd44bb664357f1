"""Collects items and errors while a file of declarations is parsed."""

import attrs
import returns.result

from banyanbank_control.declarations import _checks
from banyanbank_control.declarations import _errors
from banyanbank_control.declarations import _models


@attrs.define
class ItemCollector:
    """Items and errors of one file, in a sheet or in text form."""

    file: str
    """Name of the file, for error messages."""
    position_label: str
    """What positions are called in error messages, `row` or `line`."""
    items: dict[_models.ItemRef, _models.Item] = attrs.Factory(dict)
    """Items by reference."""
    positions: dict[_models.ItemRef, int] = attrs.Factory(dict)
    """Row or line of each item."""
    errors: list[_errors.SheetError] = attrs.Factory(list)
    """Errors in the order found."""

    def add_error(
        self, position: int, column: str, message: str, hint: str
    ) -> None:
        """Adds an error at a position; 0 stands for the whole file."""
        self.errors.append(
            _errors.SheetError(self.file, position, column, message, hint)
        )

    def add(self, position: int, item: _models.Item) -> None:
        """Adds an item, or an error when another position declares it too."""
        first_position = self.positions.setdefault(item.ref, position)
        if first_position != position:
            self.add_error(
                position,
                "name",
                f"The {item.ref} is already declared in {self.position_label}"
                f" {first_position}.",
                f"Remove one of the two {self.position_label}s.",
            )
            return
        self.items[item.ref] = item

    def finish(
        self,
    ) -> returns.result.Result[_models.Declarations, _errors.SheetErrors]:
        """Checks references between items; returns the items or every error."""
        declared = _models.Declarations.from_items(self.items.values())
        found = list(self.errors)
        # An invalid row yields no item, so references to it would be reported
        # as missing.
        if not self.errors:
            found.extend(
                _errors.SheetError(
                    self.file,
                    self.positions[problem.ref],
                    problem.column,
                    problem.message,
                    problem.hint,
                )
                for problem in _checks.check(declared)
            )
        if found:
            found.sort(key=lambda error: error.row)
            return returns.result.Failure(_errors.SheetErrors(tuple(found)))
        return returns.result.Success(declared)
