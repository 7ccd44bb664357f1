"""State of a replica and the helpers that all of its parts use."""

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

NEVER = float("-inf")
"""A time before every time."""


class Role(enum.Enum):
    """What a replica does in its epoch; the states of `charts/role.yaml`."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ProgressMode(enum.Enum):
    """How a leader feeds one member."""

    PROBE = "probe"
    """One message at a time until a match is found."""
    REPLICATE = "replicate"
    """Entries are sent ahead of their acknowledgement."""
    SNAPSHOT = "snapshot"
    """A snapshot is on its way."""


@attrs.define
class Progress:
    """What a leader knows of one member."""

    store: str
    """Store of the member; another one starts from nothing."""
    next_index: int
    """Next entry to send."""
    match: int = 0
    """Last index known to match and synced at the member."""
    mode: ProgressMode = ProgressMode.PROBE
    """How it is fed."""
    confirmed_at: float = NEVER
    """Leader's clock at the newest round that the member answered."""
    resend_at: float = NEVER
    """When a probe or a chunk without answer is sent again."""
    in_flight: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )
    """Last index and bytes of each message sent ahead."""
    in_flight_bytes: int = 0
    """Sum of those bytes."""
    snapshot_index: int = 0
    """Snapshot that is on its way; 0 when none is."""
    snapshot_offset: int = 0
    """Bytes of it that have arrived."""


@attrs.define
class Leadership:
    """What a replica holds only while it leads."""

    noop_index: int
    """Entry that opened the epoch."""
    elected_at: float
    """When leadership began."""
    earliest_lease_at: float
    """When every lease of an earlier leader has run out, with a margin."""
    round_at: float = NEVER
    """When the newest heartbeat round was sent."""
    round_commit_index: int = 0
    """Commit index at that time."""
    next_round_at: float = NEVER
    """When the next one is due."""
    synced_index: int = 0
    """Last own entry that is synced."""
    progress: dict[base.InstanceId, Progress] = attrs.field(factory=dict)
    """By member, without the leader itself."""


@attrs.frozen
class PeerHello:
    """The newest hello of an instance."""

    store: str
    """Its store."""
    cluster: str
    """Log it belongs to; empty when none."""
    received_at: float
    """When it came."""
    round: int = 0
    """Newest own hello that it answers; 0 when it answers none."""
    empty_rounds: int = 0
    """Answers in a row by which this store belonged to no log."""


@attrs.define
class Inbound:
    """A snapshot that is arriving."""

    leader: base.InstanceId
    """Who sends it."""
    epoch: int
    """Epoch of the leader."""
    meta: _disk.SnapshotMeta
    """Describes it."""
    data: bytearray = attrs.field(factory=bytearray)
    """What arrived so far."""


@attrs.define
class State:
    """State of a replica; changed only by the functions of this package."""

    cfg: _config.NodeConfig
    """Settings."""
    rng: random.Random
    """Source of random election timeouts."""
    store: str
    """Identity of the own store."""
    hard: _disk.HardState
    """Epoch, vote and cluster."""
    log: _log.Log
    """Entries in memory."""
    snapshot: _disk.SnapshotMeta | None
    """The newest own snapshot."""
    started_at: float
    """When the process started."""
    chart: base.ChartRunner = attrs.field(
        factory=lambda: _charts.make_chart_runner("role")
    )
    """Allows or refuses changes of the role."""
    role: Role = Role.FOLLOWER
    """What the replica does now; changed by `move` only."""
    leader: base.InstanceId | None = None
    """Leader of the epoch; None when unknown."""
    commit: int = 0
    """Last index known to be committed."""
    promise_until: float = NEVER
    """Until when no vote is granted, since a leader may hold a lease."""
    election_due_at: float = NEVER
    """When the next campaign starts, unless a leader is heard."""
    hello_round: int = 0
    """Number of the newest own hello."""
    next_hello_at: float = NEVER
    """When the next hello is due."""
    votes: set[base.InstanceId] = attrs.field(factory=set)
    """Who granted the current vote or pre-vote."""
    leadership: Leadership | None = None
    """Set exactly while the role is leader."""
    peer_hellos: dict[base.InstanceId, PeerHello] = attrs.field(factory=dict)
    """Hellos heard."""
    advertised_members: frozenset[base.InstanceId] = frozenset()
    """Instances that hellos named as members."""
    inbound: Inbound | None = None
    """Snapshot that is arriving; None when none is."""
    effects: list[_effects.Effect] = attrs.field(factory=list)
    """What the driver has yet to do."""

    @property
    def own_instance(self) -> base.InstanceId:
        """The own instance."""
        return self.cfg.instance

    @property
    def identity(self) -> str:
        """The own instance and store, as a vote names them."""
        return format_identity(self.own_instance, self.store)

    @property
    def epoch(self) -> int:
        """Newest epoch seen."""
        return self.hard.epoch

    @property
    def members(self) -> _members.Members:
        """Members in force."""
        return self.log.members

    @property
    def is_voter(self) -> bool:
        """Whether this very store is a voter."""
        return self.members.is_voter(self.own_instance, self.store)


def format_identity(instance: base.InstanceId, store: str) -> str:
    """Returns the name under which a store of an instance gets votes."""
    return f"{instance}/{store}"


def update_hard_state(state: State, hard: _disk.HardState) -> None:
    """Changes epoch, vote or cluster, to be synced before any answer."""
    if hard != state.hard:
        state.hard = hard
        state.effects.append(_effects.SaveHardState(hard))


def header(
    state: State, target: str, epoch: int | None = None
) -> _messages.Header:
    """Returns the head of a message to a store."""
    return _messages.Header(
        cluster=state.hard.cluster,
        store=state.store,
        target=target,
        epoch=state.epoch if epoch is None else epoch,
    )


def send(
    state: State,
    peer: base.InstanceId,
    message: _messages.Message,
    early: bool = False,
) -> None:
    """Asks the driver to send a message."""
    state.effects.append(_effects.Send(peer, message, early))


def note(state: State, kind: str, detail: str = "") -> None:
    """Asks the driver to record an event."""
    state.effects.append(_effects.Note(kind, detail))


def reset_election(state: State, now: float) -> None:
    """Draws a new election timeout from now on."""
    cfg = state.cfg
    wait = state.rng.uniform(cfg.election_min_s, cfg.election_max_s)
    state.election_due_at = now + wait


def transition(state: State, event: str) -> None:
    """Changes the role as the chart says.

    Raises:
        ChartError: The present role does not take the event.
    """
    state.role = Role(state.chart.send(event))


def become_follower(
    state: State, epoch: int, leader: base.InstanceId | None, now: float
) -> None:
    """Follows an epoch, and gives up any candidacy or leadership."""
    if state.role is Role.LEADER:
        state.effects.append(_effects.LeadershipLost())
        note(state, "leader.stepped_down", f"next_epoch={epoch}")
        reset_election(state, now)
    if epoch > state.epoch:
        hard = attrs.evolve(state.hard, epoch=epoch, voted_for="")
        update_hard_state(state, hard)
    transition(state, "follow")
    state.leadership = None
    state.votes = set()
    state.leader = leader


def leading(state: State) -> Leadership:
    """Returns the leadership of a replica that is known to lead."""
    if state.leadership is None:
        raise _errors.ConsensusDefectError("This replica does not lead.")
    return state.leadership


def log_image(state: State) -> _disk.LogImage:
    """Returns all that a new log file has to hold now."""
    base_entry = state.log.base
    entries = state.log.entries_from(base_entry.index + 1)
    return _disk.LogImage(state.hard, base_entry, entries)
