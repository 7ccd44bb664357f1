"""Model jobs: one request to one engine, run at the engine's owner."""

from banyanbank_daemon._jobs._host import EngineHost
from banyanbank_daemon._jobs._messages import JOB_CODEC
from banyanbank_daemon._jobs._messages import JOB_EVENT_CODEC
from banyanbank_daemon._jobs._messages import JobChunk
from banyanbank_daemon._jobs._messages import JobEnded
from banyanbank_daemon._jobs._messages import JobEvent
from banyanbank_daemon._jobs._messages import JobFailed
from banyanbank_daemon._jobs._messages import JobRunner
from banyanbank_daemon._jobs._messages import JobSink
from banyanbank_daemon._jobs._messages import ModelJob
from banyanbank_daemon._jobs._messages import SinkClosed
from banyanbank_daemon._jobs._messages import VersionCount
from banyanbank_daemon._jobs._remote import JobServer
from banyanbank_daemon._jobs._remote import METHOD
from banyanbank_daemon._jobs._remote import RemoteJobRunner
from banyanbank_daemon._jobs._sse import EngineEvent
from banyanbank_daemon._jobs._sse import EventStreamError
from banyanbank_daemon._jobs._sse import EventStreamParser

__all__ = [
    "JOB_CODEC",
    "JOB_EVENT_CODEC",
    "METHOD",
    "EngineEvent",
    "EngineHost",
    "EventStreamError",
    "EventStreamParser",
    "JobChunk",
    "JobEnded",
    "JobEvent",
    "JobFailed",
    "JobRunner",
    "JobServer",
    "JobSink",
    "ModelJob",
    "RemoteJobRunner",
    "SinkClosed",
    "VersionCount",
]
