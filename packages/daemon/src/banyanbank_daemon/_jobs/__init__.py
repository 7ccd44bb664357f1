"""Model jobs: one request to one engine, in a slot granted by its owner."""

from banyanbank_daemon._jobs._blocks import BLOCK_TOKENS
from banyanbank_daemon._jobs._blocks import prompt_blocks
from banyanbank_daemon._jobs._engine import EngineClient
from banyanbank_daemon._jobs._failures import JobResult
from banyanbank_daemon._jobs._joining import JoiningSink
from banyanbank_daemon._jobs._looks import EngineLook
from banyanbank_daemon._jobs._looks import EngineLooks
from banyanbank_daemon._jobs._looks import LOOK_METHOD
from banyanbank_daemon._jobs._looks import LookRequest
from banyanbank_daemon._jobs._looks import LookServer
from banyanbank_daemon._jobs._looks import REPORT_METHOD
from banyanbank_daemon._jobs._messages import JobChunk
from banyanbank_daemon._jobs._messages import JobEnded
from banyanbank_daemon._jobs._messages import JobFailed
from banyanbank_daemon._jobs._messages import JobRunner
from banyanbank_daemon._jobs._messages import JobSink
from banyanbank_daemon._jobs._messages import ModelJob
from banyanbank_daemon._jobs._messages import QueueLoad
from banyanbank_daemon._jobs._messages import SinkClosed
from banyanbank_daemon._jobs._messages import VersionCount
from banyanbank_daemon._jobs._owned import EngineReport
from banyanbank_daemon._jobs._owned import OwnedEngines
from banyanbank_daemon._jobs._owned import ReportedLoad
from banyanbank_daemon._jobs._partial import continued_body
from banyanbank_daemon._jobs._partial import PartialAnswer
from banyanbank_daemon._jobs._queues import EngineQueues
from banyanbank_daemon._jobs._runners import GRANT_METHOD
from banyanbank_daemon._jobs._runners import GrantServer
from banyanbank_daemon._jobs._runners import LocalJobRunner
from banyanbank_daemon._jobs._runners import RELEASE_METHOD
from banyanbank_daemon._jobs._runners import RemoteJobRunner
from banyanbank_daemon._jobs._sse import EngineEvent
from banyanbank_daemon._jobs._sse import EventStreamError
from banyanbank_daemon._jobs._sse import EventStreamParser

__all__ = [
    "BLOCK_TOKENS",
    "GRANT_METHOD",
    "LOOK_METHOD",
    "RELEASE_METHOD",
    "REPORT_METHOD",
    "EngineClient",
    "EngineEvent",
    "EngineLook",
    "EngineLooks",
    "EngineQueues",
    "EngineReport",
    "EventStreamError",
    "EventStreamParser",
    "GrantServer",
    "JobChunk",
    "JobEnded",
    "JobFailed",
    "JobResult",
    "JobRunner",
    "JobSink",
    "JoiningSink",
    "LocalJobRunner",
    "LookRequest",
    "LookServer",
    "ModelJob",
    "OwnedEngines",
    "PartialAnswer",
    "QueueLoad",
    "RemoteJobRunner",
    "ReportedLoad",
    "SinkClosed",
    "VersionCount",
    "continued_body",
    "prompt_blocks",
]
