"""Commands of the replicated log and their replies."""

from banyanbank_control.commands._codec import Command
from banyanbank_control.commands._codec import COMMAND_CODEC
from banyanbank_control.commands._codec import Reply
from banyanbank_control.commands._codec import REPLY_CODEC
from banyanbank_control.commands._common import Rejected
from banyanbank_control.commands._common import RejectReason
from banyanbank_control.commands._config import ApplyChanges
from banyanbank_control.commands._config import ApplyDeclarations
from banyanbank_control.commands._config import ConfigAccepted
from banyanbank_control.commands._config import CreateKey
from banyanbank_control.commands._config import RevisionConflict
from banyanbank_control.commands._config import WithdrawKey
from banyanbank_control.commands._intents import AbandonIntent
from banyanbank_control.commands._intents import BeginIntent
from banyanbank_control.commands._intents import CompleteIntent
from banyanbank_control.commands._intents import ExpireIntents
from banyanbank_control.commands._intents import IntentBegun
from banyanbank_control.commands._intents import IntentClosed
from banyanbank_control.commands._intents import IntentMismatch
from banyanbank_control.commands._intents import IntentOpen
from banyanbank_control.commands._intents import IntentReplay
from banyanbank_control.commands._intents import IntentsExpired
from banyanbank_control.commands._intents import LossNoted
from banyanbank_control.commands._intents import NoteInstanceLost
from banyanbank_control.commands._orders import Action
from banyanbank_control.commands._orders import DecideOrder
from banyanbank_control.commands._orders import MarkOrder
from banyanbank_control.commands._orders import OrderDecided
from banyanbank_control.commands._orders import OrderExists
from banyanbank_control.commands._orders import OrderMarked
from banyanbank_control.commands._orders import OrderRequest
from banyanbank_control.commands._orders import OrderStatus
from banyanbank_control.commands._outages import EngineMarked
from banyanbank_control.commands._outages import MarkEngine
from banyanbank_control.commands._rollouts import LEDGER_COMMAND_CODEC
from banyanbank_control.commands._rollouts import LEDGER_REPLY_CODEC
from banyanbank_control.commands._rollouts import RolloutCommand
from banyanbank_control.commands._rollouts import RolloutReply
from banyanbank_control.commands._usage import AddUsage
from banyanbank_control.commands._usage import CloseWindow
from banyanbank_control.commands._usage import MarkReported
from banyanbank_control.commands._usage import UsageAdded
from banyanbank_control.commands._usage import UsageDelta
from banyanbank_control.commands._usage import UsageFigures
from banyanbank_control.commands._usage import UsageGap
from banyanbank_control.commands._usage import WindowClosed
from banyanbank_control.commands._usage import WindowReported

__all__ = [
    "COMMAND_CODEC",
    "LEDGER_COMMAND_CODEC",
    "LEDGER_REPLY_CODEC",
    "REPLY_CODEC",
    "AbandonIntent",
    "Action",
    "AddUsage",
    "ApplyChanges",
    "ApplyDeclarations",
    "BeginIntent",
    "CloseWindow",
    "Command",
    "CompleteIntent",
    "ConfigAccepted",
    "CreateKey",
    "DecideOrder",
    "EngineMarked",
    "ExpireIntents",
    "IntentBegun",
    "IntentClosed",
    "IntentMismatch",
    "IntentOpen",
    "IntentReplay",
    "IntentsExpired",
    "LossNoted",
    "MarkEngine",
    "MarkOrder",
    "MarkReported",
    "NoteInstanceLost",
    "OrderDecided",
    "OrderExists",
    "OrderMarked",
    "OrderRequest",
    "OrderStatus",
    "RejectReason",
    "Rejected",
    "Reply",
    "RevisionConflict",
    "RolloutCommand",
    "RolloutReply",
    "UsageAdded",
    "UsageDelta",
    "UsageFigures",
    "UsageGap",
    "WindowClosed",
    "WindowReported",
    "WithdrawKey",
]
