"""Vocabulary that every banyanbank package shares.

It holds identifiers, the injected clock, execution outcomes, the CBOR codec,
time line events and the statechart interpreter. It knows no sockets.
"""

from banyanbank_base._chart_table import ChartError
from banyanbank_base._chart_table import ChartTable
from banyanbank_base._chart_table import TableRunner
from banyanbank_base._charts import ChartRunner
from banyanbank_base._charts import load_chart
from banyanbank_base._charts import load_table
from banyanbank_base._clock import Clock
from banyanbank_base._clock import ManualClock
from banyanbank_base._clock import SystemClock
from banyanbank_base._codec import Codec
from banyanbank_base._codec import codec_preparations
from banyanbank_base._codec import CodecError
from banyanbank_base._codec import Preparation
from banyanbank_base._events import Event
from banyanbank_base._events import HybridClock
from banyanbank_base._events import HybridTime
from banyanbank_base._events import MAX_DETAIL_CHARS
from banyanbank_base._events import MemoryRecorder
from banyanbank_base._events import Recorder
from banyanbank_base._ids import AccountId
from banyanbank_base._ids import EndpointId
from banyanbank_base._ids import FailureDomain
from banyanbank_base._ids import Incarnation
from banyanbank_base._ids import InstanceId
from banyanbank_base._ids import KeyId
from banyanbank_base._ids import ModelName
from banyanbank_base._ids import RequestId
from banyanbank_base._ids import TrainerId
from banyanbank_base._ids import WeightVersion
from banyanbank_base._outcome import Outcome
from banyanbank_base._outcome import Refusal
from banyanbank_base._outcome import RefusalReason

__all__ = [
    "MAX_DETAIL_CHARS",
    "AccountId",
    "ChartError",
    "ChartRunner",
    "ChartTable",
    "Clock",
    "Codec",
    "CodecError",
    "EndpointId",
    "Event",
    "FailureDomain",
    "HybridClock",
    "HybridTime",
    "Incarnation",
    "InstanceId",
    "KeyId",
    "ManualClock",
    "MemoryRecorder",
    "ModelName",
    "Outcome",
    "Preparation",
    "Recorder",
    "Refusal",
    "RefusalReason",
    "RequestId",
    "SystemClock",
    "TableRunner",
    "TrainerId",
    "WeightVersion",
    "codec_preparations",
    "load_chart",
    "load_table",
]
