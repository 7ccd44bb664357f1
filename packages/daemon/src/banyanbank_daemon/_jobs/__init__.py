"""Model jobs: one request to one engine, in a slot that its owner grants."""

from banyanbank_daemon._jobs._engine import EngineClient
from banyanbank_daemon._jobs._failures import JobResult
from banyanbank_daemon._jobs._joining import JoiningSink
from banyanbank_daemon._jobs._messages import JobChunk
from banyanbank_daemon._jobs._messages import JobEnded
from banyanbank_daemon._jobs._messages import JobFailed
from banyanbank_daemon._jobs._messages import JobRunner
from banyanbank_daemon._jobs._messages import JobSink
from banyanbank_daemon._jobs._messages import ModelJob
from banyanbank_daemon._jobs._messages import QueueLoad
from banyanbank_daemon._jobs._messages import SinkClosed
from banyanbank_daemon._jobs._messages import VersionCount
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
    "GRANT_METHOD",
    "RELEASE_METHOD",
    "EngineClient",
    "EngineEvent",
    "EngineQueues",
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
    "ModelJob",
    "PartialAnswer",
    "QueueLoad",
    "RemoteJobRunner",
    "SinkClosed",
    "VersionCount",
    "continued_body",
]
