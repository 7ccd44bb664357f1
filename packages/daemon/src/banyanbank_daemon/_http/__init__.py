"""HTTP towards callers, endpoints and operators, on twisted.web."""

from banyanbank_daemon._http._exchange import Exchange
from banyanbank_daemon._http._exchange import ExchangeClosed
from banyanbank_daemon._http._problem import problem_body
from banyanbank_daemon._http._problem import status_of
from banyanbank_daemon._http._quiet import keep_new_out
from banyanbank_daemon._http._site import HttpLimits
from banyanbank_daemon._http._site import LimitedSite
from banyanbank_daemon._http._site import Route
from banyanbank_daemon._http._site import RouteTable

__all__ = [
    "Exchange",
    "ExchangeClosed",
    "HttpLimits",
    "LimitedSite",
    "Route",
    "RouteTable",
    "keep_new_out",
    "problem_body",
    "status_of",
]
