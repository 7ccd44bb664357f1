"""Routing, endpoint directory and usage counting of an entry, without I/O."""

from banyanbank_gateway._attempt_samples import AttemptSample
from banyanbank_gateway._attempt_samples import SampleLog
from banyanbank_gateway._cold_state import COLD_REPORT_LAG_S
from banyanbank_gateway._cold_state import ColdReport
from banyanbank_gateway._cold_state import find_cold_rate
from banyanbank_gateway._cold_state import find_longest_cold_s
from banyanbank_gateway._cold_state import is_refuted
from banyanbank_gateway._cold_state import may_be_cold
from banyanbank_gateway._crash_suspects import CondemnedRequest
from banyanbank_gateway._crash_suspects import CrashSuspects
from banyanbank_gateway._crash_suspects import digest_request
from banyanbank_gateway._directory import Announcement
from banyanbank_gateway._directory import Directory
from banyanbank_gateway._directory import EndpointState
from banyanbank_gateway._directory import LoadedModel
from banyanbank_gateway._directory import MAX_DOMAINS
from banyanbank_gateway._documents import Document
from banyanbank_gateway._documents import EngineShape
from banyanbank_gateway._documents import InvalidDocumentError
from banyanbank_gateway._documents import Limits
from banyanbank_gateway._documents import Route
from banyanbank_gateway._documents import RouteKind
from banyanbank_gateway._documents import Scaling
from banyanbank_gateway._documents import Service
from banyanbank_gateway._documents import Target
from banyanbank_gateway._ended_incarnations import EndedIncarnation
from banyanbank_gateway._endpoint_figures import EndpointFigure
from banyanbank_gateway._endpoint_figures import KnownFigures
from banyanbank_gateway._endpoint_figures import MAX_FIGURES_AGE_S
from banyanbank_gateway._evacuations import Evacuations
from banyanbank_gateway._figure_collector import FigureCollector
from banyanbank_gateway._known_limits import KnownLimits
from banyanbank_gateway._known_limits import LimitObservation
from banyanbank_gateway._latency_histogram import LatencyHistogram
from banyanbank_gateway._latency_histogram import RouteLatency
from banyanbank_gateway._latency_histogram import summarize_latencies
from banyanbank_gateway._permit_bucket import MAX_PERMIT_AGE_S
from banyanbank_gateway._rate_limiter import RateLimiter
from banyanbank_gateway._rejections import Backoff
from banyanbank_gateway._rejections import draw_retry_after
from banyanbank_gateway._rejections import ServiceTimes
from banyanbank_gateway._routing import draw_service
from banyanbank_gateway._routing import rank_services
from banyanbank_gateway._routing import RouteTable
from banyanbank_gateway._second_attempts import MAX_SECOND_ATTEMPT_SHARE
from banyanbank_gateway._second_attempts import Obstacle
from banyanbank_gateway._second_attempts import SecondAttemptPolicy
from banyanbank_gateway._second_attempts import SecondAttemptRules
from banyanbank_gateway._selection import EndpointPicker
from banyanbank_gateway._selection import SharedView
from banyanbank_gateway._shared_services import find_shared_services
from banyanbank_gateway._synced_clock import SyncedClock
from banyanbank_gateway._usage import UsageMeter
from banyanbank_gateway._usage import UsageTotals
from banyanbank_gateway._usage import WindowCounts

__all__ = [
    "COLD_REPORT_LAG_S",
    "MAX_DOMAINS",
    "MAX_FIGURES_AGE_S",
    "MAX_PERMIT_AGE_S",
    "MAX_SECOND_ATTEMPT_SHARE",
    "Announcement",
    "AttemptSample",
    "Backoff",
    "ColdReport",
    "CondemnedRequest",
    "CrashSuspects",
    "Directory",
    "Document",
    "EndedIncarnation",
    "EndpointFigure",
    "EndpointPicker",
    "EndpointState",
    "EngineShape",
    "Evacuations",
    "FigureCollector",
    "InvalidDocumentError",
    "KnownFigures",
    "KnownLimits",
    "LatencyHistogram",
    "LimitObservation",
    "Limits",
    "LoadedModel",
    "Obstacle",
    "RateLimiter",
    "Route",
    "RouteKind",
    "RouteLatency",
    "RouteTable",
    "SampleLog",
    "Scaling",
    "SecondAttemptPolicy",
    "SecondAttemptRules",
    "Service",
    "ServiceTimes",
    "SharedView",
    "SyncedClock",
    "Target",
    "UsageMeter",
    "UsageTotals",
    "WindowCounts",
    "digest_request",
    "draw_retry_after",
    "draw_service",
    "find_cold_rate",
    "find_longest_cold_s",
    "find_shared_services",
    "is_refuted",
    "may_be_cold",
    "rank_services",
    "summarize_latencies",
]
