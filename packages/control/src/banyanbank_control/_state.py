"""The control state that results from the replicated log."""

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout
import immutables

from banyanbank_control.config import _state as config_state
from banyanbank_control.intents import _state as intents_state
from banyanbank_control.orders import _state as orders_state
from banyanbank_control.outages import _state as outages_state
from banyanbank_control.usage import _state as usage_state

EndedIncarnations = immutables.Map[base.InstanceId, base.Incarnation]


@attrs.frozen
class ControlState:
    """The complete control state; immutable."""

    config: config_state.ConfigState = attrs.Factory(config_state.ConfigState)
    """Declarations and keys in effect."""
    usage: usage_state.UsageState = attrs.Factory(usage_state.UsageState)
    """Usage windows."""
    orders: orders_state.OrderState = attrs.Factory(orders_state.OrderState)
    """Orders to start or stop endpoints."""
    outages: outages_state.OutageState = attrs.Factory(
        outages_state.OutageState
    )
    """Models that are out of service, by engine."""
    intents: intents_state.IntentState = attrs.Factory(
        intents_state.IntentState
    )
    """Claims on non-idempotent requests."""
    rollouts: rollout.Ledger = attrs.Factory(rollout.Ledger)
    """Rollout ledger."""
    lives_over: EndedIncarnations = attrs.Factory(immutables.Map)
    """Newest incarnation known to have ended, by instance."""
