"""Log node: connects a replica to disk, network, clock and state machine."""

from collections.abc import Iterator
import contextlib
import enum
import random

import banyanbank_base as base
from returns import result
from twisted.internet import defer

from banyanbank_consensus import _applier
from banyanbank_consensus import _charts
from banyanbank_consensus import _config
from banyanbank_consensus import _disk
from banyanbank_consensus import _errors
from banyanbank_consensus import _lease
from banyanbank_consensus import _members
from banyanbank_consensus import _membership
from banyanbank_consensus import _messages
from banyanbank_consensus import _output
from banyanbank_consensus import _ports
from banyanbank_consensus import _proposals
from banyanbank_consensus import _replica
from banyanbank_consensus import _state
from banyanbank_consensus import _status
from banyanbank_consensus import _turn


class Phase(enum.Enum):
    """Lifecycle phase of a node; the states of `charts/node.yaml`."""

    NEW = "new"
    RUNNING = "running"
    STOPPED = "stopped"
    FAILED = "failed"


class LogNode:
    """Node of the replicated log.

    Args:
        cfg: Settings.
        disk: Durable storage; closed by the node.
        machine: State machine that committed commands are applied to.
        transport: Sends frames to other instances.
        clock: Source of time.
        rng: Source of random numbers.
        recorder: Sink of timeline events.
        schedule: Schedules the flush that ends a turn; None for the Twisted
            reactor.
    """

    def __init__(
        self,
        cfg: _config.NodeConfig,
        disk: _disk.Disk,
        machine: _ports.StateMachine,
        transport: _ports.PeerTransport,
        clock: base.Clock,
        rng: random.Random,
        recorder: base.Recorder,
        schedule: _ports.Scheduler | None = None,
    ) -> None:
        self._cfg = cfg
        self._disk = disk
        self._machine = machine
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._recorder = recorder
        self._schedule = schedule or _ports.schedule_on_reactor
        self._pending = _proposals.PendingOperations()
        self._runner: _turn.TurnRunner | None = None
        self._chart = _charts.make_chart_runner("node")
        self._phase = Phase.NEW
        self._is_flush_scheduled = False
        self._is_flushing = False
        self.failure: Exception | None = None
        """Error that stopped the node permanently; None if there was none."""

    @property
    def leader(self) -> base.InstanceId | None:
        """Best known leader; None if unknown."""
        return (
            None if self._runner is None else self._runner.replica.state.leader
        )

    @property
    def epoch(self) -> int:
        """Latest epoch seen; the fencing token of a leader."""
        return 0 if self._runner is None else self._runner.replica.state.epoch

    @property
    def is_leader(self) -> bool:
        """Whether this node considers itself leader."""
        runner = self._active_runner
        return runner is not None and runner.is_leading

    def start(self) -> None:
        """Recovers from the disk and starts to participate.

        Raises:
            StorageError: The data folder cannot be used.
            ChartError: The node was already started.
        """
        self._change_phase("start")
        try:
            stored = self._disk.load(f"{self._rng.getrandbits(64):016x}")
        except _errors.StorageError as exc:
            self._fail(exc)
            raise
        self._runner = _turn.TurnRunner(
            replica=_replica.Replica(
                self._cfg, stored, self._rng, self._clock.now()
            ),
            output=_output.OutputQueue(self._disk, self._transport),
            applier=_applier.Applier(self._machine, self._disk, stored),
            pending=self._pending,
            clock=self._clock,
            recorder=self._recorder,
        )
        last_index = self._runner.replica.state.log.last_index
        self._recorder.record(
            "log.started", epoch=self.epoch, detail=f"last_index={last_index}"
        )
        self.tick()

    def stop(self) -> None:
        """Stops participating; pending operations fail."""
        if self._phase is Phase.RUNNING:
            self._shut_down("stop")
            self._pending.fire_deferreds()

    def tick(self) -> None:
        """Processes timeouts; call about every 20 ms."""
        runner = self._active_runner
        if runner is None:
            return
        with self._fail_on_exception():
            now = self._clock.now()
            runner.replica.tick(now)
            timeout_error = runner.make_error(
                _errors.ProposeErrorKind.TIMED_OUT, True
            )
            self._pending.expire(now, timeout_error)
        self.flush()

    def handle_message(self, sender: base.InstanceId, data: bytes) -> None:
        """Processes a received frame, or drops it if it cannot be decoded."""
        runner = self._active_runner
        if runner is None:
            return
        try:
            message = _messages.MESSAGE_CODEC.decode(data)
        except base.CodecError as exc:
            self._recorder.record("log.bad_frame", detail=f"{sender}: {exc}")
            return
        with self._fail_on_exception():
            runner.replica.receive(sender, message, self._clock.now())
        self._schedule_flush()

    def propose(self, payload: bytes) -> "defer.Deferred[_proposals.Reply]":
        """Proposes a command.

        Args:
            payload: The command, at most `MAX_COMMAND_BYTES` long.

        Returns:
            Fires with the reply of the state machine once the command is
            committed and applied, or with the error.

        Raises:
            ValueError: The payload is too long.
        """
        if len(payload) > _config.MAX_COMMAND_BYTES:
            raise ValueError(
                f"A command of {len(payload)} bytes exceeds the maximum of "
                f"{_config.MAX_COMMAND_BYTES} bytes; split it."
            )
        return self._submit(_proposals.Proposal(payload, self._get_deadline()))

    def add_voter(
        self, instance: base.InstanceId
    ) -> "defer.Deferred[_proposals.Reply]":
        """Adds an instance as a learner that becomes a voter once caught up.

        The reply confirms that the learner was added; `status()` shows when
        it has become a voter.
        """
        return self._add_member(instance, _members.MemberRole.JOINING)

    def add_learner(
        self, instance: base.InstanceId
    ) -> "defer.Deferred[_proposals.Reply]":
        """Adds an instance that receives the log but counts in no quorum."""
        return self._add_member(instance, _members.MemberRole.LEARNER)

    def remove_voter(
        self, instance: base.InstanceId
    ) -> "defer.Deferred[_proposals.Reply]":
        """Removes a voter or a learner."""
        return self._change_members(
            lambda state: _membership.plan_removal(state, instance)
        )

    def confirm_leadership(
        self,
    ) -> "defer.Deferred[_proposals.Confirmation]":
        """Confirms with a quorum that this node still leads.

        Returns:
            Fires with success once a quorum has answered a round that was
            sent after the call, which proves that the applied state was
            current at that time.
        """
        refusal = self._get_refusal(0)
        if refusal is not None:
            return defer.succeed(result.Failure(refusal))
        waiting = _proposals.PendingConfirmation(
            self._clock.now(), self._get_deadline()
        )
        self._pending.waiting.append(waiting)
        self._schedule_flush()
        return waiting.deferred

    def lease_held(self) -> bool:
        """Whether this node holds the lease and may do external writes.

        Call immediately before each external write: every call reads the
        clock, so a process that was suspended finds its lease expired.
        """
        runner = self._active_runner
        if runner is None or not runner.is_leading:
            return False
        state = runner.replica.state
        if runner.applier.index < _state.require_leadership(state).noop_index:
            return False
        now = self._clock.now()
        return now < _lease.get_lease_deadline(state, now)

    def status(self) -> _status.NodeStatus:
        """Returns the node's current view of itself and the log."""
        runner = self._runner
        return _status.make_status(
            self._cfg.instance,
            None if runner is None else runner.replica.state,
            self._phase.value,
            0 if runner is None else runner.applier.index,
            self._clock.now(),
        )

    def flush(self) -> None:
        """Runs a turn at once; normally the scheduler runs it."""
        runner = self._active_runner
        if runner is None or self._is_flushing:
            return
        self._is_flushing = True
        self._is_flush_scheduled = False
        try:
            with self._fail_on_exception():
                runner.run()
                if runner.has_slices_left:
                    self._schedule_flush()
        except _errors.StorageError:
            # `_fail` has recorded the failure, and `status` reports it.
            pass
        finally:
            self._is_flushing = False
            self._pending.fire_deferreds()

    @property
    def _active_runner(self) -> _turn.TurnRunner | None:
        return self._runner if self._phase is Phase.RUNNING else None

    def _get_deadline(self) -> float:
        return self._clock.now() + self._cfg.propose_timeout_s

    def _add_member(
        self, instance: base.InstanceId, role: _members.MemberRole
    ) -> "defer.Deferred[_proposals.Reply]":
        return self._change_members(
            lambda state: _membership.plan_addition(
                state, instance, role, self._clock.now()
            )
        )

    def _change_members(
        self, plan: _proposals.MembersPlanner
    ) -> "defer.Deferred[_proposals.Reply]":
        return self._submit(
            _proposals.Proposal(b"", self._get_deadline(), plan_members=plan)
        )

    def _submit(
        self, proposal: _proposals.Proposal
    ) -> "defer.Deferred[_proposals.Reply]":
        refusal = self._get_refusal(len(proposal.payload))
        if refusal is not None:
            return defer.succeed(result.Failure(refusal))
        self._pending.enqueue(proposal)
        self._schedule_flush()
        return proposal.deferred

    def _get_refusal(self, size: int) -> _errors.ProposeError | None:
        """Returns why a payload of this size cannot be proposed now."""
        runner = self._active_runner
        if runner is None:
            kind = _errors.ProposeErrorKind.STOPPED
        elif not runner.is_leading:
            kind = _errors.ProposeErrorKind.NOT_LEADER
        elif self._pending.pending_bytes + size > self._cfg.max_pending_bytes:
            kind = _errors.ProposeErrorKind.OVERLOADED
        else:
            return None
        return _errors.ProposeError(kind, self.leader, maybe_committed=False)

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._schedule(self.flush)

    @contextlib.contextmanager
    def _fail_on_exception(self) -> Iterator[None]:
        """Fails the node permanently before an exception propagates.

        The state of a replica or state machine that raised midway is
        unknown, so it must neither respond nor hold a lease.
        """
        try:
            yield
        except Exception as exc:
            self._fail(exc)
            raise

    def _fail(self, exc: Exception) -> None:
        """Fails permanently: the content of the disk is no longer known."""
        self.failure = exc
        self._recorder.record("log.failed", epoch=self.epoch, detail=str(exc))
        self._shut_down("fail")
        if not self._is_flushing:
            self._pending.fire_deferreds()

    def _shut_down(self, event: str) -> None:
        if self._runner is not None:
            self._runner.fail_pending(_errors.ProposeErrorKind.STOPPED)
        self._change_phase(event)
        self._disk.close()

    def _change_phase(self, event: str) -> None:
        self._phase = Phase(self._chart.send(event))
