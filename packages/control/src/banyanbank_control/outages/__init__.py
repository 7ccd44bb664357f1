"""Models whose weights on an engine cannot be used."""

from banyanbank_control.outages._apply import mark
from banyanbank_control.outages._state import OutageRecord
from banyanbank_control.outages._state import OutageState

__all__ = ["OutageRecord", "OutageState", "mark"]
