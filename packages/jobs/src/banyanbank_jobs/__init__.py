"""Ledger and scheduling of batch jobs, and planning of weight loads; no I/O."""

from banyanbank_jobs._capacity import CapacityBounds
from banyanbank_jobs._capacity import CapacityOrder
from banyanbank_jobs._capacity import CapacityPlanner
from banyanbank_jobs._capacity import count_wanted_engines
from banyanbank_jobs._capacity import DEMAND_WINDOW_S
from banyanbank_jobs._capacity import DomainEngines
from banyanbank_jobs._commands import AcceptJob
from banyanbank_jobs._commands import Applied
from banyanbank_jobs._commands import Command
from banyanbank_jobs._commands import COMMAND_CODEC
from banyanbank_jobs._commands import DeclareDocument
from banyanbank_jobs._commands import EndJob
from banyanbank_jobs._commands import EvacuateDomain
from banyanbank_jobs._commands import ForgetJobs
from banyanbank_jobs._commands import FreezeWindow
from banyanbank_jobs._commands import Frozen
from banyanbank_jobs._commands import KeepParts
from banyanbank_jobs._commands import ListResult
from banyanbank_jobs._commands import MarkReported
from banyanbank_jobs._commands import NameVersion
from banyanbank_jobs._commands import NotFound
from banyanbank_jobs._commands import ReadmitDomain
from banyanbank_jobs._commands import Reply
from banyanbank_jobs._commands import REPLY_CODEC
from banyanbank_jobs._commands import RetireInstance
from banyanbank_jobs._commands import Undecodable
from banyanbank_jobs._engines import EngineHealth
from banyanbank_jobs._engines import EngineView
from banyanbank_jobs._event_stream import EventStreamError
from banyanbank_jobs._event_stream import EventStreamReader
from banyanbank_jobs._event_stream import ItemText
from banyanbank_jobs._event_stream import MAX_EVENT_BYTES
from banyanbank_jobs._event_stream import MAX_TEXT_BYTES
from banyanbank_jobs._event_stream import MAX_TEXT_EVENTS
from banyanbank_jobs._event_stream import MAX_TEXT_VERSIONS
from banyanbank_jobs._event_stream import StreamEvent
from banyanbank_jobs._event_stream import TextTooLongError
from banyanbank_jobs._item_progress import ItemProgress
from banyanbank_jobs._item_progress import Stage
from banyanbank_jobs._ledger import JobState
from banyanbank_jobs._ledger import KeptText
from banyanbank_jobs._ledger import Ledger
from banyanbank_jobs._lengths import LengthEstimate
from banyanbank_jobs._records import expected_tokens
from banyanbank_jobs._records import ItemOutcome
from banyanbank_jobs._records import ItemResult
from banyanbank_jobs._records import Job
from banyanbank_jobs._records import JobItem
from banyanbank_jobs._records import ScorerCall
from banyanbank_jobs._records import TextPart
from banyanbank_jobs._scheduler import FAILED_RETRY_DELAY_S
from banyanbank_jobs._scheduler import MAX_BACKOFF_REJECTIONS
from banyanbank_jobs._scheduler import MIN_RETRY_DELAY_S
from banyanbank_jobs._scheduler import Placement
from banyanbank_jobs._scheduler import Scheduler
from banyanbank_jobs._scorer_queue import max_scorer_calls
from banyanbank_jobs._scorer_queue import ScorerEndpoint
from banyanbank_jobs._scorer_queue import ScorerQueue
from banyanbank_jobs._scorer_queue import WaitingScorerCall
from banyanbank_jobs._weights import LoadOrder
from banyanbank_jobs._weights import max_concurrent_loads
from banyanbank_jobs._weights import share_engines
from banyanbank_jobs._weights import WeightPlanner

__all__ = [
    "COMMAND_CODEC",
    "DEMAND_WINDOW_S",
    "FAILED_RETRY_DELAY_S",
    "MAX_BACKOFF_REJECTIONS",
    "MAX_EVENT_BYTES",
    "MAX_TEXT_BYTES",
    "MAX_TEXT_EVENTS",
    "MAX_TEXT_VERSIONS",
    "MIN_RETRY_DELAY_S",
    "REPLY_CODEC",
    "AcceptJob",
    "Applied",
    "CapacityBounds",
    "CapacityOrder",
    "CapacityPlanner",
    "Command",
    "DeclareDocument",
    "DomainEngines",
    "EndJob",
    "EngineHealth",
    "EngineView",
    "EvacuateDomain",
    "EventStreamError",
    "EventStreamReader",
    "ForgetJobs",
    "FreezeWindow",
    "Frozen",
    "ItemOutcome",
    "ItemProgress",
    "ItemResult",
    "ItemText",
    "Job",
    "JobItem",
    "JobState",
    "KeepParts",
    "KeptText",
    "Ledger",
    "LengthEstimate",
    "ListResult",
    "LoadOrder",
    "MarkReported",
    "NameVersion",
    "NotFound",
    "Placement",
    "ReadmitDomain",
    "Reply",
    "RetireInstance",
    "Scheduler",
    "ScorerCall",
    "ScorerEndpoint",
    "ScorerQueue",
    "Stage",
    "StreamEvent",
    "TextPart",
    "TextTooLongError",
    "Undecodable",
    "WaitingScorerCall",
    "WeightPlanner",
    "count_wanted_engines",
    "expected_tokens",
    "max_concurrent_loads",
    "max_scorer_calls",
    "share_engines",
]
