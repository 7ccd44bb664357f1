"""Usage: exactly-once counts, windows and their reports."""

from banyanbank_control.usage._apply import add
from banyanbank_control.usage._apply import close_window
from banyanbank_control.usage._apply import mark_reported
from banyanbank_control.usage._apply import note_lives_over
from banyanbank_control.usage._buffer import FLUSH_S
from banyanbank_control.usage._buffer import UsageBuffer
from banyanbank_control.usage._state import Flushes
from banyanbank_control.usage._state import UsageRecord
from banyanbank_control.usage._state import UsageState
from banyanbank_control.usage._state import Window
from banyanbank_control.usage._state import WindowRecord
from banyanbank_control.usage._state import WindowStatus

__all__ = [
    "FLUSH_S",
    "Flushes",
    "UsageBuffer",
    "UsageRecord",
    "UsageState",
    "Window",
    "WindowRecord",
    "WindowStatus",
    "add",
    "close_window",
    "mark_reported",
    "note_lives_over",
]
