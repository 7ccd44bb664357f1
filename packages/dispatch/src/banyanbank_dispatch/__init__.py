"""Request scheduling: queues, fairness, limits, routing and retries.

Nothing in this package reads the clock or does I/O: callers pass the time as
an argument.
"""

from banyanbank_dispatch._admission import AdmissionLimits
from banyanbank_dispatch._fair_queue import FairQueue
from banyanbank_dispatch._fair_queue import QUANTUM_TOKENS
from banyanbank_dispatch._health import HealthTracker
from banyanbank_dispatch._ownership import rendezvous_owner
from banyanbank_dispatch._prefix import CacheBatch
from banyanbank_dispatch._prefix import CacheEvent
from banyanbank_dispatch._prefix import PrefixIndex
from banyanbank_dispatch._queue import EngineQueue
from banyanbank_dispatch._queue import expired_refusal
from banyanbank_dispatch._queue_types import CancelOutcome
from banyanbank_dispatch._queue_types import QueueSettings
from banyanbank_dispatch._queue_types import QueueStatus
from banyanbank_dispatch._queue_types import Withdrawal
from banyanbank_dispatch._retry import GiveUp
from banyanbank_dispatch._retry import Retry
from banyanbank_dispatch._retry import RetryPolicy
from banyanbank_dispatch._router import Candidate
from banyanbank_dispatch._router import RouteQuery
from banyanbank_dispatch._router import Router
from banyanbank_dispatch._shares import AccountLimit
from banyanbank_dispatch._shares import Demand
from banyanbank_dispatch._shares import Share
from banyanbank_dispatch._shares import SHARE_S
from banyanbank_dispatch._shares import ShareAllocator
from banyanbank_dispatch._work import Work
from banyanbank_dispatch._work import WorkKind

__all__ = [
    "QUANTUM_TOKENS",
    "SHARE_S",
    "AccountLimit",
    "AdmissionLimits",
    "CacheBatch",
    "CacheEvent",
    "CancelOutcome",
    "Candidate",
    "Demand",
    "EngineQueue",
    "FairQueue",
    "GiveUp",
    "HealthTracker",
    "PrefixIndex",
    "QueueSettings",
    "QueueStatus",
    "Retry",
    "RetryPolicy",
    "RouteQuery",
    "Router",
    "Share",
    "ShareAllocator",
    "Withdrawal",
    "Work",
    "WorkKind",
    "expired_refusal",
    "rendezvous_owner",
]
