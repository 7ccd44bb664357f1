"""Processes of a deployment that runs entries and stores separately.

`Store` is imported on first access: entries need neither the log nor the
duties of its leader.
"""

import importlib
import typing

from banyanbank_node._action_guard import HandoverRules
from banyanbank_node._endpoint_requests import HOP_BY_HOP
from banyanbank_node._entry import Entry
from banyanbank_node._event_catalogue import EventKind
from banyanbank_node._event_catalogue import EVENTS
from banyanbank_node._event_log import EventLog
from banyanbank_node._forwarding import Answer
from banyanbank_node._forwarding import Forwarding
from banyanbank_node._messages import BodyRequest
from banyanbank_node._messages import DocumentAnswer
from banyanbank_node._messages import NotThere
from banyanbank_node._messages import ResultsPage
from banyanbank_node._messages import ResultsRequest
from banyanbank_node._messages import Retiring
from banyanbank_node._messages import TooFew
from banyanbank_node._messages import Withdrawal
from banyanbank_node._ports import Authority
from banyanbank_node._ports import CallerRequest
from banyanbank_node._ports import EndpointRequest
from banyanbank_node._ports import EngineReport
from banyanbank_node._ports import ResponseHeaders
from banyanbank_node._ports import StatedLimit
from banyanbank_node._ports import WireProtocol
from banyanbank_node._settings import Address
from banyanbank_node._settings import EntrySettings
from banyanbank_node._settings import NodeSettings
from banyanbank_node._settings import StoreSettings

if typing.TYPE_CHECKING:
    from banyanbank_node._store import Store

__all__ = [
    "EVENTS",
    "HOP_BY_HOP",
    "Address",
    "Answer",
    "Authority",
    "BodyRequest",
    "CallerRequest",
    "DocumentAnswer",
    "EndpointRequest",
    "EngineReport",
    "Entry",
    "EntrySettings",
    "EventKind",
    "EventLog",
    "Forwarding",
    "HandoverRules",
    "NodeSettings",
    "NotThere",
    "ResponseHeaders",
    "ResultsPage",
    "ResultsRequest",
    "Retiring",
    "StatedLimit",
    "Store",
    "StoreSettings",
    "TooFew",
    "WireProtocol",
    "Withdrawal",
]


def __getattr__(name: str) -> typing.Any:
    if name == "Store":
        return importlib.import_module("banyanbank_node._store").Store
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
