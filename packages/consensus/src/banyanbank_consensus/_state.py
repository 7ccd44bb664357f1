"""State of a replica, and functions shared by the modules that change it."""

import collections
import enum
import random

import attrs
import banyanbank_base as base

from banyanbank_consensus import _charts
from banyanbank_consensus import _config
from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _errors
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _messages

DISTANT_PAST = float("-inf")
"""A time before all others; a timer set to it is due at once."""

QUICK_ELECTION_MIN_S = 0.1
"""Minimum election timeout while no lease can exist, in seconds."""

QUICK_ELECTION_MAX_S = 0.3
"""Maximum election timeout while no lease can exist, in seconds."""


class Role(enum.Enum):
    """Role of a replica in its epoch; the states of `charts/role.yaml`."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProgressMode(enum.Enum):
    """How a leader replicates to a member."""

    PROBE = "probe"
    """One message at a time until a matching index is found."""
    REPLICATE = "replicate"
    """Entries are sent ahead of their acknowledgements."""
    SNAPSHOT = "snapshot"
    """A snapshot is being sent."""


@attrs.define
class Progress:
    """Replication progress of a member, as known to the leader."""

    store: str
    """Store of the member; a new store starts with new progress."""
    next_index: int
    """Index of the next entry to send."""
    match: int = 0
    """Last index known to match and to be synced at the member."""
    mode: ProgressMode = ProgressMode.PROBE
    """Replication mode."""
    confirmed_at: float = DISTANT_PAST
    """Send time, on the leader's clock, of the latest answered round."""
    confirmed_commit_index: int = 0
    """Commit index when that round was sent."""
    heard_at: float = DISTANT_PAST
    """When the store was heard last; when it became a member of this
    leadership if it was not heard since."""
    has_responded: bool = False
    """Whether it has responded during this leadership."""
    resend_at: float = DISTANT_PAST
    """When to resend an unanswered probe or snapshot chunk."""
    in_flight: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )
    """Last index and size in bytes of each message in flight."""
    in_flight_bytes: int = 0
    """Total size of the messages in flight."""
    snapshot_index: int = 0
    """Index of the snapshot being sent; 0 if none."""
    snapshot_offset: int = 0
    """Bytes of that snapshot that the member has acknowledged."""
    snapshot_sent: int = 0
    """Bytes of that snapshot that were sent."""
    answer_delay_s: float = 0.0
    """Time from the latest answered round until the answer, in seconds."""


@attrs.define
class Leadership:
    """State that a replica has only while it leads."""

    noop_index: int
    """Index of the no-op entry that starts the epoch."""
    elected_at: float
    """When the election was won."""
    first_lease_at: float
    """When all leases of earlier leaders have expired, with a margin."""
    round_sent_at: float = DISTANT_PAST
    """When the latest heartbeat round was sent."""
    round_commits: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    """Send time and commit index of each recent round, the oldest first."""
    next_round_at: float = DISTANT_PAST
    """When the next round is due."""
    synced_index: int = 0
    """Last synced index of the leader's own log."""
    progress: dict[base.InstanceId, Progress] = attrs.field(factory=dict)
    """Progress of each member except the leader."""


@attrs.frozen
class PeerHello:
    """What the latest hellos of an instance reported."""

    store: str
    """Identity of its store."""
    cluster: str
    """Log that the store belongs to; empty if none."""
    received_at: float
    """When the latest hello was received."""
    round: int = 0
    """Latest own hello that was answered; 0 if none was."""
    empty_rounds: int = 0
    """Consecutive answers in which the store belonged to no log."""


@attrs.define
class InboundSnapshot:
    """A snapshot being received."""

    leader: base.InstanceId
    """Instance that sends it."""
    epoch: int
    """Epoch of the leader."""
    meta: _disk.SnapshotMeta
    """Metadata of the snapshot."""
    received: int = 0
    """Bytes received so far."""
    crc: int = 0
    """CRC-32 of these bytes."""


