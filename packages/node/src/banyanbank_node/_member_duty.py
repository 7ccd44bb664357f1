"""Adds stores to the log's members and removes them, on the leader only."""

import collections.abc

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_jobs as jobs
from returns import result

from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _leadership
from banyanbank_node import _ledger_replica
from banyanbank_node import _membership_changes
from banyanbank_node import _messages
from banyanbank_node import _store_calls
from banyanbank_node import _vote_handover

LIVE_TIMEOUT_S = 2.5
"""Time since its last heartbeat for which a store is considered alive."""

FIRST_HEARTBEAT_S = 1.6
"""Time in which a new leader hears of each running store, as a rule."""

GONE_TIMEOUT_S = 3.0
"""Silence after which a member is considered to have ended."""

ENDED_TIMEOUT_S = 1.0
"""The same for a voter whose address refuses connections while another store is
ready to vote. Its process has ended, while a frozen one accepts connections, or
a cut refuses them; then it is not worth a copy of the log."""


@attrs.define
class _Heartbeat:
    node: str
    received_at: float


class MemberDuty:
    """Adds stores that join and removes those that are gone or retired.

    Implements `consensus.Duty`.

    Args:
        clock: Monotonic clock for heartbeat timeouts.
        stored: Replicated ledger.
        calls: Registers the handlers for calls of stores and operators.
        voters_wanted: Target number of voters; odd.
        events: Event log.
        refuses_connections: Whether nothing listens at a store's address.
    """

    def __init__(
        self,
        clock: base.Clock,
        stored: _ledger_replica.LedgerReplica,
        calls: _store_calls.StoreCalls,
        voters_wanted: int,
        events: _event_log.EventLog,
        refuses_connections: collections.abc.Callable[
            [base.InstanceId], bool
        ] = lambda _: False,
    ) -> None:
        self._voters_wanted = voters_wanted
        self._refuses_connections = refuses_connections
        self._leaving = _vote_handover.LeavingStores()
        self._clock = clock
        self._stored = stored
        self._calls = calls
        self._events = events
        self._heartbeats: dict[base.InstanceId, _Heartbeat] = {}
        self._led_since: float | None = None
        self._is_changing = False
        calls.serve(_messages.JOIN, self._handle_join)
        calls.serve(_messages.LEAVE, self._handle_leave)
        calls.serve(_messages.RETIRE, self._handle_retire)
        calls.serve(_messages.RETIRED, self._handle_retirement_status)

    def tick(self) -> None:
        """Starts the next membership change unless one is in progress."""
        now = self._clock.now()
        if self._led_since is None:
            self._led_since = now
        self._calls.led_since = self._led_since
        status = self._stored.node.status()
        if self._is_changing or not status.members_committed:
            return
        step = _membership_changes.next_change(self._view(status, now))
        if step is not None:
            self._is_changing = True
            _background.run(
                self._apply_change(step), "membership change", self._events
            )

    def stop(self) -> None:
        """Discards the recorded heartbeats; another store leads."""
        self._led_since = None
        self._calls.led_since = None
        self._heartbeats.clear()
        self._leaving.clear()

    def _view(
        self, status: consensus.NodeStatus, now: float
    ) -> _membership_changes.MembershipView:
        silences = {one.instance: one for one in status.silences}
        live = {name for name in self._heartbeats if self._is_live(name, now)}
        live.add(status.instance)
        live.update(
            one.instance
            for one in status.silences
            if one.has_responded and one.since + LIVE_TIMEOUT_S > now
        )
        learners = [member.instance for member in status.learners]
        has_successor = len(status.voters) > self._voters_wanted or any(
            silences[name].has_caught_up
            for name in learners
            if name in silences
        )
        voters = sorted(
            (m.instance for m in status.voters),
            key=lambda name: silences[name].since if name in silences else now,
            reverse=True,
        )
        return _membership_changes.MembershipView(
            voters=tuple(voters),
            joining=_select_learners(status, consensus.MemberRole.JOINING),
            standby=_select_learners(status, consensus.MemberRole.LEARNER),
            live=frozenset(live),
            gone=frozenset(
                one.instance
                for one in status.silences
                if self._is_gone(
                    one, has_successor and one.instance in voters, now
                )
            ),
            leaving=self._leaving.names,
            retired=frozenset(self._stored.ledger.retired),
            wanted=self._voters_wanted,
        )

    def _is_live(self, instance: base.InstanceId, now: float) -> bool:
        heard = self._heartbeats.get(instance)
        return heard is not None and heard.received_at + LIVE_TIMEOUT_S > now

    def _is_gone(
        self, silence: consensus.MemberSilence, is_replaceable: bool, now: float
    ) -> bool:
        """Whether a member is considered to have ended.

        Args:
            silence: Silence of the member.
            is_replaceable: Whether it votes and another store is ready to.
            now: Current time.
        """
        timeout_s = GONE_TIMEOUT_S
        if is_replaceable and self._refuses_connections(silence.instance):
            timeout_s = ENDED_TIMEOUT_S
        return silence.since + timeout_s < now

    async def _apply_change(
        self, step: _membership_changes.MemberChange
    ) -> None:
        node = self._stored.node
        kinds = _membership_changes.ChangeKind
        methods = {
            kinds.ADD_VOTER: node.add_voter,
            kinds.ADD_STANDBY: node.add_learner,
            kinds.REMOVE: node.remove_voter,
        }
        try:
            changed = await methods[step.kind](step.instance)
        finally:
            self._is_changing = False
        self._events.write(
            "members.change",
            store=step.instance,
            change=step.kind.value,
            outcome="done"
            if isinstance(changed, result.Success)
            else str(changed.failure()),
        )

    async def _handle_join(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        req = _messages.CODEC.decode(data)
        now = self._clock.now()
        self._heartbeats[sender] = _Heartbeat(req.node, now)
        self._leaving.note_heartbeat(sender, now)
        return _messages.Accepted()

    async def _handle_leave(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del data
        now = self._clock.now()
        self._leaving.note_request(sender, now)
        status = self._stored.node.status()
        if all(voter.instance != sender for voter in status.voters):
            return _messages.VoteHandover(is_over=status.members_committed)
        view = self._view(status, now)
        refusal = _membership_changes.find_handover_refusal(view, sender)
        if not self._has_led_for(FIRST_HEARTBEAT_S):
            # A store that has not been heard yet may be the successor.
            refusal = ""
        return _messages.VoteHandover(is_over=False, refusal=refusal)

    def _find_instance(self, node: str) -> base.InstanceId | None:
        """Returns the store of a machine; None if there is none.

        Raises:
            NotLeaderError: Its heartbeats may not have arrived yet.
        """
        for instance, heard in self._heartbeats.items():
            if heard.node == node:
                return instance
        self._require_all_heard()
        return None

    def _has_led_for(self, seconds: float) -> bool:
        return (
            self._led_since is not None
            and self._clock.now() >= self._led_since + seconds
        )

    def _require_all_heard(self) -> None:
        """Raises NotLeaderError unless each live store has been heard."""
        if not self._has_led_for(LIVE_TIMEOUT_S):
            raise _leadership.NotLeaderError

    async def _handle_retire(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        req = _messages.CODEC.decode(data)
        instance = self._find_instance(req.node)
        if instance is None:
            return _messages.NotThere()
        if instance in self._stored.ledger.retired:
            return _messages.Accepted()
        now = self._clock.now()
        remaining = [
            name
            for name in self._heartbeats
            if name != instance
            and name not in self._stored.ledger.retired
            and self._is_live(name, now)
        ]
        if len(remaining) < self._voters_wanted:
            self._require_all_heard()
            return _messages.TooFew()
        await self._calls.commit(jobs.RetireInstance(instance))
        return _messages.Accepted()

    async def _handle_retirement_status(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        req = _messages.CODEC.decode(data)
        instance = self._find_instance(req.node)
        if instance is None:
            return _messages.NotThere()
        status = self._stored.node.status()
        members = {m.instance for m in (*status.voters, *status.learners)}
        is_over = (
            instance in self._stored.ledger.retired
            and instance not in members
            and status.members_committed
        )
        return _messages.Retiring(is_over)


def _select_learners(
    status: consensus.NodeStatus, role: consensus.MemberRole
) -> tuple[base.InstanceId, ...]:
    return tuple(m.instance for m in status.learners if m.role is role)
