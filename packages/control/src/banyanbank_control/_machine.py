"""The state machine that the replicated log drives."""

import banyanbank_base as base

from banyanbank_control import _handlers
from banyanbank_control import _snapshot
from banyanbank_control import _state
from banyanbank_control import commands


class ControlMachine:
    """Applies committed commands; the same on every voter.

    It reads no clock and draws no random number: whatever a command needs
    of them it carries.

    Attributes:
        state: The state after the newest command; immutable.
        applied: Index of the newest command applied; 0 before the first.
    """

    def __init__(self) -> None:
        self.state = _state.ControlState()
        self.applied = 0

    def apply(self, index: int, payload: bytes) -> bytes:
        """Applies one committed command.

        Args:
            index: Its index in the log.
            payload: Its bytes; anything but a known command is rejected.

        Returns:
            The reply as bytes of `REPLY_CODEC`.
        """
        self.applied = index
        try:
            cmd = commands.COMMAND_CODEC.decode(payload)
        except base.CodecError:
            # The cause's text is left out: it may differ between builds.
            return _encode_rejected(
                commands.RejectReason.UNDECODABLE,
                "The bytes are no known command.",
            )
        try:
            self.state, reply = _handlers.step(self.state, cmd, payload)
        except Exception:
            # A defect must not stop every voter at the same index for ever.
            return _encode_rejected(
                commands.RejectReason.DEFECT,
                f"{type(cmd).__name__} ran into a defect; nothing changed.",
            )
        return commands.REPLY_CODEC.encode(reply)

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes, with their format version."""
        return _snapshot.dump(self.state, self.applied)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Raises:
            SnapshotError: The bytes are no snapshot of a known format; the
                state stays as it was.
        """
        self.state, self.applied = _snapshot.load(data)


def _encode_rejected(reason: commands.RejectReason, detail: str) -> bytes:
    return commands.REPLY_CODEC.encode(commands.Rejected(reason, detail))
