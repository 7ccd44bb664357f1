"""Request handling at the instance that receives a caller's request."""

from banyanbank_daemon._entry._active_requests import ActiveRequests
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
