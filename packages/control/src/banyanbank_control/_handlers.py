"""Leads each command to the part of the state that it concerns."""

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

_Step = tuple[_state.ControlState, commands.Reply]
_Handler = collections.abc.Callable[[_state.ControlState, typing.Any], _Step]


def step(
    state: _state.ControlState, cmd: commands.Command, payload: bytes
) -> _Step:
    """Applies one command.

    Args:
        state: State before.
        cmd: The command.
        payload: Its bytes, by which a resend is told from another request.

    Returns:
        State after, and the reply.
    """
    apply_config = _CONFIG.get(type(cmd))
    if apply_config is not None:
        return _step_config(state, apply_config, cmd, payload)
    return _OTHERS[type(cmd)](state, cmd)


def _step_config(
    state: _state.ControlState,
    apply_config: collections.abc.Callable[..., typing.Any],
    cmd: typing.Any,
    payload: bytes,
) -> _Step:
    digest = config.digest_of(payload)
    if isinstance(cmd, commands.ApplyChanges):
        digest = cmd.digest
    first = state.config.requests.get(cmd.request_id)
    if first is not None and first.digest == digest:
        return state, commands.REPLY_CODEC.decode(first.reply)
    if first is not None:
        return state, commands.Rejected(
            commands.RejectReason.REQUEST_ID_REUSED,
            f"Request id {cmd.request_id!r} belongs to another request;"
            " choose a new one.",
        )
    new, reply = apply_config(state.config, cmd)
    record = config.RequestRecord(
        cmd.request_id, digest, commands.REPLY_CODEC.encode(reply)
    )
    return attrs.evolve(state, config=new.with_request(record)), reply


def _begin_intent(
    state: _state.ControlState, cmd: commands.BeginIntent
) -> _Step:
    state = _with_lives_over(state, cmd.instance, cmd.incarnation - 1)
    new, reply = intents.begin(state.intents, cmd, state.lives_over)
    return attrs.evolve(state, intents=new), reply


def _complete_intent(
    state: _state.ControlState, cmd: commands.CompleteIntent
) -> _Step:
    new, reply = intents.complete(state.intents, cmd)
    return attrs.evolve(state, intents=new), reply


def _abandon_intent(
    state: _state.ControlState, cmd: commands.AbandonIntent
) -> _Step:
    new, reply = intents.abandon(state.intents, cmd)
    return attrs.evolve(state, intents=new), reply


def _expire_intents(
    state: _state.ControlState, cmd: commands.ExpireIntents
) -> _Step:
    new, reply = intents.expire(state.intents, cmd)
    return attrs.evolve(state, intents=new), reply


def _note_instance_lost(
    state: _state.ControlState, cmd: commands.NoteInstanceLost
) -> _Step:
    state = _with_lives_over(state, cmd.instance, cmd.incarnation)
    through = state.lives_over.get(cmd.instance, cmd.incarnation)
    return state, commands.LossNoted(through)


def _add_usage(state: _state.ControlState, cmd: commands.AddUsage) -> _Step:
    state = _with_lives_over(state, cmd.instance, cmd.incarnation - 1)
    new, reply = usage.add(state.usage, cmd)
    return attrs.evolve(state, usage=new), reply


def _close_window(
    state: _state.ControlState, cmd: commands.CloseWindow
) -> _Step:
    new, reply = usage.close_window(state.usage, cmd)
    return attrs.evolve(state, usage=new), reply


def _mark_reported(
    state: _state.ControlState, cmd: commands.MarkReported
) -> _Step:
    new, reply = usage.mark_reported(state.usage, cmd)
    return attrs.evolve(state, usage=new), reply


def _decide_order(
    state: _state.ControlState, cmd: commands.DecideOrder
) -> _Step:
    new, reply = orders.decide(state.orders, cmd)
    return attrs.evolve(state, orders=new), reply


def _mark_order(state: _state.ControlState, cmd: commands.MarkOrder) -> _Step:
    new, reply = orders.mark(state.orders, cmd)
    return attrs.evolve(state, orders=new), reply


def _mark_engine(state: _state.ControlState, cmd: commands.MarkEngine) -> _Step:
    new, reply = outages.mark(state.outages, cmd)
    return attrs.evolve(state, outages=new), reply


def _rollout(state: _state.ControlState, cmd: commands.RolloutCommand) -> _Step:
    try:
        command = cmd.command()
    except base.CodecError:
        return state, commands.Rejected(
            commands.RejectReason.UNDECODABLE,
            "The payload is no command of the rollout ledger.",
        )
    ledger, reply = state.rollouts.apply(command)
    new = attrs.evolve(state, rollouts=ledger)
    return new, commands.RolloutReply.of(reply)


def _with_lives_over(
    state: _state.ControlState, instance: base.InstanceId, through: int
) -> _state.ControlState:
    """Notes that an instance's lives up to one are over."""
    before = state.lives_over.get(instance, base.Incarnation(-1))
    if through <= before:
        return state
    return attrs.evolve(
        state,
        lives_over=state.lives_over.set(instance, base.Incarnation(through)),
        usage=usage.note_lives_over(state.usage, instance, before, through),
    )


_CONFIG: dict[type, collections.abc.Callable[..., typing.Any]] = {
    commands.ApplyDeclarations: config.apply_declarations,
    commands.ApplyChanges: config.apply_changes,
    commands.CreateKey: config.create_key,
    commands.WithdrawKey: config.withdraw_key,
}

_OTHERS: dict[type, _Handler] = {
    commands.BeginIntent: _begin_intent,
    commands.CompleteIntent: _complete_intent,
    commands.AbandonIntent: _abandon_intent,
    commands.ExpireIntents: _expire_intents,
    commands.NoteInstanceLost: _note_instance_lost,
    commands.AddUsage: _add_usage,
    commands.CloseWindow: _close_window,
    commands.MarkReported: _mark_reported,
    commands.DecideOrder: _decide_order,
    commands.MarkOrder: _mark_order,
    commands.MarkEngine: _mark_engine,
    commands.RolloutCommand: _rollout,
}
