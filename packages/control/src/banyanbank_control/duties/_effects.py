"""What the leader's duties ask the daemon to do, lease held."""

import attrs

from banyanbank_control import commands
from banyanbank_control import orders


@attrs.frozen
class Propose:
    """Commit a command."""

    command: commands.Command
    """The command; a duty asks again until the state shows it."""


@attrs.frozen
class UsageReport:
    """Frozen figures of one window; equal in every sending."""

    window: int
    """Number of the window."""
    start: float
    """Wall time at which it began, in seconds."""
    end: float
    """Wall time at which it ended, in seconds."""
    rows: tuple[commands.UsageDelta, ...]
    """Counts sorted by account."""
    interrupted: int
    """Lives of instances that ended without a final flush in it."""

    @property
    def idempotency_key(self) -> str:
        """Key under which it is sent, each time the same."""
        return f"usage-window-{self.window}"


@attrs.frozen
class SendReport:
    """Send a report to the platform."""

    report: UsageReport
    """The report."""
    fencing_token: int
    """Control epoch of the sender."""


@attrs.frozen
class SendOrder:
    """Send a committed order to the platform."""

    order: orders.Order
    """The order; its request and key never change."""
    fencing_token: int
    """Control epoch of the sender, not of the one who decided."""


Effect = Propose | SendReport | SendOrder
