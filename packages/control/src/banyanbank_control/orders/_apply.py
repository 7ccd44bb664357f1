"""Applies order commands to the order state."""

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
    """Creates an order unless its need already has a live one.

    Rejects a command of a stale epoch.
    """
    if cmd.epoch < state.epoch:
        return state, _reject_stale_epoch(cmd.epoch, state.epoch)
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
    """Advances the status of an order; an invalid transition is ignored.

    Rejects a command of a stale epoch and an unknown order number.
    """
    if cmd.epoch < state.epoch:
        return state, _reject_stale_epoch(cmd.epoch, state.epoch)
    order = state.get(cmd.number)
    if order is None:
        return state, commands.Rejected(
            commands.RejectReason.NOT_FOUND,
            f"Order {cmd.number} does not exist or has been evicted.",
        )
    state = attrs.evolve(state, epoch=cmd.epoch)
    status = _lifecycles.ORDER.next(order.status.value, cmd.status.value)
    if status is None:
        return state, commands.OrderMarked(order.number, order.status)
    updated = attrs.evolve(
        order,
        status=commands.OrderStatus(status),
        detail=cmd.detail,
        endpoints=cmd.endpoints,
    )
    reply = commands.OrderMarked(order.number, updated.status)
    return state.with_order(updated), reply


def _reject_stale_epoch(epoch: int, current: int) -> commands.Rejected:
    return commands.Rejected(
        commands.RejectReason.STALE,
        f"Epoch {epoch} is stale; the current epoch is {current}.",
    )
