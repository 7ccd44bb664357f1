"""Adds stores to the log's members and removes them, on the leader only."""

import enum

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_jobs as jobs
from returns import result

from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _leadership
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _store_calls

LIVE_TIMEOUT_S = 2.5
"""Time since its last heartbeat for which a store is considered alive."""

GONE_TIMEOUT_S = 3.0
"""Time without a heartbeat after which another store replaces a member."""

MAX_STANDBYS = 1
"""Maximum number of non-voting members, kept to replace a voter at once."""


class ChangeKind(enum.Enum):
    """Kind of a membership change."""

    ADD_VOTER = "add voter"
    """Adds a member that votes once it has caught up."""
    ADD_STANDBY = "add standby"
    """Adds a member that receives the log without a vote."""
    REMOVE = "remove"
    """Removes a member."""


@attrs.frozen
class MemberChange:
    """One membership change."""

    kind: ChangeKind
    """Kind of the change."""
    instance: base.InstanceId
    """Store that is added or removed."""


@attrs.frozen
class MembershipView:
    """Members of the log and running stores at one moment."""

    voters: tuple[base.InstanceId, ...]
    """Members that vote."""
    joining: tuple[base.InstanceId, ...]
    """Members that will vote once they have caught up."""
    standby: tuple[base.InstanceId, ...]
    """Members without a vote."""
    live: frozenset[base.InstanceId]
    """Stores with a recent heartbeat."""
    gone: frozenset[base.InstanceId]
    """Members without a heartbeat for `GONE_TIMEOUT_S`."""
    retired: frozenset[base.InstanceId]
    """Stores that an operator removes."""
    wanted: int
    """Target number of voters; odd."""


def next_change(view: MembershipView) -> MemberChange | None:
    """Returns the next membership change, or None.

    The number of voters is kept odd: one more voter would not tolerate more
    failures, and a split into halves would leave neither half a quorum. A
    voter that is gone or retired is removed only after its replacement votes.
    """
    healthy_voters = [
        name
        for name in view.voters
        if name not in view.gone and name not in view.retired
    ]
    for name in view.voters:
        if name not in healthy_voters and len(healthy_voters) >= view.wanted:
            return MemberChange(ChangeKind.REMOVE, name)
    for name in (*view.standby, *view.joining):
        if name in view.gone or name in view.retired:
            return MemberChange(ChangeKind.REMOVE, name)
    members = {*view.voters, *view.joining, *view.standby}
    live_standbys = [name for name in view.standby if name in view.live]
    new_stores = sorted(view.live - members - view.retired)
    if len(healthy_voters) + len(view.joining) < view.wanted and (
        live_standbys or new_stores
    ):
        return MemberChange(
            ChangeKind.ADD_VOTER, (live_standbys or new_stores)[0]
        )
    if len(view.standby) < MAX_STANDBYS and not view.joining and new_stores:
        return MemberChange(ChangeKind.ADD_STANDBY, new_stores[0])
    return None


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
    """

    def __init__(
        self,
        clock: base.Clock,
        stored: _ledger_replica.LedgerReplica,
        calls: _store_calls.StoreCalls,
        voters_wanted: int,
        events: _event_log.EventLog,
    ) -> None:
        self._voters_wanted = voters_wanted
        self._clock = clock
        self._stored = stored
        self._calls = calls
        self._events = events
        self._heartbeats: dict[base.InstanceId, _Heartbeat] = {}
        self._led_since: float | None = None
        self._is_changing = False
        calls.serve(_messages.JOIN, self._handle_join)
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
        step = next_change(self._view(status, now))
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

    def _view(self, status: consensus.NodeStatus, now: float) -> MembershipView:
        live = {name for name in self._heartbeats if self._is_live(name, now)}
        live.add(status.instance)
        members = (*status.voters, *status.learners)
        return MembershipView(
            voters=tuple(m.instance for m in status.voters),
            joining=tuple(
                m.instance
                for m in status.learners
                if m.role is consensus.MemberRole.JOINING
            ),
            standby=tuple(
                m.instance
                for m in status.learners
                if m.role is consensus.MemberRole.LEARNER
            ),
            live=frozenset(live),
            gone=frozenset(
                m.instance
                for m in members
                if m.instance not in live and self._is_gone(m.instance, now)
            ),
            retired=frozenset(self._stored.ledger.retired),
            wanted=self._voters_wanted,
        )

    def _is_live(self, instance: base.InstanceId, now: float) -> bool:
        heard = self._heartbeats.get(instance)
        return heard is not None and heard.received_at + LIVE_TIMEOUT_S > now

    def _is_gone(self, instance: base.InstanceId, now: float) -> bool:
        # Heartbeats before this store began to lead went to another leader.
        since = self._led_since or now
        heard = self._heartbeats.get(instance)
        if heard is not None:
            since = max(since, heard.received_at)
        return since + GONE_TIMEOUT_S < now

    async def _apply_change(self, step: MemberChange) -> None:
        node = self._stored.node
        methods = {
            ChangeKind.ADD_VOTER: node.add_voter,
            ChangeKind.ADD_STANDBY: node.add_learner,
            ChangeKind.REMOVE: node.remove_voter,
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
        self._heartbeats[sender] = _Heartbeat(req.node, self._clock.now())
        return _messages.Accepted()

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

    def _require_all_heard(self) -> None:
        """Raises NotLeaderError unless each live store has been heard."""
        if (
            self._led_since is None
            or self._clock.now() < self._led_since + LIVE_TIMEOUT_S
        ):
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
