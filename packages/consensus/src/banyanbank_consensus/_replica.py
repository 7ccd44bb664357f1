"""Consensus state machine of a node: turns events into effects."""

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
from banyanbank_consensus import _progress
from banyanbank_consensus import _promise
from banyanbank_consensus import _replication
from banyanbank_consensus import _snapshot
from banyanbank_consensus import _state


class Replica:
    """Consensus decisions of a node, without access to disk, network or clock.

    Args:
        cfg: Settings.
        stored: Content of the store at startup.
        rng: Source of random numbers.
        now: Current time.
    """

    def __init__(
        self,
        cfg: _config.NodeConfig,
        stored: _disk.StoredState,
        rng: random.Random,
        now: float,
    ) -> None:
        image = stored.image
        incarnation = rng.getrandbits(48) + 1
        self.state = _state.State(
            cfg=cfg,
            rng=rng,
            store=stored.store,
            hard_state=image.hard_state,
            log=_log.Log(image.base, image.entries),
            snapshot=stored.snapshot,
            started_at=now,
            incarnation=incarnation,
            # Responses to hellos of an earlier incarnation must not count.
            hello_round=incarnation,
        )
        if stored.snapshot is not None:
            self.state.commit = stored.snapshot.index
        # A leader that this node followed before the restart may still hold a
        # lease.
        self.state.votes_withheld_until = get_initial_vote_withholding_end(
            cfg, now
        )
        _state.reset_election_timer(self.state, now)
        _promise.start(self.state, now)

    def tick(self, now: float) -> None:
        """Runs the time-based actions, such as heartbeats and elections."""
        _progress.skip_own_pause(self.state, now)
        _formation.tick(self.state, now)
        _replication.tick(self.state, now)
        _promise.tick(self.state, now)
        _election.tick(self.state, now)
        _membership.tick(self.state, now)
        _membership.step_down_if_removed(self.state, now)

    def receive(
        self, sender: base.InstanceId, msg: _messages.Message, now: float
    ) -> None:
        """Handles a message."""
        if isinstance(msg, _messages.Hello):
            _formation.on_hello(self.state, sender, msg, now)
            return
        if _formation.accept_header(self.state, msg.head):
            self._dispatch(sender, msg, now)
            _membership.step_down_if_removed(self.state, now)

    def append(self, payload: bytes) -> _log.Entry:
        """Appends a command to the leader's log; `replicate` sends it."""
        return _replication.append_in_epoch(
            self.state, _log.EntryKind.COMMAND, payload
        )

    def replicate(self, now: float) -> None:
        """Sends appended entries to the members."""
        _replication.replicate_to_all(self.state, now)

    def on_synced(self, index: int, now: float) -> None:
        """Records that the log is synced up to an index."""
        _replication.on_synced(self.state, index)
        _membership.step_down_if_removed(self.state, now)

    def on_compacted(self, meta: _disk.SnapshotMeta, base_index: int) -> None:
        """Records an own snapshot and drops the entries up to the new base."""
        self.state.snapshot = meta
        if base_index > self.state.log.base.index:
            self.state.log.drop_through(base_index)

    def take_effects(self) -> list[_effects.Effect]:
        """Returns the pending effects and clears them."""
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
            case _messages.LeadershipQuery():
                _promise.on_query(self.state, sender, msg)
                _promise.campaign_after_answer(self.state, now)
                _election.tick(self.state, now)
            case _messages.LeadershipAnswer():
                _promise.on_answer(self.state, sender, msg, now)
            case _messages.AppendRequest():
                _replication.on_append_request(self.state, sender, msg, now)
            case _messages.AppendResponse():
                _replication.on_append_response(self.state, sender, msg, now)
                _membership.promote_caught_up(self.state, now)
            case _messages.SnapshotChunk():
                _snapshot.on_chunk(self.state, sender, msg, now)
            case _messages.SnapshotAck():
                _snapshot.on_ack(self.state, sender, msg, now)


def get_initial_vote_withholding_end(
    cfg: _config.NodeConfig, now: float
) -> float:
    """Returns the time before which a restarted replica grants no vote."""
    return now + cfg.election_min_s
