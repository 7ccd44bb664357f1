"""Replicated control state: configuration, keys, usage, orders, intents.

This package does no I/O and uses no clock and no random source. The daemon
commits the commands, sends the sync messages and executes the effects that
the leader duties return.
"""

from banyanbank_control._machine import ControlMachine
from banyanbank_control._snapshot import SnapshotError
from banyanbank_control._state import ControlState
from banyanbank_control.commands import AbandonIntent
from banyanbank_control.commands import Action
from banyanbank_control.commands import AddUsage
from banyanbank_control.commands import ApplyChanges
from banyanbank_control.commands import ApplyDeclarations
from banyanbank_control.commands import BeginIntent
from banyanbank_control.commands import CloseWindow
from banyanbank_control.commands import Command
from banyanbank_control.commands import COMMAND_CODEC
from banyanbank_control.commands import CompleteIntent
from banyanbank_control.commands import ConfigAccepted
from banyanbank_control.commands import CreateKey
from banyanbank_control.commands import DecideOrder
from banyanbank_control.commands import EngineMarked
from banyanbank_control.commands import ExpireIntents
from banyanbank_control.commands import IntentBegun
from banyanbank_control.commands import IntentClosed
from banyanbank_control.commands import IntentMismatch
from banyanbank_control.commands import IntentOpen
from banyanbank_control.commands import IntentReplay
from banyanbank_control.commands import IntentsExpired
from banyanbank_control.commands import LEDGER_COMMAND_CODEC
from banyanbank_control.commands import LEDGER_REPLY_CODEC
from banyanbank_control.commands import LossNoted
from banyanbank_control.commands import MarkEngine
from banyanbank_control.commands import MarkOrder
from banyanbank_control.commands import MarkReported
from banyanbank_control.commands import NoteInstanceLost
from banyanbank_control.commands import OrderDecided
from banyanbank_control.commands import OrderExists
from banyanbank_control.commands import OrderMarked
from banyanbank_control.commands import OrderRequest
from banyanbank_control.commands import OrderStatus
from banyanbank_control.commands import Rejected
from banyanbank_control.commands import RejectReason
from banyanbank_control.commands import Reply
from banyanbank_control.commands import REPLY_CODEC
from banyanbank_control.commands import RevisionConflict
from banyanbank_control.commands import RolloutCommand
from banyanbank_control.commands import RolloutReply
from banyanbank_control.commands import UsageAdded
from banyanbank_control.commands import UsageDelta
from banyanbank_control.commands import UsageFigures
from banyanbank_control.commands import UsageGap
from banyanbank_control.commands import WindowClosed
from banyanbank_control.commands import WindowReported
from banyanbank_control.commands import WithdrawKey
from banyanbank_control.config import ConfigState
from banyanbank_control.config import Delta
from banyanbank_control.config import derive_changes
from banyanbank_control.config import derive_changes_payload
from banyanbank_control.declarations import Access
from banyanbank_control.declarations import Account
from banyanbank_control.declarations import Added
from banyanbank_control.declarations import ANY_ACCOUNT
from banyanbank_control.declarations import Capacity
from banyanbank_control.declarations import Change
from banyanbank_control.declarations import Changed
from banyanbank_control.declarations import check
from banyanbank_control.declarations import check_item
from banyanbank_control.declarations import Declarations
from banyanbank_control.declarations import diff
from banyanbank_control.declarations import export_sheet
from banyanbank_control.declarations import export_text
from banyanbank_control.declarations import find_format_error
from banyanbank_control.declarations import find_references
from banyanbank_control.declarations import Grant
from banyanbank_control.declarations import grant_ref
from banyanbank_control.declarations import hash_secret
from banyanbank_control.declarations import Item
from banyanbank_control.declarations import ItemProblem
from banyanbank_control.declarations import ItemRef
from banyanbank_control.declarations import Key
from banyanbank_control.declarations import Kind
from banyanbank_control.declarations import Model
from banyanbank_control.declarations import Offer
from banyanbank_control.declarations import parse_sheet
from banyanbank_control.declarations import parse_text
from banyanbank_control.declarations import Reference
from banyanbank_control.declarations import Removed
from banyanbank_control.declarations import Repeat
from banyanbank_control.declarations import Route
from banyanbank_control.declarations import SheetError
from banyanbank_control.declarations import SheetErrors
from banyanbank_control.declarations import Supply
from banyanbank_control.declarations import Target
from banyanbank_control.declarations import Trainer
from banyanbank_control.duties import Effect
from banyanbank_control.duties import EndpointPlan
from banyanbank_control.duties import EndpointPlanner
from banyanbank_control.duties import EngineReport
from banyanbank_control.duties import EngineReports
from banyanbank_control.duties import find_stopping_endpoints
from banyanbank_control.duties import IntentExpirer
from banyanbank_control.duties import LossRecorder
from banyanbank_control.duties import OrderPlanner
from banyanbank_control.duties import OrderResult
from banyanbank_control.duties import PlanInputs
from banyanbank_control.duties import Propose
from banyanbank_control.duties import SCALE_DOWN_DELAY_S
from banyanbank_control.duties import SendOrder
from banyanbank_control.duties import SendReport
from banyanbank_control.duties import UnservedModel
from banyanbank_control.duties import UsageReport
from banyanbank_control.duties import UsageReporter
from banyanbank_control.duties import WINDOW_S
from banyanbank_control.intents import Intent
from banyanbank_control.intents import IntentState
from banyanbank_control.intents import MAX_ANSWER_BYTES
from banyanbank_control.intents import MAX_RETENTION_S
from banyanbank_control.orders import Order
from banyanbank_control.orders import OrderState
from banyanbank_control.outages import OutageState
from banyanbank_control.sync import Admission
from banyanbank_control.sync import Announcement
from banyanbank_control.sync import Authenticator
from banyanbank_control.sync import ChangeLog
from banyanbank_control.sync import ConfigView
from banyanbank_control.sync import ConfigWhole
from banyanbank_control.sync import ENDPOINT_TTL_S
from banyanbank_control.sync import EndpointKind
from banyanbank_control.sync import EndpointTable
from banyanbank_control.sync import EntrySync
from banyanbank_control.sync import Freshness
from banyanbank_control.sync import FRESHNESS_S
from banyanbank_control.sync import FreshnessDeadline
from banyanbank_control.sync import Heard
from banyanbank_control.sync import ISOLATION_GRACE_S
from banyanbank_control.sync import KnownEndpoints
from banyanbank_control.sync import KnownMembers
from banyanbank_control.sync import LeaderSync
from banyanbank_control.sync import LEAVE_RETENTION_S
from banyanbank_control.sync import LostMember
from banyanbank_control.sync import MAX_SECRET_CHARS
from banyanbank_control.sync import Member
from banyanbank_control.sync import MEMBER_TTL_S
from banyanbank_control.sync import MemberTable
from banyanbank_control.sync import merge_announcements
from banyanbank_control.sync import Outbox
from banyanbank_control.sync import Phase
from banyanbank_control.sync import POLL_INTERVAL_S
from banyanbank_control.sync import Principal
from banyanbank_control.sync import RELEARN_GRACE_S
from banyanbank_control.sync import RENEWAL_FORWARD_INTERVAL_S
from banyanbank_control.sync import Restriction
from banyanbank_control.sync import ServedModel
from banyanbank_control.sync import SoftVersion
from banyanbank_control.sync import SYNC_CODEC
from banyanbank_control.sync import SyncMessage
from banyanbank_control.sync import SyncRefused
from banyanbank_control.sync import SyncReply
from banyanbank_control.sync import SyncRequest
from banyanbank_control.sync import SyncUpdate
from banyanbank_control.sync import ViewUpdate
from banyanbank_control.usage import FLUSH_INTERVAL_S
from banyanbank_control.usage import UsageBuffer
from banyanbank_control.usage import UsageState
from banyanbank_control.usage import Window

