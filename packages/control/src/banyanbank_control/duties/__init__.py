"""What a leader does in its office, decided without I/O.

The daemon carries the effects out only while it holds the lease, and checks
it again immediately before each outward write.
"""

from banyanbank_control.duties._capacity import plan_needs
from banyanbank_control.duties._demand import EngineReport
from banyanbank_control.duties._demand import EngineReports
from banyanbank_control.duties._demand import PeakNeed
from banyanbank_control.duties._demand import wanted_endpoints
from banyanbank_control.duties._effects import Effect
from banyanbank_control.duties._effects import Propose
from banyanbank_control.duties._effects import SendOrder
from banyanbank_control.duties._effects import SendReport
from banyanbank_control.duties._effects import UsageReport
from banyanbank_control.duties._intents import IntentExpirer
from banyanbank_control.duties._losses import LossRecorder
from banyanbank_control.duties._orders import OrderPlanner
from banyanbank_control.duties._orders import OrderResult
from banyanbank_control.duties._surplus import plan_stop
from banyanbank_control.duties._surplus import stopping
from banyanbank_control.duties._usage import UsageReporter
from banyanbank_control.duties._usage import WINDOW_S

__all__ = [
    "WINDOW_S",
    "Effect",
    "EngineReport",
    "EngineReports",
    "IntentExpirer",
    "LossRecorder",
    "OrderPlanner",
    "OrderResult",
    "PeakNeed",
    "Propose",
    "SendOrder",
    "SendReport",
    "UsageReport",
    "UsageReporter",
    "plan_needs",
    "plan_stop",
    "stopping",
    "wanted_endpoints",
]
