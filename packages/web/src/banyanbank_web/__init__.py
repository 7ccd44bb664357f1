"""HTTP towards callers, endpoints and operators, on twisted.web."""

from banyanbank_web._buffer_budget import BufferBudget
from banyanbank_web._buffer_budget import Share as BufferShare
from banyanbank_web._exchange import Exchange
from banyanbank_web._exchange import ExchangeClosed
from banyanbank_web._problem import problem_body
from banyanbank_web._problem import status_of
from banyanbank_web._quiet import keep_new_out
from banyanbank_web._site import HttpLimits
from banyanbank_web._site import LimitedSite
from banyanbank_web._site import Observer
from banyanbank_web._site import Route
from banyanbank_web._site import RouteTable
from banyanbank_web._upstream import GuardClosedError
from banyanbank_web._upstream import Upstream
from banyanbank_web._upstream import UpstreamError
from banyanbank_web._upstream import UpstreamRequest
from banyanbank_web._upstream import UpstreamResponse

__all__ = [
    "BufferBudget",
    "BufferShare",
    "Exchange",
    "ExchangeClosed",
    "GuardClosedError",
    "HttpLimits",
    "LimitedSite",
    "Observer",
    "Route",
    "RouteTable",
    "Upstream",
    "UpstreamError",
    "UpstreamRequest",
    "UpstreamResponse",
    "keep_new_out",
    "problem_body",
    "status_of",
]
