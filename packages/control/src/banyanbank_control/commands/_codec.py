"""Unions of all commands and of all replies, and their codecs."""

import banyanbank_base as base

from banyanbank_control.commands import _common
from banyanbank_control.commands import _config
from banyanbank_control.commands import _intents
from banyanbank_control.commands import _orders
from banyanbank_control.commands import _outages
from banyanbank_control.commands import _rollouts
from banyanbank_control.commands import _usage

Command = (
    _rollouts.RolloutCommand
    | _config.ApplyDeclarations
    | _config.ApplyChanges
    | _config.CreateKey
    | _config.WithdrawKey
    | _intents.BeginIntent
    | _intents.CompleteIntent
    | _intents.AbandonIntent
    | _intents.ExpireIntents
    | _intents.NoteInstanceLost
    | _usage.AddUsage
    | _usage.CloseWindow
    | _usage.MarkReported
    | _orders.DecideOrder
    | _orders.MarkOrder
    | _outages.MarkEngine
)
"""Any command of the replicated log."""

Reply = (
    _common.Rejected
    | _rollouts.RolloutReply
    | _config.ConfigAccepted
    | _config.RevisionConflict
    | _intents.IntentBegun
    | _intents.IntentReplay
    | _intents.IntentOpen
    | _intents.IntentMismatch
    | _intents.IntentClosed
    | _intents.IntentsExpired
    | _intents.LossNoted
    | _usage.UsageAdded
    | _usage.UsageGap
    | _usage.WindowClosed
    | _usage.WindowReported
    | _orders.OrderDecided
    | _orders.OrderExists
    | _orders.OrderMarked
    | _outages.EngineMarked
)
"""Any reply to a command."""

COMMAND_CODEC: base.Codec[Command] = base.Codec(
    _rollouts.RolloutCommand,
    _config.ApplyDeclarations,
    _config.ApplyChanges,
    _config.CreateKey,
    _config.WithdrawKey,
    _intents.BeginIntent,
    _intents.CompleteIntent,
    _intents.AbandonIntent,
    _intents.ExpireIntents,
    _intents.NoteInstanceLost,
    _usage.AddUsage,
    _usage.CloseWindow,
    _usage.MarkReported,
    _orders.DecideOrder,
    _orders.MarkOrder,
    _outages.MarkEngine,
)
"""Encodes and decodes commands."""

REPLY_CODEC: base.Codec[Reply] = base.Codec(
    _common.Rejected,
    _rollouts.RolloutReply,
    _config.ConfigAccepted,
    _config.RevisionConflict,
    _intents.IntentBegun,
    _intents.IntentReplay,
    _intents.IntentOpen,
    _intents.IntentMismatch,
    _intents.IntentClosed,
    _intents.IntentsExpired,
    _intents.LossNoted,
    _usage.UsageAdded,
    _usage.UsageGap,
    _usage.WindowClosed,
    _usage.WindowReported,
    _orders.OrderDecided,
    _orders.OrderExists,
    _orders.OrderMarked,
    _outages.EngineMarked,
)
"""Encodes and decodes replies."""
