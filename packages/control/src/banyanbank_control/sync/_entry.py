"""Entry side of the sync protocol."""

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _authenticator
from banyanbank_control.sync import _freshness
from banyanbank_control.sync import _known
from banyanbank_control.sync import _messages
from banyanbank_control.sync import _outbox
from banyanbank_control.sync import _view

ISOLATION_GRACE_S = 1.0
"""Time past the freshness deadline for which the leader's endpoints are used.

An isolated entry does not learn of a leave that another instance received;
after this time it uses only endpoints that announce themselves to it.
"""


@attrs.frozen
class SyncUpdate:
    """What a reply changed at an entry."""

    is_current: bool
    """Whether the configuration is now at least at the reply's revision."""
    config_changed: bool
    """Whether the revision has increased."""
    withdrawn: frozenset[base.KeyId]
    """Keys whose open streams and queued work must end."""


class EntrySync:
    """Builds polls to the leader and holds the state from its replies.

    Attributes:
        member: This instance, as sent with every poll.
        view: Configuration held.
        freshness: Freshness deadline of that configuration.
        authenticator: Checks callers against the view and its freshness.
        members: Known instances.
        endpoints: Known endpoints.

    Args:
        member: This instance.
    """

    def __init__(self, member: _messages.Member) -> None:
        self.member = member
        self.view = _view.ConfigView()
        self.freshness = _freshness.FreshnessDeadline()
        self.authenticator = _authenticator.Authenticator(self.freshness)
        self.members = _known.KnownMembers()
        self.endpoints = _known.KnownEndpoints()
        self._soft_version = _messages.SoftVersion()
        self._outbox = _outbox.Outbox(self.endpoints.heard)
        self._poll_number = 0

    def mark_leaving(self) -> None:
        """Marks this instance as shutting down, from the next poll on."""
        self.member = attrs.evolve(self.member, leaving=True)

    def request(self, now: float, in_flight: int = 0) -> _messages.SyncRequest:
        """Builds the next poll, which must be sent immediately.

        Args:
            now: Monotonic time in seconds; freshness counts from it.
            in_flight: Number of requests in flight at this entry.
        """
        self.endpoints.expire(now)
        self.members.expire(now)
        if not self._may_use_leader_state(now):
            # State from before a long isolation is stale: ask for all of it.
            self._soft_version = _messages.SoftVersion()
        self._poll_number += 1
        self.freshness.record_sent(self._poll_number, now)
        return _messages.SyncRequest(
            number=self._poll_number,
            member=self.member,
            revision=self.view.revision,
            soft=self._soft_version,
            heard=self._outbox.collect(self._poll_number, now),
            in_flight=in_flight,
        )

    def apply_reply(self, reply: _messages.SyncReply, now: float) -> SyncUpdate:
        """Applies a reply.

        Args:
            reply: Reply of a leader; late, duplicate, reordered and
                misdirected replies do no harm.
            now: Monotonic time in seconds.
        """
        identity = (self.member.instance, self.member.incarnation)
        if (reply.instance, reply.incarnation) != identity:
            return SyncUpdate(False, False, frozenset())
        update = self.view.apply_reply(reply)
        changed = update.view.revision > self.view.revision
        self.view = update.view
        self.authenticator.view = update.view
        if update.is_current:
            self.freshness.record_answer(reply.number)
        self._apply_soft_state(reply, now)
        return SyncUpdate(update.is_current, changed, update.withdrawn)

    def _apply_soft_state(self, reply: _messages.SyncReply, now: float) -> None:
        held = self._soft_version
        if reply.soft.epoch < held.epoch:
            return
        if reply.soft.epoch > held.epoch and not reply.soft_whole:
            return
        if reply.soft_whole:
            self._outbox.reset(reply.number)
        self._outbox.confirm(reply.number)
        is_new = reply.soft.sequence > held.sequence
        if is_new or reply.soft.epoch > held.epoch:
            # After an isolation, a complete listing replaces the state held.
            keep_missing = held.epoch > 0
            self.members.apply(reply, now, keep_missing)
            self.endpoints.apply(reply, now, keep_missing)
            self._soft_version = reply.soft

    def serving(self, now: float) -> tuple[_messages.Announcement, ...]:
        """Returns the endpoints to which new work may be sent."""
        return tuple(
            announcement
            for announcement in self.endpoints.all(
                self._may_use_leader_state(now)
            )
            if announcement.phase is _messages.Phase.SERVING
            and not self.endpoints.is_draining(announcement.endpoint)
        )

    def _may_use_leader_state(self, now: float) -> bool:
        return now < self.freshness.deadline + ISOLATION_GRACE_S
