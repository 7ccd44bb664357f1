"""An entry's end of the sync exchange."""

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _authenticator
from banyanbank_control.sync import _gate
from banyanbank_control.sync import _known
from banyanbank_control.sync import _messages
from banyanbank_control.sync import _outbox
from banyanbank_control.sync import _view

ISOLATED_S = 1.0
"""Time past freshness for which the leader's endpoints are used, seconds.

A leave that another instance heard reaches an isolated one no more; after
this time it uses only endpoints that it hears itself.
"""


@attrs.frozen
class SyncUpdate:
    """What a reply changed at the entry."""

    taken: bool
    """Whether the configuration is now as new as the reply's."""
    config_changed: bool
    """Whether the revision has risen."""
    withdrawn: frozenset[base.KeyId]
    """Keys whose open streams and queued work must end."""


class EntrySync:
    """Polls the leader and holds what it answers.

    Attributes:
        view: Configuration held.
        gate: Its freshness.
        authenticator: Checks callers against both.
        members: Instances known.
        endpoints: Endpoints known.

    Args:
        member: This instance.
    """

    def __init__(self, member: _messages.Member) -> None:
        self.member = member
        self.view = _view.ConfigView()
        self.gate = _gate.FreshnessGate()
        self.authenticator = _authenticator.Authenticator(self.gate)
        self.members = _known.KnownMembers()
        self.endpoints = _known.KnownEndpoints()
        self._soft = _messages.SoftVersion()
        self._outbox = _outbox.Outbox(self.endpoints.heard)
        self._number = 0

    def leave(self) -> None:
        """Says from the next poll on that this instance shuts down."""
        self.member = attrs.evolve(self.member, leaving=True)

    def request(self, now: float, in_flight: int = 0) -> _messages.SyncRequest:
        """Returns the next poll, to be sent at once.

        Args:
            now: Monotonic time in seconds.
            in_flight: Requests that run here.
        """
        self.endpoints.expire(now)
        self.members.expire(now)
        if not self._trusts_leader(now):
            # What was told before a long isolation says nothing any more.
            self._soft = _messages.SoftVersion()
        self._number += 1
        self.gate.note_sent(self._number, now)
        return _messages.SyncRequest(
            number=self._number,
            member=self.member,
            revision=self.view.revision,
            soft=self._soft,
            heard=self._outbox.collect(self._number, now),
            in_flight=in_flight,
        )

    def take(self, reply: _messages.SyncReply, now: float) -> SyncUpdate:
        """Takes in an answer.

        Args:
            reply: The answer; late, doubled and crossed ones do no harm.
            now: Monotonic time in seconds.
        """
        mine = (self.member.instance, self.member.incarnation)
        if (reply.instance, reply.incarnation) != mine:
            return SyncUpdate(False, False, frozenset())
        update = self.view.updated(reply)
        changed = update.view.revision > self.view.revision
        self.view = update.view
        self.authenticator.view = update.view
        if update.taken:
            self.gate.note_answered(reply.number)
        self._take_soft(reply, now)
        return SyncUpdate(update.taken, changed, update.withdrawn)

    def _take_soft(self, reply: _messages.SyncReply, now: float) -> None:
        held = self._soft
        if reply.soft.epoch < held.epoch:
            return
        if reply.soft.epoch > held.epoch and not reply.soft_whole:
            return
        if reply.soft_whole:
            self._outbox.reset(reply.number)
        self._outbox.confirm(reply.number)
        is_new = reply.soft.sequence > held.sequence
        if is_new or reply.soft.epoch > held.epoch:
            # After an isolation a list replaces what was known before it.
            keep_missing = held.epoch > 0
            self.members.apply(reply, now, keep_missing)
            self.endpoints.apply(reply, now, keep_missing)
            self._soft = reply.soft

    def serving(self, now: float) -> tuple[_messages.Announcement, ...]:
        """Returns the endpoints that may get new work."""
        return tuple(
            announcement
            for announcement in self.endpoints.all(self._trusts_leader(now))
            if announcement.phase is _messages.Phase.SERVING
            and not self.endpoints.is_draining(announcement.endpoint)
        )

    def _trusts_leader(self, now: float) -> bool:
        return now < self.gate.deadline + ISOLATED_S
