"""Sync protocol between entries and the control leader, and its state."""

from banyanbank_control.sync._authenticator import Admission
from banyanbank_control.sync._authenticator import Authenticator
from banyanbank_control.sync._authenticator import MAX_SECRET_CHARS
from banyanbank_control.sync._authenticator import Principal
from banyanbank_control.sync._change_log import ChangeLog
from banyanbank_control.sync._endpoints import ENDPOINT_TTL_S
from banyanbank_control.sync._endpoints import EndpointTable
from banyanbank_control.sync._endpoints import LEAVE_RETENTION_S
from banyanbank_control.sync._endpoints import merge_announcements
from banyanbank_control.sync._entry import EntrySync
from banyanbank_control.sync._entry import ISOLATION_GRACE_S
from banyanbank_control.sync._entry import SyncUpdate
from banyanbank_control.sync._freshness import Freshness
from banyanbank_control.sync._freshness import FRESHNESS_S
from banyanbank_control.sync._freshness import FreshnessDeadline
from banyanbank_control.sync._freshness import POLL_INTERVAL_S
from banyanbank_control.sync._known import KnownEndpoints
from banyanbank_control.sync._known import KnownMembers
from banyanbank_control.sync._known import RELEARN_GRACE_S
from banyanbank_control.sync._leader import LeaderSync
from banyanbank_control.sync._members import LostMember
from banyanbank_control.sync._members import MEMBER_TTL_S
from banyanbank_control.sync._members import MemberTable
from banyanbank_control.sync._messages import Announcement
from banyanbank_control.sync._messages import ConfigWhole
from banyanbank_control.sync._messages import EndpointKind
from banyanbank_control.sync._messages import Heard
from banyanbank_control.sync._messages import Member
from banyanbank_control.sync._messages import Phase
from banyanbank_control.sync._messages import Restriction
from banyanbank_control.sync._messages import ServedModel
from banyanbank_control.sync._messages import SoftVersion
from banyanbank_control.sync._messages import SYNC_CODEC
from banyanbank_control.sync._messages import SyncMessage
from banyanbank_control.sync._messages import SyncRefused
from banyanbank_control.sync._messages import SyncReply
from banyanbank_control.sync._messages import SyncRequest
from banyanbank_control.sync._outbox import Outbox
from banyanbank_control.sync._outbox import RENEWAL_FORWARD_INTERVAL_S
from banyanbank_control.sync._view import ConfigView
from banyanbank_control.sync._view import ViewUpdate

__all__ = [
    "ENDPOINT_TTL_S",
    "FRESHNESS_S",
    "ISOLATION_GRACE_S",
    "LEAVE_RETENTION_S",
    "MAX_SECRET_CHARS",
    "MEMBER_TTL_S",
    "POLL_INTERVAL_S",
    "RELEARN_GRACE_S",
    "RENEWAL_FORWARD_INTERVAL_S",
    "SYNC_CODEC",
    "Admission",
    "Announcement",
    "Authenticator",
    "ChangeLog",
    "ConfigView",
    "ConfigWhole",
    "EndpointKind",
    "EndpointTable",
    "EntrySync",
    "Freshness",
    "FreshnessDeadline",
    "Heard",
    "KnownEndpoints",
    "KnownMembers",
    "LeaderSync",
    "LostMember",
    "Member",
    "MemberTable",
    "Outbox",
    "Phase",
    "Principal",
    "Restriction",
    "ServedModel",
    "SoftVersion",
    "SyncMessage",
    "SyncRefused",
    "SyncReply",
    "SyncRequest",
    "SyncUpdate",
    "ViewUpdate",
    "merge_announcements",
]