__all__ = [
    "ANY_ACCOUNT",
    "COMMAND_CODEC",
    "ENDPOINT_TTL_S",
    "FLUSH_INTERVAL_S",
    "FRESHNESS_S",
    "ISOLATION_GRACE_S",
    "LEAVE_RETENTION_S",
    "LEDGER_COMMAND_CODEC",
    "LEDGER_REPLY_CODEC",
    "MAX_ANSWER_BYTES",
    "MAX_RETENTION_S",
    "MAX_SECRET_CHARS",
    "MEMBER_TTL_S",
    "POLL_INTERVAL_S",
    "RELEARN_GRACE_S",
    "RENEWAL_FORWARD_INTERVAL_S",
    "REPLY_CODEC",
    "SCALE_DOWN_DELAY_S",
    "SYNC_CODEC",
    "WINDOW_S",
    "AbandonIntent",
    "Access",
    "Account",
    "Action",
    "AddUsage",
    "Added",
    "Admission",
    "Announcement",
    "ApplyChanges",
    "ApplyDeclarations",
    "Authenticator",
    "BeginIntent",
    "Capacity",
    "Change",
    "ChangeLog",
    "Changed",
    "CloseWindow",
    "Command",
    "CompleteIntent",
    "ConfigAccepted",
    "ConfigState",
    "ConfigView",
    "ConfigWhole",
    "ControlMachine",
    "ControlState",
    "CreateKey",
    "DecideOrder",
    "Declarations",
    "Delta",
    "Effect",
    "EndpointKind",
    "EndpointPlan",
    "EndpointPlanner",
    "EndpointTable",
    "EngineMarked",
    "EngineReport",
    "EngineReports",
    "EntrySync",
    "ExpireIntents",
    "Freshness",
    "FreshnessDeadline",
    "Grant",
    "Heard",
    "Intent",
    "IntentBegun",
    "IntentClosed",
    "IntentExpirer",
    "IntentMismatch",
    "IntentOpen",
    "IntentReplay",
    "IntentState",
    "IntentsExpired",
    "Item",
    "ItemProblem",
    "ItemRef",
    "Key",
    "Kind",
    "KnownEndpoints",
    "KnownMembers",
    "LeaderSync",
    "LossNoted",
    "LossRecorder",
    "LostMember",
    "MarkEngine",
    "MarkOrder",
    "MarkReported",
    "Member",
    "MemberTable",
    "Model",
    "NoteInstanceLost",
    "Offer",
    "Order",
    "OrderDecided",
    "OrderExists",
    "OrderMarked",
    "OrderPlanner",
    "OrderRequest",
    "OrderResult",
    "OrderState",
    "OrderStatus",
    "OutageState",
    "Outbox",
    "Phase",
    "PlanInputs",
    "Principal",
    "Propose",
    "Reference",
    "RejectReason",
    "Rejected",
    "Removed",
    "Repeat",
    "Reply",
    "Restriction",
    "RevisionConflict",
    "RolloutCommand",
    "RolloutReply",
    "Route",
    "SendOrder",
    "SendReport",
    "ServedModel",
    "SheetError",
    "SheetErrors",
    "SnapshotError",
    "SoftVersion",
    "Supply",
    "SyncMessage",
    "SyncRefused",
    "SyncReply",
    "SyncRequest",
    "SyncUpdate",
    "Target",
    "Trainer",
    "UnservedModel",
    "UsageAdded",
    "UsageBuffer",
    "UsageDelta",
    "UsageFigures",
    "UsageGap",
    "UsageReport",
    "UsageReporter",
    "UsageState",
    "ViewUpdate",
    "Window",
    "WindowClosed",
    "WindowReported",
    "WithdrawKey",
    "check",
    "check_item",
    "derive_changes",
    "derive_changes_payload",
    "diff",
    "export_sheet",
    "export_text",
    "find_format_error",
    "find_references",
    "find_stopping_endpoints",
    "grant_ref",
    "hash_secret",
    "merge_announcements",
    "parse_sheet",
    "parse_text",
]
