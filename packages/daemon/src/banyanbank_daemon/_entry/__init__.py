"""What an entry does for callers."""

from banyanbank_daemon._entry._active import ActiveRequests
from banyanbank_daemon._entry._admission import Admission
from banyanbank_daemon._entry._intents import IntentRunner
from banyanbank_daemon._entry._models import ModelCalls
from banyanbank_daemon._entry._rollouts import RolloutCalls
from banyanbank_daemon._entry._services import ServiceCall
from banyanbank_daemon._entry._services import ServiceCalls

__all__ = [
    "ActiveRequests",
    "Admission",
    "IntentRunner",
    "ModelCalls",
    "RolloutCalls",
    "ServiceCall",
    "ServiceCalls",
]
