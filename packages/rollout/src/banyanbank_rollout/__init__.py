"""Sample ledger, sample scheduling, weight rollout and capacity planning."""

from banyanbank_rollout._bodies import BodyStore
from banyanbank_rollout._bodies import BodyStoreError
from banyanbank_rollout._bodies import FileBodyStore
from banyanbank_rollout._capacity import CapacityCfg
from banyanbank_rollout._capacity import CapacityPlan
from banyanbank_rollout._capacity import Demand
from banyanbank_rollout._capacity import DrainEndpoint
from banyanbank_rollout._capacity import EndpointChange
from banyanbank_rollout._capacity import EndpointNeed
from banyanbank_rollout._capacity import EndpointOffer
from banyanbank_rollout._capacity import EndpointStatus
from banyanbank_rollout._capacity import may_run_on
from banyanbank_rollout._capacity import ReleaseEndpoint
from banyanbank_rollout._capacity import UndrainEndpoint
from banyanbank_rollout._capacity_planner import CapacityPlanner
from banyanbank_rollout._commands import AcknowledgeBatch
from banyanbank_rollout._commands import CancelStep
from banyanbank_rollout._commands import FetchBatch
from banyanbank_rollout._commands import FormBatch
from banyanbank_rollout._commands import LEDGER_COMMANDS
from banyanbank_rollout._commands import LedgerCommand
from banyanbank_rollout._commands import PublishVersion
from banyanbank_rollout._commands import RecordSample
from banyanbank_rollout._commands import RejectBatch
from banyanbank_rollout._commands import SubmitGroup
from banyanbank_rollout._demand import DemandForecast
from banyanbank_rollout._demand import SlidingMaximum
from banyanbank_rollout._effects import CancelAttempt
from banyanbank_rollout._effects import GradeSample
from banyanbank_rollout._effects import ProposeBatch
from banyanbank_rollout._effects import ResumePoint
from banyanbank_rollout._effects import SchedulerEffect
from banyanbank_rollout._effects import StartAttempt
from banyanbank_rollout._extras import SpeculationCfg
from banyanbank_rollout._ledger import Ledger
from banyanbank_rollout._replies import BatchAcknowledged
from banyanbank_rollout._replies import BatchEntry
from banyanbank_rollout._replies import BatchFetched
from banyanbank_rollout._replies import BatchFormed
from banyanbank_rollout._replies import BatchPending
from banyanbank_rollout._replies import BatchRejected
from banyanbank_rollout._replies import GroupSubmitted
from banyanbank_rollout._replies import LEDGER_REPLIES
from banyanbank_rollout._replies import LedgerRefusal
from banyanbank_rollout._replies import LedgerRefused
from banyanbank_rollout._replies import LedgerReply
from banyanbank_rollout._replies import SampleRecorded
from banyanbank_rollout._replies import StepCancelled
from banyanbank_rollout._replies import VersionPublished
from banyanbank_rollout._samples import SampleBody
from banyanbank_rollout._samples import SampleSlot
from banyanbank_rollout._samples import VersionStretch
from banyanbank_rollout._scheduler import SampleScheduler
from banyanbank_rollout._scheduler import SchedulerCfg
from banyanbank_rollout._snapshot import LedgerSnapshot
from banyanbank_rollout._step_need import StepDemandCfg
from banyanbank_rollout._step_need import StepDemandForecast
from banyanbank_rollout._views import AttemptPhase
from banyanbank_rollout._views import AttemptView
from banyanbank_rollout._views import EngineView
from banyanbank_rollout._weight_rollout import WeightRollout
from banyanbank_rollout._weights import EngineWeightReport
from banyanbank_rollout._weights import estimate_rollout_s
from banyanbank_rollout._weights import ReturnToService
from banyanbank_rollout._weights import SwapOrder
from banyanbank_rollout._weights import TakeOutOfService
from banyanbank_rollout._weights import WeightCfg
from banyanbank_rollout._weights import WeightEffect

__all__ = [
    "LEDGER_COMMANDS",
    "LEDGER_REPLIES",
    "AcknowledgeBatch",
    "AttemptPhase",
    "AttemptView",
    "BatchAcknowledged",
    "BatchEntry",
    "BatchFetched",
    "BatchFormed",
    "BatchPending",
    "BatchRejected",
    "BodyStore",
    "BodyStoreError",
    "CancelAttempt",
    "CancelStep",
    "CapacityCfg",
    "CapacityPlan",
    "CapacityPlanner",
    "Demand",
    "DemandForecast",
    "DrainEndpoint",
    "EndpointChange",
    "EndpointNeed",
    "EndpointOffer",
    "EndpointStatus",
    "EngineView",
    "EngineWeightReport",
    "FetchBatch",
    "FileBodyStore",
    "FormBatch",
    "GradeSample",
    "GroupSubmitted",
    "Ledger",
    "LedgerCommand",
    "LedgerRefusal",
    "LedgerRefused",
    "LedgerReply",
    "LedgerSnapshot",
    "ProposeBatch",
    "PublishVersion",
    "RecordSample",
    "RejectBatch",
    "ReleaseEndpoint",
    "ResumePoint",
    "ReturnToService",
    "SampleBody",
    "SampleRecorded",
    "SampleScheduler",
    "SampleSlot",
    "SchedulerCfg",
    "SchedulerEffect",
    "SlidingMaximum",
    "SpeculationCfg",
    "StartAttempt",
    "StepCancelled",
    "StepDemandCfg",
    "StepDemandForecast",
    "SubmitGroup",
    "SwapOrder",
    "TakeOutOfService",
    "UndrainEndpoint",
    "VersionPublished",
    "VersionStretch",
    "WeightCfg",
    "WeightEffect",
    "WeightRollout",
    "estimate_rollout_s",
    "may_run_on",
]
