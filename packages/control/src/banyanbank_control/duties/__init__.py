"""Duties of the leader: decisions without I/O that return effects.

The daemon executes effects only while it holds the leader lease, and checks
the lease again immediately before each external write.
"""

from banyanbank_control.duties._demand import EngineReport
from banyanbank_control.duties._demand import EngineReports
from banyanbank_control.duties._demand import UnservedModel
from banyanbank_control.duties._effects import Effect
from banyanbank_control.duties._effects import Propose
from banyanbank_control.duties._effects import SendOrder
from banyanbank_control.duties._effects import SendReport
from banyanbank_control.duties._effects import UsageReport
from banyanbank_control.duties._endpoints import EndpointPlan
from banyanbank_control.duties._endpoints import EndpointPlanner
from banyanbank_control.duties._endpoints import SCALE_DOWN_DELAY_S
from banyanbank_control.duties._inputs import PlanInputs
from banyanbank_control.duties._intents import IntentExpirer
from banyanbank_control.duties._losses import LossRecorder
from banyanbank_control.duties._order_requests import find_stopping_endpoints
from banyanbank_control.duties._orders import OrderPlanner
from banyanbank_control.duties._orders import OrderResult
from banyanbank_control.duties._usage import UsageReporter
from banyanbank_control.duties._usage import WINDOW_S

__all__ = [
    "SCALE_DOWN_DELAY_S",
    "WINDOW_S",
    "Effect",
    "EndpointPlan",
    "EndpointPlanner",
    "EngineReport",
    "EngineReports",
    "IntentExpirer",
    "LossRecorder",
    "OrderPlanner",
    "OrderResult",
    "PlanInputs",
    "Propose",
    "SendOrder",
    "SendReport",
    "UnservedModel",
    "UsageReport",
    "UsageReporter",
    "find_stopping_endpoints",
]
