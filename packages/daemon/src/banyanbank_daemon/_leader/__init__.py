"""What the leader does besides keeping the log: rollouts, usage, orders."""

from banyanbank_daemon._leader._grader import ServiceGrader
from banyanbank_daemon._leader._loop import Duty
from banyanbank_daemon._leader._loop import LeaderLoop
from banyanbank_daemon._leader._office import OfficeDuty
from banyanbank_daemon._leader._office import PlatformUrls
from banyanbank_daemon._leader._rollouts import RolloutDriver
from banyanbank_daemon._leader._weight_store import StoreGate
from banyanbank_daemon._leader._weight_store import WeightStoreClient
from banyanbank_daemon._leader._weights import WeightDuty

__all__ = [
    "Duty",
    "LeaderLoop",
    "OfficeDuty",
    "PlatformUrls",
    "RolloutDriver",
    "ServiceGrader",
    "StoreGate",
    "WeightDuty",
    "WeightStoreClient",
]
