"""Settings of a log node and the bounds between its timings."""

import attrs
import banyanbank_base as base

MAX_CLOCK_DRIFT = 0.01
"""Largest error of the rate of a monotonic clock; a fraction of the rate."""

HEARTBEAT_S = 0.1
"""Period of the leader's heartbeat rounds, in seconds."""

ELECTION_MIN_S = 0.6
"""Shortest election timeout and the voters' promise, in seconds."""

ELECTION_MAX_S = 1.2
"""Longest election timeout, in seconds."""

LEASE_S = 0.5
"""Length of the leader's lease from the sending of a round, in seconds."""

MAX_COMMAND_BYTES = 1 << 20
"""Largest payload of one proposal."""

SNAPSHOT_CHUNK_BYTES = 256 << 10
"""Largest piece of a snapshot in one message."""


@attrs.frozen
class NodeConfig:
    """Settings of one log node."""

    instance: base.InstanceId
    """The instance this node runs on."""
    initial_voters: tuple[base.InstanceId, ...]
    """Instances that form the log together when all their stores are empty."""
    may_form: bool = True
    """Whether empty stores may form a new log; see the note on agreement."""
    heartbeat_s: float = HEARTBEAT_S
    """Seconds between heartbeat rounds."""
    election_min_s: float = ELECTION_MIN_S
    """Seconds for which a voter that heard a leader grants no vote."""
    election_max_s: float = ELECTION_MAX_S
    """Seconds after which a voter without a leader campaigns at the latest."""
    lease_s: float = LEASE_S
    """Seconds of lease after the sending of a confirmed heartbeat round."""
    max_clock_drift: float = MAX_CLOCK_DRIFT
    """Largest error of the rate of any voter's monotonic clock."""
    propose_timeout_s: float = 5.0
    """Seconds after which an uncommitted proposal fails."""
    repair_after_s: float = 3.0
    """Seconds of silence before a voter with a lost disk is replaced."""
    snapshot_entries: int = 4096
    """Entries after which a snapshot is taken, unless the state is large."""
    snapshot_bytes: int = 16 << 20
    """Bytes in the log after which a snapshot is taken."""
    keep_entries: int = 512
    """Entries that stay behind a snapshot for voters that lag."""
    chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    """Largest piece of a snapshot in one message."""
    append_bytes: int = 1 << 20
    """Payload bytes after which an append message is full."""
    window_bytes: int = 4 << 20
    """Payload bytes in flight to one member."""
    pending_bytes: int = 32 << 20
    """Payload bytes of proposals that wait for commit."""

    def __attrs_post_init__(self) -> None:
        """Checks the bounds that safety rests on.

        Raises:
            ValueError: A lease could outlive the promise of the voters.
        """
        drift = self.max_clock_drift
        max_lease_s = self.lease_s * (1 + drift) / (1 - drift)
        if max_lease_s > self.election_min_s * (1 + 1e-9):
            raise ValueError(
                f"lease_s={self.lease_s} may last {max_lease_s:.4f} s on "
                f"another clock, longer than election_min_s="
                f"{self.election_min_s}; shorten the lease."
            )
        if self.election_max_s <= self.election_min_s:
            raise ValueError("election_max_s must exceed election_min_s.")
        if not self.initial_voters:
            raise ValueError("initial_voters must name an instance.")
