"""Bytes of the whole control state, with a format version."""

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout
import cbor2
import immutables

from banyanbank_control import _state
from banyanbank_control import config
from banyanbank_control import intents
from banyanbank_control import orders
from banyanbank_control import outages
from banyanbank_control import usage

FORMAT = 1
"""Format version written; a build reads only the ones it knows."""

_MAGIC = b"BBCS"

_DAMAGES = (ValueError, TypeError, LookupError, cbor2.CBORDecodeError)


class SnapshotError(Exception):
    """Bytes are no snapshot that this build can read."""


@attrs.frozen
class LifeOver:
    """Newest life of one instance that is over."""

    instance: base.InstanceId
    """The instance."""
    incarnation: base.Incarnation
    """The life."""


@attrs.frozen
class Snapshot:
    """The control state as records."""

    applied: int
    """Index of the newest command that it holds."""
    config: config.ConfigRecord
    """Configuration."""
    usage: usage.UsageRecord
    """Usage windows."""
    orders: orders.OrderRecord
    """Orders."""
    intents: intents.IntentRecord
    """Intents."""
    rollouts: rollout.LedgerSnapshot
    """Rollout ledger."""
    lives_over: tuple[LifeOver, ...]
    """Lives that are over, by instance."""
    engine_outages: outages.OutageRecord = attrs.Factory(outages.OutageRecord)
    """Models of engines that are out of service."""


_CODEC: base.Codec[Snapshot] = base.Codec(Snapshot)


def dump(state: _state.ControlState, applied: int) -> bytes:
    """Returns a state as bytes; equal states give equal bytes."""
    snapshot = Snapshot(
        applied=applied,
        config=state.config.record(),
        usage=state.usage.record(),
        orders=state.orders.record(),
        intents=state.intents.record(),
        rollouts=state.rollouts.to_snapshot(),
        lives_over=tuple(
            LifeOver(instance, state.lives_over[instance])
            for instance in sorted(state.lives_over)
        ),
        engine_outages=state.outages.record(),
    )
    return _MAGIC + bytes([FORMAT]) + _CODEC.encode(snapshot)


def load(data: bytes) -> tuple[_state.ControlState, int]:
    """Returns the state and the index that a snapshot holds.

    Raises:
        SnapshotError: The bytes are no snapshot of a known format.
    """
    if data[: len(_MAGIC)] != _MAGIC:
        raise SnapshotError("The bytes are no snapshot of a control state.")
    version = data[len(_MAGIC)] if len(data) > len(_MAGIC) else 0
    if version != FORMAT:
        raise SnapshotError(
            f"The snapshot has format {version}; this build reads {FORMAT}."
            " Run the build that wrote it or a newer one."
        )
    try:
        snapshot = _CODEC.decode(data[len(_MAGIC) + 1 :])
    except base.CodecError as exc:
        raise SnapshotError(f"The snapshot is damaged: {exc}") from exc
    try:
        return _restore(snapshot), snapshot.applied
    except _DAMAGES as exc:
        raise SnapshotError(f"The snapshot is damaged: {exc!r}") from exc


def _restore(snapshot: Snapshot) -> _state.ControlState:
    return _state.ControlState(
        config=config.ConfigState.from_record(snapshot.config),
        usage=usage.UsageState.from_record(snapshot.usage),
        orders=orders.OrderState.from_record(snapshot.orders),
        intents=intents.IntentState.from_record(snapshot.intents),
        rollouts=rollout.Ledger.from_snapshot(snapshot.rollouts),
        lives_over=immutables.Map(
            {life.instance: life.incarnation for life in snapshot.lives_over}
        ),
        outages=outages.OutageState.from_record(snapshot.engine_outages),
    )
