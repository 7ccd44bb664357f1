"""What the leader does besides keeping the log: rollouts, usage, orders."""

from banyanbank_daemon._leader._grader import ServiceGrader
from banyanbank_daemon._leader._handover import HandedAttempts
from banyanbank_daemon._leader._handover import METHOD as HANDOVER_METHOD
from banyanbank_daemon._leader._handover import send as hand_over
from banyanbank_daemon._leader._office import OfficeDuty
from banyanbank_daemon._leader._office import PlatformUrls
from banyanbank_daemon._leader._rollouts import RolloutDriver
from banyanbank_daemon._leader._weight_store import StoreGate
from banyanbank_daemon._leader._weight_store import WeightStoreClient
from banyanbank_daemon._leader._weights import WeightDuty

__all__ = [
    "HANDOVER_METHOD",
    "HandedAttempts",
    "OfficeDuty",
    "PlatformUrls",
    "RolloutDriver",
    "ServiceGrader",
    "StoreGate",
    "WeightDuty",
    "WeightStoreClient",
    "hand_over",
]
