"""Builds the parts of an instance from its settings and surroundings."""

from banyanbank_daemon._parts._control import build_control
from banyanbank_daemon._parts._control import ControlParts
from banyanbank_daemon._parts._dispatch import build_dispatch
from banyanbank_daemon._parts._dispatch import DispatchParts
from banyanbank_daemon._parts._entry import build_entry
from banyanbank_daemon._parts._entry import EntryParts
from banyanbank_daemon._parts._leader import build_leader
from banyanbank_daemon._parts._leader import LeaderParts
from banyanbank_daemon._parts._surroundings import Identity
from banyanbank_daemon._parts._surroundings import Surroundings

__all__ = [
    "ControlParts",
    "DispatchParts",
    "EntryParts",
    "Identity",
    "LeaderParts",
    "Surroundings",
    "build_control",
    "build_dispatch",
    "build_entry",
    "build_leader",
]
