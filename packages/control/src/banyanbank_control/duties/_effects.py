"""Effects that the daemon executes for the leader while it holds the lease."""

import attrs

from banyanbank_control import commands
from banyanbank_control import orders


@attrs.frozen
class Propose:
    """Commit a command."""

    command: commands.Command
    """Command to commit; proposed again until the state reflects it."""


@attrs.frozen
class UsageReport:
    """Figures of one frozen usage window; the same for every resend."""

    window: int
    """Window number."""
    start: float
    """Wall time of the start of the window, in seconds."""
    end: float
    """Wall time of the end of the window, in seconds."""
    rows: tuple[commands.UsageDelta, ...]
    """Counts sorted by account."""
    interrupted: int
    """Instance incarnations that ended in the window without a final flush."""

    @property
    def idempotency_key(self) -> str:
        """Key sent with the report; the same for every resend."""
        return f"usage-window-{self.window}"


@attrs.frozen
class SendReport:
    """Send a usage report to the platform."""

    report: UsageReport
    """Report to send."""
    fencing_token: int
    """Control epoch of the sending leader."""


@attrs.frozen
class SendOrder:
    """Send a committed order to the platform."""

    order: orders.Order
    """Order to send; its request and idempotency key never change."""
    fencing_token: int
    """Control epoch of the sending leader, not of the deciding one."""


Effect = Propose | SendReport | SendOrder
