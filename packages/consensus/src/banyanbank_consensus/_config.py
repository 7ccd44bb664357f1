"""Settings of a log node and the constraints between its timeouts."""

import attrs
import banyanbank_base as base

MAX_CLOCK_DRIFT = 0.01
"""Maximum rate error of a monotonic clock, as a fraction of the rate."""

HEARTBEAT_INTERVAL_S = 0.1
"""Interval between the leader's heartbeat rounds, in seconds."""

MIN_ELECTION_TIMEOUT_S = 0.6
"""Minimum election timeout, for which voters also withhold votes; seconds."""

MAX_ELECTION_TIMEOUT_S = 1.2
"""Maximum election timeout, in seconds."""

LEASE_DURATION_S = 0.5
"""Lease duration from the sending of a heartbeat round, in seconds."""

MAX_COMMAND_BYTES = 1 << 20
"""Maximum payload of a proposal, in bytes."""

SNAPSHOT_CHUNK_BYTES = 256 << 10
"""Maximum snapshot data in one message, in bytes."""

SNAPSHOT_SLICE_BYTES = 256 << 10
"""Snapshot data that is encoded, written or decoded in one turn, in bytes."""


@attrs.frozen
class NodeConfig:
    """Settings of a log node."""

    instance: base.InstanceId
    """Instance this node runs on."""
    initial_voters: tuple[base.InstanceId, ...]
    """Instances that form the log together once all their stores are empty."""
    may_form: bool = True
    """Whether empty stores may form a new log, as at a system's first start."""
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    """Interval between heartbeat rounds, in seconds."""
    election_min_s: float = MIN_ELECTION_TIMEOUT_S
    """Seconds after hearing from a leader for which a voter grants no vote."""
    election_max_s: float = MAX_ELECTION_TIMEOUT_S
    """Maximum seconds without a leader before a voter campaigns."""
    lease_s: float = LEASE_DURATION_S
    """Lease duration from sending a confirmed heartbeat round, in seconds."""
    max_clock_drift: float = MAX_CLOCK_DRIFT
    """Maximum rate error of any voter's monotonic clock, as a fraction."""
    propose_timeout_s: float = 5.0
    """Seconds after which an uncommitted proposal fails."""
    repair_after_s: float = MIN_ELECTION_TIMEOUT_S
    """Seconds without a response before a store is replaced by another one that
    has said hello at the same instance."""
    snapshot_entries: int = 4096
    """Entries between snapshots, unless the state is larger than the log."""
    snapshot_bytes: int = 16 << 20
    """Log size in bytes at which a snapshot is taken."""
    keep_entries: int = 512
    """Maximum entries retained before a snapshot for lagging members."""
    chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    """Maximum snapshot data in one message, in bytes."""
    slice_bytes: int = SNAPSHOT_SLICE_BYTES
    """Snapshot data that is encoded, written or decoded in one turn, in bytes;
    a record of the state machine may exceed it."""
    snapshot_window_bytes: int = 2 << 20
    """Bytes of a snapshot in flight to one member at which sending pauses."""
    append_bytes: int = 1 << 20
    """Maximum bytes of entries per append message; one entry may exceed it."""
    window_bytes: int = 4 << 20
    """Bytes of entries in flight to one member at which sending pauses."""
    max_pending_bytes: int = 32 << 20
    """Maximum payload bytes of pending proposals."""

    def __attrs_post_init__(self) -> None:
        """Checks the constraints that safety depends on.

        Raises:
            ValueError: A lease could outlast the time for which voters
                withhold votes, or another setting is invalid.
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
            raise ValueError("initial_voters is empty; name an instance.")
