"""Dispatches each command to the module that handles it."""

import collections.abc
import typing

import attrs
import banyanbank_base as base

from banyanbank_control import _state
from banyanbank_control import commands
from banyanbank_control import config
from banyanbank_control import intents
from banyanbank_control import orders
from banyanbank_control import outages
from banyanbank_control import usage

_StepResult = tuple[_state.ControlState, commands.Reply]
_Handler = collections.abc.Callable[
    [_state.ControlState, typing.Any], _StepResult
]


def step(
    state: _state.ControlState, cmd: commands.Command, payload: bytes
) -> _StepResult:
    """Applies one command.

    Args:
        state: State before the command.
        cmd: Decoded command.
        payload: Encoded command. Its digest tells a resend from a different
            request with the same request id.

    Returns:
        State after the command, and the reply.
    """
    handler = _CONFIG_HANDLERS.get(type(cmd))
    if handler is not None:
        return _step_config_command(state, handler, cmd, payload)
    return _HANDLERS[type(cmd)](state, cmd)


def _step_config_command(
    state: _state.ControlState,
    handler: collections.abc.Callable[..., typing.Any],
    cmd: typing.Any,
    payload: bytes,
) -> _StepResult:
    digest = config.digest_payload(payload)
    if isinstance(cmd, commands.ApplyChanges):
        digest = cmd.digest
    recorded = state.config.requests.get(cmd.request_id)
    if recorded is not None and recorded.digest == digest:
        return state, commands.REPLY_CODEC.decode(recorded.reply)
    if recorded is not None:
        return state, commands.Rejected(
            commands.RejectReason.REQUEST_ID_REUSED,
            f"Request id {cmd.request_id!r} was already used for a different"
            " request; choose a new one.",
        )
    new, reply = handler(state.config, cmd)
    # The reply becomes part of the replicated state and of snapshots, so its
    # texts must not differ between builds.
    record = config.RequestRecord(
        cmd.request_id, digest, commands.REPLY_CODEC.encode(reply)
    )
    return attrs.evolve(state, config=new.with_request_record(record)), reply


def _begin_intent(
    state: _state.ControlState, cmd: commands.BeginIntent
) -> _StepResult:
    state = _with_incarnations_ended(state, cmd.instance, cmd.incarnation - 1)
    new, reply = intents.begin(state.intents, cmd, state.lives_over)
    return attrs.evolve(state, intents=new), reply


def _complete_intent(
    state: _state.ControlState, cmd: commands.CompleteIntent
) -> _StepResult:
    new, reply = intents.complete(state.intents, cmd)
    return attrs.evolve(state, intents=new), reply


def _abandon_intent(
    state: _state.ControlState, cmd: commands.AbandonIntent
) -> _StepResult:
    new, reply = intents.abandon(state.intents, cmd)
    return attrs.evolve(state, intents=new), reply


def _expire_intents(
    state: _state.ControlState, cmd: commands.ExpireIntents
) -> _StepResult:
    new, reply = intents.expire(state.intents, cmd)
    return attrs.evolve(state, intents=new), reply


def _record_instance_lost(
    state: _state.ControlState, cmd: commands.NoteInstanceLost
) -> _StepResult:
    state = _with_incarnations_ended(state, cmd.instance, cmd.incarnation)
    newest_ended = state.lives_over.get(cmd.instance, cmd.incarnation)
    return state, commands.LossNoted(newest_ended)


def _add_usage(
    state: _state.ControlState, cmd: commands.AddUsage
) -> _StepResult:
    state = _with_incarnations_ended(state, cmd.instance, cmd.incarnation - 1)
    new, reply = usage.add(state.usage, cmd)
    return attrs.evolve(state, usage=new), reply


def _close_window(
    state: _state.ControlState, cmd: commands.CloseWindow
) -> _StepResult:
    new, reply = usage.close_window(state.usage, cmd)
    return attrs.evolve(state, usage=new), reply


def _mark_reported(
    state: _state.ControlState, cmd: commands.MarkReported
) -> _StepResult:
    new, reply = usage.mark_reported(state.usage, cmd)
    return attrs.evolve(state, usage=new), reply


def _decide_order(
    state: _state.ControlState, cmd: commands.DecideOrder
) -> _StepResult:
    new, reply = orders.decide(state.orders, cmd)
    return attrs.evolve(state, orders=new), reply


def _mark_order(
    state: _state.ControlState, cmd: commands.MarkOrder
) -> _StepResult:
    new, reply = orders.mark(state.orders, cmd)
    return attrs.evolve(state, orders=new), reply


def _mark_engine(
    state: _state.ControlState, cmd: commands.MarkEngine
) -> _StepResult:
    new, reply = outages.mark(state.outages, cmd)
    return attrs.evolve(state, outages=new), reply


def _apply_rollout_command(
    state: _state.ControlState, cmd: commands.RolloutCommand
) -> _StepResult:
    try:
        command = cmd.command()
    except base.CodecError:
        return state, commands.Rejected(
            commands.RejectReason.UNDECODABLE,
            "The payload does not decode as a rollout ledger command.",
        )
    ledger, reply = state.rollouts.apply(command)
    new = attrs.evolve(state, rollouts=ledger)
    return new, commands.RolloutReply.wrap(reply)


def _with_incarnations_ended(
    state: _state.ControlState, instance: base.InstanceId, newest_ended: int
) -> _state.ControlState:
    """Records that incarnations up to and including one have ended."""
    previous_ended = state.lives_over.get(instance, base.Incarnation(-1))
    if newest_ended <= previous_ended:
        return state
    return attrs.evolve(
        state,
        lives_over=state.lives_over.set(
            instance, base.Incarnation(newest_ended)
        ),
        usage=usage.record_ended_incarnations(
            state.usage, instance, previous_ended, newest_ended
        ),
    )


_CONFIG_HANDLERS: dict[type, collections.abc.Callable[..., typing.Any]] = {
    commands.ApplyDeclarations: config.apply_declarations,
    commands.ApplyChanges: config.apply_changes,
    commands.CreateKey: config.create_key,
    commands.WithdrawKey: config.withdraw_key,
}

_HANDLERS: dict[type, _Handler] = {
    commands.BeginIntent: _begin_intent,
    commands.CompleteIntent: _complete_intent,
    commands.AbandonIntent: _abandon_intent,
    commands.ExpireIntents: _expire_intents,
    commands.NoteInstanceLost: _record_instance_lost,
    commands.AddUsage: _add_usage,
    commands.CloseWindow: _close_window,
    commands.MarkReported: _mark_reported,
    commands.DecideOrder: _decide_order,
    commands.MarkOrder: _mark_order,
    commands.MarkEngine: _mark_engine,
    commands.RolloutCommand: _apply_rollout_command,
}
