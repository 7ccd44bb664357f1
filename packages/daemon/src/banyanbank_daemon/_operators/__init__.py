"""The operators' interface."""

from banyanbank_daemon._operators._cluster import ClusterCalls
from banyanbank_daemon._operators._desk import Desk
from banyanbank_daemon._operators._keys import KeyCalls
from banyanbank_daemon._operators._sheets import SheetCalls

__all__ = ["ClusterCalls", "Desk", "KeyCalls", "SheetCalls"]
