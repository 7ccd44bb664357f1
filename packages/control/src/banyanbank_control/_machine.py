"""The state machine of the replicated log."""

import banyanbank_base as base

from banyanbank_control import _handlers
from banyanbank_control import _snapshot
from banyanbank_control import _state
from banyanbank_control import commands


class ControlMachine:
    """Applies committed commands with the same result on every voter.

    Reads no clock and no random source: commands carry the times and random
    values that they need.

    Attributes:
        state: Immutable state after the last applied command.
        applied: Log index of the last applied command; 0 before the first.
    """

    def __init__(self) -> None:
        self.state = _state.ControlState()
        self.applied = 0

    def apply(self, index: int, payload: bytes) -> bytes:
        """Applies one committed command.

        Args:
            index: Index of the command in the log.
            payload: Encoded command; an undecodable payload is rejected.

        Returns:
            The reply, encoded with `REPLY_CODEC`.
        """
        self.applied = index
        try:
            cmd = commands.COMMAND_CODEC.decode(payload)
        except base.CodecError:
            # The exception text is left out: it may differ between builds.
            return _encode_rejected(
                commands.RejectReason.UNDECODABLE,
                "The payload does not decode as a known command.",
            )
        try:
            self.state, reply = _handlers.step(self.state, cmd, payload)
        except Exception:
            # Otherwise a defect would stop every voter at the same index, also
            # after a restart.
            return _encode_rejected(
                commands.RejectReason.DEFECT,
                f"{type(cmd).__name__} raised an unexpected exception;"
                " the state is unchanged.",
            )
        return commands.REPLY_CODEC.encode(reply)

    def snapshot(self) -> bytes:
        """Returns the complete state, encoded with its format version."""
        return _snapshot.dump(self.state, self.applied)

    def restore(self, data: bytes) -> None:
        """Replaces the state with that of a snapshot.

        Raises:
            SnapshotError: The snapshot is corrupt or has an unknown format;
                the state is unchanged.
        """
        self.state, self.applied = _snapshot.load(data)


def _encode_rejected(reason: commands.RejectReason, detail: str) -> bytes:
    return commands.REPLY_CODEC.encode(commands.Rejected(reason, detail))
