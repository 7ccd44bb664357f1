"""Replicated log: leader election, leases, storage, membership changes."""

from banyanbank_consensus._config import HEARTBEAT_INTERVAL_S
from banyanbank_consensus._config import LEASE_DURATION_S
from banyanbank_consensus._config import MAX_CLOCK_DRIFT
from banyanbank_consensus._config import MAX_COMMAND_BYTES
from banyanbank_consensus._config import MAX_ELECTION_TIMEOUT_S
from banyanbank_consensus._config import MIN_ELECTION_TIMEOUT_S
from banyanbank_consensus._config import NodeConfig
from banyanbank_consensus._disk import Disk
from banyanbank_consensus._errors import ConsensusDefectError
from banyanbank_consensus._errors import CorruptLogError
from banyanbank_consensus._errors import FolderLockedError
from banyanbank_consensus._errors import FormatVersionError
from banyanbank_consensus._errors import ProposeError
from banyanbank_consensus._errors import ProposeErrorKind
from banyanbank_consensus._errors import StorageError
from banyanbank_consensus._leader_loop import Duty
from banyanbank_consensus._leader_loop import LeaderLoop
from banyanbank_consensus._members import Member
from banyanbank_consensus._members import MemberRole
from banyanbank_consensus._members import Members
from banyanbank_consensus._memory_files import MemoryFiles
from banyanbank_consensus._node import LogNode
from banyanbank_consensus._ports import PeerTransport
from banyanbank_consensus._ports import Scheduler
from banyanbank_consensus._ports import StateMachine
from banyanbank_consensus._state import Role
from banyanbank_consensus._status import MemberSilence
from banyanbank_consensus._status import NodeStatus
from banyanbank_consensus._store import FileDisk
from banyanbank_consensus._store import MemoryDisk

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "LEASE_DURATION_S",
    "MAX_CLOCK_DRIFT",
    "MAX_COMMAND_BYTES",
    "MAX_ELECTION_TIMEOUT_S",
    "MIN_ELECTION_TIMEOUT_S",
    "ConsensusDefectError",
    "CorruptLogError",
    "Disk",
    "Duty",
    "FileDisk",
    "FolderLockedError",
    "FormatVersionError",
    "LeaderLoop",
    "LogNode",
    "Member",
    "MemberRole",
    "MemberSilence",
    "Members",
    "MemoryDisk",
    "MemoryFiles",
    "NodeConfig",
    "NodeStatus",
    "PeerTransport",
    "ProposeError",
    "ProposeErrorKind",
    "Role",
    "Scheduler",
    "StateMachine",
    "StorageError",
]
