"""The replicated configuration: revisions, keys and history."""

from banyanbank_control.config._apply import apply_changes
from banyanbank_control.config._apply import apply_declarations
from banyanbank_control.config._apply import create_key
from banyanbank_control.config._apply import derive_changes
from banyanbank_control.config._apply import derive_changes_payload
from banyanbank_control.config._apply import digest_payload
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
    "create_key",
    "derive_changes",
    "derive_changes_payload",
    "digest_payload",
    "withdraw_key",
]
