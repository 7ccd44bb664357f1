"""Why a command did not succeed."""

import collections.abc
import json
import typing

import attrs


@attrs.frozen
class Problem:
    """Why a command did not succeed."""

    detail: str
    """What happened, for people."""
    status: int = 0
    """HTTP status; 0 when there was no answer."""
    outcome: str = ""
    """Execution outcome as the server or this client knows it."""
    errors: tuple[str, ...] = ()
    """Single faults, such as of a sheet, one a line."""

    def __str__(self) -> str:
        status = f" (HTTP {self.status})" if self.status else ""
        lines = [f"error{status}: {self.detail}", *self.errors]
        if self.outcome:
            lines.append(f"outcome: {self.outcome}")
        return "\n".join(lines)


def read_problem(status: int, body: bytes) -> Problem:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        text = body[:200].decode("utf-8", "replace").strip()
        return Problem(text or "The server gave no reason.", status=status)
    errors = document.get("errors")
    lines = errors if isinstance(errors, list) else []
    return Problem(
        detail=str(document.get("detail") or document.get("title") or ""),
        status=status,
        outcome=str(document.get("outcome") or ""),
        errors=tuple(_error_line(line) for line in lines),
    )


def _error_line(error_: typing.Any) -> str:
    if not isinstance(error_, collections.abc.Mapping):
        return str(error_)
    place = str(error_.get("file") or "sheet")
    if error_.get("row"):
        place += f", row {error_['row']}"
    if error_.get("column"):
        place += f", column {error_['column']}"
    words = (error_.get("message"), error_.get("mend"))
    return f"{place}: " + " ".join(str(word) for word in words if word)
