"""What users measure: idle trainers, waits by account, endpoint time."""

from banyanbank_daemon._figures._accounts import AccountWaits
from banyanbank_daemon._figures._calls import FigureCalls
from banyanbank_daemon._figures._endpoints import EndpointTime
from banyanbank_daemon._figures._merge import Gathered
from banyanbank_daemon._figures._merge import to_document
from banyanbank_daemon._figures._messages import AccountFigures
from banyanbank_daemon._figures._messages import EndpointFigures
from banyanbank_daemon._figures._messages import InstanceFigures
from banyanbank_daemon._figures._messages import RefusedFigures
from banyanbank_daemon._figures._messages import SERVICE
from banyanbank_daemon._figures._messages import StepFigures
from banyanbank_daemon._figures._messages import TrainerFigures
from banyanbank_daemon._figures._messages import WithheldVersion
from banyanbank_daemon._figures._own import OwnFigures
from banyanbank_daemon._figures._prices import declared_prices
from banyanbank_daemon._figures._trainers import TrainerWaits

__all__ = [
    "SERVICE",
    "AccountFigures",
    "AccountWaits",
    "EndpointFigures",
    "EndpointTime",
    "FigureCalls",
    "Gathered",
    "InstanceFigures",
    "OwnFigures",
    "RefusedFigures",
    "StepFigures",
    "TrainerFigures",
    "TrainerWaits",
    "WithheldVersion",
    "declared_prices",
    "to_document",
]
