"""Items and faults found while a file of declarations is read."""

import attrs
import returns.result

from banyanbank_control.declarations import _checks
from banyanbank_control.declarations import _errors
from banyanbank_control.declarations import _models


@attrs.define
class Findings:
    """What has been read of one file so far."""

    file: str
    """Name of the file."""
    place: str
    """What its places are called, `row` or `line`."""
    items: dict[_models.ItemRef, _models.Item] = attrs.Factory(dict)
    """Items by reference."""
    places: dict[_models.ItemRef, int] = attrs.Factory(dict)
    """Row or line of each item."""
    errors: list[_errors.SheetError] = attrs.Factory(list)
    """Faults so far."""

    def fail(self, place: int, column: str, problem: str, mend: str) -> None:
        """Notes one fault."""
        self.errors.append(
            _errors.SheetError(self.file, place, column, problem, mend)
        )

    def add(self, place: int, item: _models.Item) -> None:
        """Takes in one item, or notes that it stands twice."""
        first = self.places.setdefault(item.ref, place)
        if first != place:
            self.fail(
                place,
                "name",
                f"The {item.ref} stands in {self.place} {first} already.",
                f"Remove one of the two {self.place}s.",
            )
            return
        self.items[item.ref] = item

    def conclude(
        self,
    ) -> returns.result.Result[_models.Declarations, _errors.SheetErrors]:
        """Checks items against each other; returns them or every fault."""
        declared = _models.Declarations.of(self.items.values())
        found = list(self.errors)
        # Checks between items would repeat the faults of what was left out.
        if not self.errors:
            found.extend(
                _errors.SheetError(
                    self.file,
                    self.places[problem.ref],
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
