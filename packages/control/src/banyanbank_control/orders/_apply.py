"""Applies commands about orders."""

import attrs

from banyanbank_control import _lifecycles
from banyanbank_control import commands
from banyanbank_control.orders import _state


def decide(
    state: _state.OrderState, cmd: commands.DecideOrder
) -> tuple[
    _state.OrderState,
    commands.OrderDecided | commands.OrderExists | commands.Rejected,
]:
    """Decides an order unless its need has a live one."""
    if cmd.epoch < state.epoch:
        return state, _stale(cmd.epoch, state.epoch)
    state = attrs.evolve(state, epoch=cmd.epoch)
    live = state.needs.get(cmd.request.need)
    if live is not None:
        return state, commands.OrderExists(live)
    order = _state.Order(state.next, cmd.request, cmd.epoch)
    reply = commands.OrderDecided(order.number, order.idempotency_key)
    return state.with_order(order), reply


def mark(
    state: _state.OrderState, cmd: commands.MarkOrder
) -> tuple[_state.OrderState, commands.OrderMarked | commands.Rejected]:
    """Moves an order forward; a status that was passed changes nothing."""
    if cmd.epoch < state.epoch:
        return state, _stale(cmd.epoch, state.epoch)
    order = state.get(cmd.number)
    if order is None:
        return state, commands.Rejected(
            commands.RejectReason.NOT_FOUND,
            f"There is no order {cmd.number}, or it closed long ago.",
        )
    state = attrs.evolve(state, epoch=cmd.epoch)
    status = _lifecycles.ORDER.next(order.status.value, cmd.status.value)
    if status is None:
        return state, commands.OrderMarked(order.number, order.status)
    moved = attrs.evolve(
        order,
        status=commands.OrderStatus(status),
        detail=cmd.detail,
        endpoints=cmd.endpoints,
    )
    reply = commands.OrderMarked(order.number, moved.status)
    return state.with_order(moved), reply


def _stale(epoch: int, current: int) -> commands.Rejected:
    return commands.Rejected(
        commands.RejectReason.STALE,
        f"Epoch {epoch} is over; epoch {current} is in office.",
    )
