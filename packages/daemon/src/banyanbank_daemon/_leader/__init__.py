"""Duties of the leader besides replicating the log."""

from banyanbank_daemon._leader._grader import ServiceGrader
from banyanbank_daemon._leader._handover import hand_over
from banyanbank_daemon._leader._handover import HandoverInbox
from banyanbank_daemon._leader._handover import METHOD as HANDOVER_METHOD
from banyanbank_daemon._leader._office_duty import OfficeDuty
from banyanbank_daemon._leader._office_duty import PlatformUrls
from banyanbank_daemon._leader._rollout_driver import RolloutDriver
from banyanbank_daemon._leader._weight_duty import WeightDuty
from banyanbank_daemon._leader._weight_store import PublicationGate
from banyanbank_daemon._leader._weight_store import WeightStoreClient

__all__ = [
    "HANDOVER_METHOD",
    "HandoverInbox",
    "OfficeDuty",
    "PlatformUrls",
    "PublicationGate",
    "RolloutDriver",
    "ServiceGrader",
    "WeightDuty",
    "WeightStoreClient",
    "hand_over",
]
