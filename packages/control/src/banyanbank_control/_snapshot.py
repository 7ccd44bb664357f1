"""Serialization of the complete control state, with a format version."""

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

FORMAT_VERSION = 1
"""Format version written, and the only one that this build reads."""

_MAGIC = b"BBCS"

_RESTORE_ERRORS = (ValueError, TypeError, LookupError, cbor2.CBORDecodeError)


class SnapshotError(Exception):
    """A snapshot is corrupt or has a format that this build does not read."""


@attrs.frozen
class LifeOver:
    """Newest ended incarnation of one instance."""

    instance: base.InstanceId
    """Instance id."""
    incarnation: base.Incarnation
    """Incarnation that has ended, as have all earlier ones."""


@attrs.frozen
class Snapshot:
    """Control state as stored in a snapshot."""

    applied: int
    """Log index of the last applied command."""
    config: config.ConfigRecord
    """Declarations, keys and their history."""
    usage: usage.UsageRecord
    """Usage windows."""
    orders: orders.OrderRecord
    """Live orders and the newest closed ones."""
    intents: intents.IntentRecord
    """Claims on non-idempotent requests."""
    rollouts: rollout.LedgerSnapshot
    """Rollout ledger."""
    lives_over: tuple[LifeOver, ...]
    """Newest ended incarnations, sorted by instance."""
    engine_outages: outages.OutageRecord = attrs.Factory(outages.OutageRecord)
    """Models that are out of service, by engine."""


_CODEC: base.Codec[Snapshot] = base.Codec(Snapshot)


def dump(state: _state.ControlState, applied: int) -> bytes:
    """Encodes a state; equal states give equal bytes."""
    snapshot = Snapshot(
        applied=applied,
        config=state.config.to_record(),
        usage=state.usage.to_record(),
        orders=state.orders.to_record(),
        intents=state.intents.to_record(),
        rollouts=state.rollouts.to_snapshot(),
        lives_over=tuple(
            LifeOver(instance, state.lives_over[instance])
            for instance in sorted(state.lives_over)
        ),
        engine_outages=state.outages.to_record(),
    )
    return _MAGIC + bytes([FORMAT_VERSION]) + _CODEC.encode(snapshot)


def load(data: bytes) -> tuple[_state.ControlState, int]:
    """Returns the state and the applied index of a snapshot.

    Raises:
        SnapshotError: The snapshot is corrupt or has an unknown format.
    """
    if data[: len(_MAGIC)] != _MAGIC:
        raise SnapshotError(
            "The data does not start with the signature of a control state"
            " snapshot."
        )
    version = data[len(_MAGIC)] if len(data) > len(_MAGIC) else 0
    if version != FORMAT_VERSION:
        raise SnapshotError(
            f"The snapshot has format version {version}, but this build reads"
            f" only {FORMAT_VERSION}. Run the build that wrote it or a newer"
            " one."
        )
    try:
        snapshot = _CODEC.decode(data[len(_MAGIC) + 1 :])
    except base.CodecError as exc:
        raise SnapshotError(f"The snapshot is corrupt: {exc}") from exc
    try:
        return _restore(snapshot), snapshot.applied
    except _RESTORE_ERRORS as exc:
        raise SnapshotError(f"The snapshot is corrupt: {exc!r}") from exc


def _restore(snapshot: Snapshot) -> _state.ControlState:
    return _state.ControlState(
        config=config.ConfigState.from_record(snapshot.config),
        usage=usage.UsageState.from_record(snapshot.usage),
        orders=orders.OrderState.from_record(snapshot.orders),
        intents=intents.IntentState.from_record(snapshot.intents),
        rollouts=rollout.Ledger.from_snapshot(snapshot.rollouts),
        lives_over=immutables.Map(
            {ended.instance: ended.incarnation for ended in snapshot.lives_over}
        ),
        outages=outages.OutageState.from_record(snapshot.engine_outages),
    )
