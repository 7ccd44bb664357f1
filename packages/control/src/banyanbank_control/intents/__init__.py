"""Intents: claims by which a non-idempotent request runs at most once."""

from banyanbank_control.intents._apply import abandon
from banyanbank_control.intents._apply import begin
from banyanbank_control.intents._apply import complete
from banyanbank_control.intents._apply import expire
from banyanbank_control.intents._apply import has_expired
from banyanbank_control.intents._apply import MAX_ANSWER_BYTES
from banyanbank_control.intents._apply import MAX_INTENTS
from banyanbank_control.intents._apply import MAX_INTENTS_PER_ACCOUNT
from banyanbank_control.intents._apply import MAX_RETENTION_S
from banyanbank_control.intents._apply import MAX_TOTAL_ANSWER_BYTES
from banyanbank_control.intents._state import Intent
from banyanbank_control.intents._state import IntentRecord
from banyanbank_control.intents._state import IntentState
from banyanbank_control.intents._state import IntentStatus

__all__ = [
    "MAX_ANSWER_BYTES",
    "MAX_INTENTS",
    "MAX_INTENTS_PER_ACCOUNT",
    "MAX_RETENTION_S",
    "MAX_TOTAL_ANSWER_BYTES",
    "Intent",
    "IntentRecord",
    "IntentState",
    "IntentStatus",
    "abandon",
    "begin",
    "complete",
    "expire",
    "has_expired",
]
