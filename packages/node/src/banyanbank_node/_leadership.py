"""Confirms that this store leads before it answers from its own state."""

from returns import result

from banyanbank_node import _ledger_replica


class NotLeaderError(Exception):
    """This store does not lead; the call had no effect."""


async def ensure_current(stored: _ledger_replica.LedgerReplica) -> None:
    """Waits until the leader's applied state is known to be current.

    Raises:
        NotLeaderError: Another store may lead.
    """
    if not stored.has_lease:
        # Without the lease, a quorum confirms the leadership.
        await confirm(stored)


async def confirm(stored: _ledger_replica.LedgerReplica) -> None:
    """Waits until a quorum has confirmed the leadership.

    Raises:
        NotLeaderError: Another store may lead.
    """
    confirmed = await stored.node.confirm_leadership()
    if isinstance(confirmed, result.Failure):
        raise NotLeaderError
