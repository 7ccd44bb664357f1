"""Usage: exactly-once counts, windows and their reports."""

from banyanbank_control.usage._apply import add
from banyanbank_control.usage._apply import close_window
from banyanbank_control.usage._apply import mark_reported
from banyanbank_control.usage._apply import record_ended_incarnations
from banyanbank_control.usage._buffer import FLUSH_INTERVAL_S
from banyanbank_control.usage._buffer import UsageBuffer
from banyanbank_control.usage._state import Flushes
from banyanbank_control.usage._state import UsageRecord
from banyanbank_control.usage._state import UsageState
from banyanbank_control.usage._state import Window
from banyanbank_control.usage._state import WindowRecord
from banyanbank_control.usage._state import WindowStatus

__all__ = [
    "FLUSH_INTERVAL_S",
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
    "record_ended_incarnations",
]
