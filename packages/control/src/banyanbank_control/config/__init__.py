"""The replicated configuration: revisions, keys and history."""

from banyanbank_control.config._apply import apply_changes
from banyanbank_control.config._apply import apply_declarations
from banyanbank_control.config._apply import compact
from banyanbank_control.config._apply import compact_payload
from banyanbank_control.config._apply import create_key
from banyanbank_control.config._apply import digest_of
from banyanbank_control.config._apply import withdraw_key
from banyanbank_control.config._state import ConfigRecord
from banyanbank_control.config._state import ConfigState
from banyanbank_control.config._state import Delta
from banyanbank_control.config._state import RequestRecord
from banyanbank_control.config._state import Tombstone

__all__ = [
    "ConfigRecord",
    "ConfigState",
    "Delta",
    "RequestRecord",
    "Tombstone",
    "apply_changes",
    "apply_declarations",
    "compact",
    "compact_payload",
    "create_key",
    "digest_of",
    "withdraw_key",
]
