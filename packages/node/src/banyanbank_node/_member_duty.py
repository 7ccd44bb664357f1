"""Keeps the members of the log in step with the stores that run."""

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_jobs as jobs
from returns import result

from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _messages
from banyanbank_node import _store_calls
from banyanbank_node import _stored

LIVE_S = 2.5
"""Seconds for which a store that said it runs is believed to."""

GONE_S = 4.0
"""Seconds of silence after which a spare store takes the place of another."""

LEAST_VOTERS = 3
"""Voters that a removal must leave: the fewest that bear a loss."""


@attrs.define
class _Heard:
    node: str
    at: float


class MemberDuty:
    """Adds stores that join and removes those that are gone or retired.

    Implements `consensus.Duty`.

    Args:
        clock: Clock of silence.
        stored: The log.
        calls: Serves the calls of stores and operators.
        events: Log of decisions.
    """

    def __init__(
        self,
        clock: base.Clock,
        stored: _stored.Stored,
        calls: _store_calls.StoreCalls,
        events: _event_log.EventLog,
    ) -> None:
        self._clock = clock
        self._stored = stored
        self._calls = calls
        self._events = events
        self._heard: dict[base.InstanceId, _Heard] = {}
        self._led_since: float | None = None
        self._is_changing = False
        calls.serve(_messages.JOIN, self._join)
        calls.serve(_messages.RETIRE, self._retire)
        calls.serve(_messages.RETIRED, self._retired)

    def tick(self) -> None:
        """Makes at most one change of members."""
        now = self._clock.now()
        if self._led_since is None:
            self._led_since = now
        self._calls.led_since = self._led_since
        if self._is_changing:
            return
        status = self._stored.node.status()
        if not status.members_committed:
            return
        leaving = self._leaving(status, now)
        joining = self._joining(status, now)
        if joining is not None:
            self._change(joining, is_added=True)
        elif leaving is not None:
            self._change(leaving, is_added=False)

    def stop(self) -> None:
        """Forgets who was heard; another store leads."""
        self._led_since = None
        self._calls.led_since = None
        self._heard.clear()

    def _joining(
        self, status: consensus.NodeStatus, now: float
    ) -> base.InstanceId | None:
        members = {m.instance for m in (*status.voters, *status.learners)}
        for instance, heard in sorted(self._heard.items()):
            if (
                instance not in members
                and instance not in self._stored.ledger.retired
                and heard.at + LIVE_S > now
            ):
                return instance
        return None

    def _leaving(
        self, status: consensus.NodeStatus, now: float
    ) -> base.InstanceId | None:
        """Returns a voter to remove, provided that enough others are live."""
        live = [
            m.instance
            for m in status.voters
            if m.instance == status.instance or self._is_live(m.instance, now)
        ]
        for member in status.voters:
            others = [name for name in live if name != member.instance]
            if len(others) < LEAST_VOTERS:
                continue
            if member.instance in self._stored.ledger.retired:
                return member.instance
            if member.instance not in live and self._is_gone(
                member.instance, now
            ):
                return member.instance
        return None

    def _is_live(self, instance: base.InstanceId, now: float) -> bool:
        heard = self._heard.get(instance)
        return heard is not None and heard.at + LIVE_S > now

    def _is_gone(self, instance: base.InstanceId, now: float) -> bool:
        since = self._led_since or now
        heard = self._heard.get(instance)
        if heard is not None:
            since = max(since, heard.at)
        return since + GONE_S < now

    def _change(self, instance: base.InstanceId, is_added: bool) -> None:
        self._is_changing = True
        _background.run(
            self._change_once(instance, is_added),
            "change of members",
            self._events,
        )

    async def _change_once(
        self, instance: base.InstanceId, is_added: bool
    ) -> None:
        try:
            node = self._stored.node
            changing = (
                node.add_voter(instance)
                if is_added
                else node.remove_voter(instance)
            )
            changed = await changing
        finally:
            self._is_changing = False
        self._events.write(
            "members.change",
            store=instance,
            change="added" if is_added else "removed",
            outcome="done"
            if isinstance(changed, result.Success)
            else str(changed.failure()),
        )

    async def _join(self, sender: base.InstanceId, data: bytes) -> object:
        req = _messages.CODEC.decode(data)
        self._heard[sender] = _Heard(req.node, self._clock.now())
        return _messages.Accepted()

    def _find(self, node: str) -> base.InstanceId | None:
        for instance, heard in self._heard.items():
            if heard.node == node:
                return instance
        return None

    async def _retire(self, sender: base.InstanceId, data: bytes) -> object:
        del sender
        req = _messages.CODEC.decode(data)
        instance = self._find(req.node)
        if instance is None:
            return _messages.NotThere()
        if instance in self._stored.ledger.retired:
            return _messages.Accepted()
        now = self._clock.now()
        status = self._stored.node.status()
        remaining = [
            member.instance
            for member in status.voters
            if member.instance != instance
            and member.instance not in self._stored.ledger.retired
            and self._is_live(member.instance, now)
        ]
        if len(remaining) < LEAST_VOTERS:
            return _messages.TooFew()
        await self._calls.commit(jobs.RetireInstance(instance))
        return _messages.Accepted()

    async def _retired(self, sender: base.InstanceId, data: bytes) -> object:
        del sender
        req = _messages.CODEC.decode(data)
        instance = self._find(req.node)
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
