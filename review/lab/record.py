"""The record of a case: what was sent, answered and run."""

import json
import pathlib
import time
import typing

RECORD = "record.txt"


class Record:
    """Writes one line for each observation, with the seconds since the start.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / RECORD).open("w", buffering=1)
        self._began_at = time.monotonic()

    def note(self, what: str, /, **fields: typing.Any) -> None:
        """Writes an observation."""
        at_s = time.monotonic() - self._began_at
        self._file.write(f"{at_s:8.3f} {what} {json.dumps(fields)}\n")
