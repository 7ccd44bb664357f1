"""The replica: events and the time go in, effects come out."""

import random

import banyanbank_base as base

from banyanbank_consensus import _config
from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _election
from banyanbank_consensus import _formation
from banyanbank_consensus import _log
from banyanbank_consensus import _membership
from banyanbank_consensus import _messages
from banyanbank_consensus import _replication
from banyanbank_consensus import _snapshot
from banyanbank_consensus import _state


class Replica:
    """Pure decisions of one node: it knows no disk, network or clock.

    Args:
        cfg: Settings.
        stored: What the disk held.
        rng: Source of random numbers.
        now: Present time.
    """

    def __init__(
        self,
        cfg: _config.NodeConfig,
        stored: _disk.Stored,
        rng: random.Random,
        now: float,
    ) -> None:
        image = stored.image
        self.state = _state.State(
            cfg=cfg,
            rng=rng,
            store=stored.store,
            hard=image.hard,
            log=_log.Log(image.base, image.entries),
            snapshot=stored.snapshot,
            started_at=now,
            # Answers to an earlier life must not count for this one.
            hello_round=rng.getrandbits(48) + 1,
        )
        if stored.snapshot is not None:
            self.state.commit = stored.snapshot.index
        # A leader heard before the restart may still hold a lease.
        self.state.promise_until = promise_at_start(cfg, now)
        _state.reset_election(self.state, now)

    def tick(self, now: float) -> None:
        """Lets time pass."""
        _formation.tick(self.state, now)
        _replication.tick(self.state, now)
        _election.tick(self.state, now)
        _membership.tick(self.state, now)
        _membership.on_commit(self.state, now)

    def receive(
        self, sender: base.InstanceId, msg: _messages.Message, now: float
    ) -> None:
        """Takes in a message."""
        if isinstance(msg, _messages.Hello):
            _formation.on_hello(self.state, sender, msg, now)
            return
        if _formation.admit(self.state, msg.head):
            self._dispatch(sender, msg, now)
            _membership.on_commit(self.state, now)

    def append(self, payload: bytes) -> _log.Entry:
        """Appends a command to the log of a leader; `feed` sends it."""
        return _replication.append_own(
            self.state, _log.EntryKind.COMMAND, payload
        )

    def feed(self, now: float) -> None:
        """Sends what was appended."""
        _replication.feed_all(self.state, now)

    def synced(self, index: int, now: float) -> None:
        """Takes note that the log is synced up to an index."""
        _replication.on_synced(self.state, index)
        _membership.on_commit(self.state, now)

    def compacted(self, meta: _disk.SnapshotMeta, base_index: int) -> None:
        """Takes note of an own snapshot and drops entries before a base."""
        self.state.snapshot = meta
        if base_index > self.state.log.base.index:
            self.state.log.drop_to(base_index)

    def take_effects(self) -> list[_effects.Effect]:
        """Returns what is to be done, and forgets it."""
        effects = self.state.effects
        self.state.effects = []
        return effects

    def _dispatch(
        self, sender: base.InstanceId, msg: _messages.Message, now: float
    ) -> None:
        match msg:
            case _messages.VoteRequest():
                _election.on_vote_request(self.state, sender, msg, now)
            case _messages.VoteResponse():
                _election.on_vote_response(self.state, sender, msg, now)
            case _messages.AppendRequest():
                _replication.on_append_request(self.state, sender, msg, now)
            case _messages.AppendResponse():
                _replication.on_append_response(self.state, sender, msg, now)
            case _messages.SnapshotChunk():
                _snapshot.on_chunk(self.state, sender, msg, now)
            case _messages.SnapshotAck():
                _snapshot.on_ack(self.state, sender, msg, now)


def promise_at_start(cfg: _config.NodeConfig, now: float) -> float:
    """Returns until when a replica that has just started grants no vote."""
    return now + cfg.election_min_s
