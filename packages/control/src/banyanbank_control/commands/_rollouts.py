"""Wrappers of the rollout ledger's own commands and replies.

The ledger's unions keep their own codecs: a union within a union would need
its members to differ in their fields.
"""

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

LEDGER_COMMAND_CODEC: base.Codec[rollout.LedgerCommand] = base.Codec(
    *rollout.LEDGER_COMMANDS
)
"""Bytes of ledger commands."""

LEDGER_REPLY_CODEC: base.Codec[rollout.LedgerReply] = base.Codec(
    *rollout.LEDGER_REPLIES
)
"""Bytes of ledger replies."""


@attrs.frozen
class RolloutCommand:
    """A command of the rollout ledger."""

    payload: bytes
    """The command as bytes of `LEDGER_COMMAND_CODEC`."""

    @classmethod
    def of(cls, command: rollout.LedgerCommand) -> "RolloutCommand":
        """Wraps a ledger command."""
        return cls(LEDGER_COMMAND_CODEC.encode(command))

    def command(self) -> rollout.LedgerCommand:
        """Returns the ledger command.

        Raises:
            CodecError: The payload is none.
        """
        return LEDGER_COMMAND_CODEC.decode(self.payload)


@attrs.frozen
class RolloutReply:
    """The ledger's reply."""

    payload: bytes
    """The reply as bytes of `LEDGER_REPLY_CODEC`."""

    @classmethod
    def of(cls, reply: rollout.LedgerReply) -> "RolloutReply":
        """Wraps a ledger reply."""
        return cls(LEDGER_REPLY_CODEC.encode(reply))

    def reply(self) -> rollout.LedgerReply:
        """Returns the ledger reply.

        Raises:
            CodecError: The payload is none.
        """
        return LEDGER_REPLY_CODEC.decode(self.payload)
