"""One event loop turn: append, write, sync, send, apply."""

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_consensus import _applier
from banyanbank_consensus import _effects
from banyanbank_consensus import _errors
from banyanbank_consensus import _lease
from banyanbank_consensus import _membership
from banyanbank_consensus import _output
from banyanbank_consensus import _proposals
from banyanbank_consensus import _replica
from banyanbank_consensus import _replication
from banyanbank_consensus import _state


@attrs.define(eq=False)
class TurnRunner:
    """Runs the turns of a started node.

    All changes since the previous turn are written together and synced once,
    before any response that depends on them is sent.
    """

    replica: _replica.Replica
    """Makes the protocol decisions."""
    output: _output.OutputQueue
    """Performs writes and sends."""
    applier: _applier.Applier
    """Applies committed entries."""
    pending: _proposals.PendingOperations
    """Pending proposals and confirmations."""
    clock: base.Clock
    """Source of time."""
    recorder: base.Recorder
    """Sink of timeline events."""

    def run(self) -> None:
        """Runs one turn.

        Raises:
            StorageError: The node must fail permanently.
        """
        self.applier.restore_slice(self._slice_bytes)
        self._append_queued()
        self._start_confirmation_round()
        while True:
            for effect in self.replica.take_effects():
                self._perform(effect)
            last_index = self.replica.state.log.last_index
            if self.output.sync_and_send():
                self.replica.on_synced(last_index, self.clock.now())
            self._apply_committed()
            if not self.replica.state.effects:
                break
        self.pending.confirm(self._get_confirmed_at())
        now = self.clock.now()
        if self.applier.is_snapshot_due(self.replica.state, now):
            self.applier.start_snapshot(self.replica.state, now)
        self._run_snapshot_slice()

    def make_error(
        self,
        kind: _errors.ProposeErrorKind,
        maybe_committed: bool,
        detail: str = "",
    ) -> _errors.ProposeError:
        """Returns an error that names the best known leader."""
        leader = self.replica.state.leader
        return _errors.ProposeError(kind, leader, maybe_committed, detail)

    def fail_pending(self, kind: _errors.ProposeErrorKind) -> None:
        """Fails all pending operations."""
        self.pending.fail_all(
            queued=self.make_error(kind, False),
            appended=self.make_error(kind, True),
        )

    @property
    def is_leading(self) -> bool:
        """Whether the replica considers itself leader."""
        return self.replica.state.role is _state.Role.LEADER

    @property
    def has_slices_left(self) -> bool:
        """Whether a turn is due without any event."""
        return self.applier.has_slices_left

    @property
    def _slice_bytes(self) -> int:
        return self.replica.state.cfg.slice_bytes

    def _append_queued(self) -> None:
        queued = self.pending.take_queued()
        for proposal in queued:
            if not self.is_leading:
                kind = _errors.ProposeErrorKind.NOT_LEADER
                failure = self.make_error(kind, False)
                self.pending.complete(proposal, result.Failure(failure))
            elif proposal.plan_members is None:
                entry = self.replica.append(proposal.payload)
                self.pending.track_entry(proposal, entry)
            else:
                self._append_members(proposal, proposal.plan_members)
        if queued and self.is_leading:
            self.replica.replicate(self.clock.now())

    def _append_members(
        self,
        proposal: _proposals.Proposal,
        plan: _proposals.MembersPlanner,
    ) -> None:
        state = self.replica.state
        members = _membership.get_change_refusal(state) or plan(state)
        if isinstance(members, str):
            kind = _errors.ProposeErrorKind.REFUSED
            failure = self.make_error(kind, False, members)
            self.pending.complete(proposal, result.Failure(failure))
            return
        entry = _membership.append_members(state, members, self.clock.now())
        self.pending.track_entry(proposal, entry)

    def _start_confirmation_round(self) -> None:
        if not self.pending.waiting or not self.is_leading:
            return
        state = self.replica.state
        latest_asked_at = max(w.asked_at for w in self.pending.waiting)
        if latest_asked_at > _state.require_leadership(state).round_sent_at:
            _replication.start_heartbeat_round(state, self.clock.now())

    def _get_confirmed_at(self) -> float:
        state = self.replica.state
        if not _lease.may_serve_reads(state) or self.applier.is_restoring:
            return _state.DISTANT_PAST
        return _lease.get_confirmed_at(state, self.clock.now())

    def _perform(self, effect: _effects.Effect) -> None:
        match effect:
            case _effects.SaveHardState():
                self.output.save_hard_state(effect)
            case _effects.TruncateLog():
                self.output.truncate(effect)
            case _effects.AppendLog():
                self.output.append(effect)
            case _effects.Send():
                self.output.send(effect)
            case _effects.SendChunk():
                self.output.send_chunk(effect)
            case _:
                self._perform_local(effect)

    def _perform_local(self, effect: _effects.Effect) -> None:
        match effect:
            case _effects.WriteSnapshot():
                self.applier.write_snapshot(effect)
            case _effects.InstallSnapshot():
                self.applier.install_snapshot(effect, self._slice_bytes)
            case _effects.FailPendingProposals():
                self.fail_pending(_errors.ProposeErrorKind.LOST_LEADERSHIP)
            case _effects.RecordEvent():
                self.recorder.record(
                    effect.kind,
                    epoch=self.replica.state.epoch,
                    detail=effect.detail,
                )

    def _run_snapshot_slice(self) -> None:
        began_at = self.clock.now()
        taken = self.applier.run_snapshot_slice(self.replica, began_at)
        if taken is None:
            return
        now = self.clock.now()
        self.recorder.record(
            "snapshot.taken",
            epoch=self.replica.state.epoch,
            detail=f"index={taken.index} bytes={taken.size} "
            f"elapsed_ms={(now - taken.started_at) * 1000:.0f} "
            f"last_slice_ms={(now - began_at) * 1000:.0f}",
        )

    def _apply_committed(self) -> None:
        lost_error = self.make_error(
            _errors.ProposeErrorKind.LOST_LEADERSHIP, False
        )
        for applied in self.applier.apply(self.replica.state):
            self.pending.applied(applied.entry, applied.reply, lost_error)
