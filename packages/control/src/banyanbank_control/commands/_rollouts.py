"""Wrappers for commands and replies of the rollout ledger.

The ledger's unions have codecs of their own: the members of a nested union
would have to differ in their fields.
"""

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

LEDGER_COMMAND_CODEC: base.Codec[rollout.LedgerCommand] = base.Codec(
    *rollout.LEDGER_COMMANDS
)
"""Encodes and decodes commands of the rollout ledger."""

LEDGER_REPLY_CODEC: base.Codec[rollout.LedgerReply] = base.Codec(
    *rollout.LEDGER_REPLIES
)
"""Encodes and decodes replies of the rollout ledger."""


@attrs.frozen
class RolloutCommand:
    """Wraps a command of the rollout ledger."""

    payload: bytes
    """The command, encoded with `LEDGER_COMMAND_CODEC`."""

    @classmethod
    def wrap(cls, command: rollout.LedgerCommand) -> "RolloutCommand":
        """Wraps a ledger command."""
        return cls(LEDGER_COMMAND_CODEC.encode(command))

    def command(self) -> rollout.LedgerCommand:
        """Decodes the ledger command.

        Raises:
            CodecError: The payload does not encode a ledger command.
        """
        return LEDGER_COMMAND_CODEC.decode(self.payload)


@attrs.frozen
class RolloutReply:
    """Wraps a reply of the rollout ledger."""

    payload: bytes
    """The reply, encoded with `LEDGER_REPLY_CODEC`."""

    @classmethod
    def wrap(cls, reply: rollout.LedgerReply) -> "RolloutReply":
        """Wraps a ledger reply."""
        return cls(LEDGER_REPLY_CODEC.encode(reply))

    def reply(self) -> rollout.LedgerReply:
        """Decodes the ledger reply.

        Raises:
            CodecError: The payload does not encode a ledger reply.
        """
        return LEDGER_REPLY_CODEC.decode(self.payload)
