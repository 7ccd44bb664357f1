"""The banyanbankd process: entry, control and membership on one loop."""

from banyanbank_daemon._instance import Instance
from banyanbank_daemon._instance import InstanceError
from banyanbank_daemon._parts import Surroundings
from banyanbank_daemon._secrets import Secrets
from banyanbank_daemon._setting_parsers import Voter
from banyanbank_daemon._settings import Settings

__all__ = [
    "Instance",
    "InstanceError",
    "Secrets",
    "Settings",
    "Surroundings",
    "Voter",
]