@attrs.define
class State:
    """State of a replica; modified only within this package."""

    cfg: _config.NodeConfig
    """Settings."""
    rng: random.Random
    """Random source of election timeouts and of the cluster id."""
    store: str
    """Identity of the own store."""
    hard_state: _disk.HardState
    """Durable epoch, vote and cluster."""
    log: _log.Log
    """Entries in memory."""
    snapshot: _disk.SnapshotMeta | None
    """Metadata of the latest own snapshot; None if there is none."""
    started_at: float
    """When the process started."""
    incarnation: int
    """Random number that tells apart the queries of successive processes."""
    chart: base.TableRunner = attrs.field(
        factory=lambda: _charts.make_chart_runner("role")
    )
    """Validates changes of the role."""
    role: Role = Role.FOLLOWER
    """Current role; changed only by `transition`."""
    leader: base.InstanceId | None = None
    """Leader of the epoch; None if unknown."""
    last_leader: str = ""
    """Identity of the leader that was followed last; empty if there was none
    since this replica led."""
    last_leader_heard_at: float = DISTANT_PAST
    """When the latest message of that leader was received."""
    ticked_at: float | None = None
    """When the latest tick ran; None before the first."""
    commit: int = 0
    """Last index known to be committed."""
    votes_withheld_until: float = DISTANT_PAST
    """Until when no vote is granted, since a leader may hold a lease."""
    election_due_at: float = DISTANT_PAST
    """When to campaign, unless a leader's message arrives before."""
    promise_query_at: float | None = None
    """When to ask the former leader again; None unless a query is of use."""
    quick_elections_until: float = DISTANT_PAST
    """Until when election timeouts are short: no voter guards a lease."""
    hello_round: int = 0
    """Number of the latest own hello."""
    next_hello_at: float = DISTANT_PAST
    """When the next hello is due."""
    votes: set[base.InstanceId] = attrs.field(factory=set)
    """Instances that granted the current vote or pre-vote."""
    leadership: Leadership | None = None
    """Set if and only if the role is leader."""
    peer_hellos: dict[base.InstanceId, PeerHello] = attrs.field(factory=dict)
    """Latest hellos by instance."""
    advertised_members: frozenset[base.InstanceId] = frozenset()
    """Instances that received hellos listed as members."""
    inbound_snapshot: InboundSnapshot | None = None
    """Snapshot being received; None if there is none."""
    effects: list[_effects.Effect] = attrs.field(factory=list)
    """Effects that the driver has not performed yet."""

    @property
    def own_instance(self) -> base.InstanceId:
        """Instance of this replica."""
        return self.cfg.instance

    @property
    def identity(self) -> str:
        """Instance and store of this replica, as recorded in votes."""
        return format_identity(self.own_instance, self.store)

    @property
    def epoch(self) -> int:
        """Latest epoch seen."""
        return self.hard_state.epoch

    @property
    def members(self) -> _members.Members:
        """Members in force, committed or not."""
        return self.log.members

    @property
    def is_voter(self) -> bool:
        """Whether this replica, with its present store, is a voter."""
        return self.members.is_voter(self.own_instance, self.store)


def format_identity(instance: base.InstanceId, store: str) -> str:
    """Returns the identity of a candidate, as recorded in votes."""
    return f"{instance}/{store}"


def parse_identity(identity: str) -> tuple[base.InstanceId, str]:
    """Returns the instance and the store of an identity."""
    instance, _, store = identity.rpartition("/")
    return base.InstanceId(instance), store


def update_hard_state(state: State, hard_state: _disk.HardState) -> None:
    """Updates epoch, vote or cluster; synced before any response leaves."""
    if hard_state != state.hard_state:
        state.hard_state = hard_state
        state.effects.append(_effects.SaveHardState(hard_state))


def make_header(
    state: State, target: str, epoch: int | None = None
) -> _messages.Header:
    """Returns the header of a message to a store."""
    return _messages.Header(
        cluster=state.hard_state.cluster,
        store=state.store,
        target=target,
        epoch=state.epoch if epoch is None else epoch,
    )


def send(
    state: State,
    peer: base.InstanceId,
    message: _messages.Message,
    before_sync: bool = False,
) -> None:
    """Queues a message for the driver to send."""
    state.effects.append(_effects.Send(peer, message, before_sync))


def record_event(state: State, kind: str, detail: str = "") -> None:
    """Queues an event for the driver to record."""
    state.effects.append(_effects.RecordEvent(kind, detail))


def reset_election_timer(state: State, now: float) -> None:
    """Restarts the election timer with a random timeout."""
    cfg = state.cfg
    shortest_s, longest_s = cfg.election_min_s, cfg.election_max_s
    if now < state.quick_elections_until:
        shortest_s, longest_s = QUICK_ELECTION_MIN_S, QUICK_ELECTION_MAX_S
    wait = state.rng.uniform(shortest_s, longest_s)
    state.election_due_at = now + wait


def transition(state: State, event: str) -> None:
    """Changes the role according to the chart.

    Raises:
        ChartError: The current role does not accept the event.
    """
    state.role = Role(state.chart.send(event))


def become_follower(
    state: State, epoch: int, leader: base.InstanceId | None, now: float
) -> None:
    """Becomes a follower in an epoch, ending any candidacy or leadership."""
    if state.role is Role.LEADER:
        state.effects.append(_effects.FailPendingProposals())
        record_event(state, "leader.stepped_down", f"next_epoch={epoch}")
        reset_election_timer(state, now)
    if epoch > state.epoch:
        hard_state = attrs.evolve(state.hard_state, epoch=epoch, voted_for="")
        update_hard_state(state, hard_state)
    transition(state, "follow")
    state.leadership = None
    state.votes = set()
    state.leader = leader


def require_leadership(state: State) -> Leadership:
    """Returns the leadership state of a replica that must be leader."""
    if state.leadership is None:
        raise _errors.ConsensusDefectError(
            "The replica is not leader, so it has no leadership state."
        )
    return state.leadership


def make_log_image(state: State) -> _disk.LogImage:
    """Returns the complete content for a new log file."""
    base_entry = state.log.base
    entries = state.log.entries_from(base_entry.index + 1)
    return _disk.LogImage(state.hard_state, base_entry, entries)
