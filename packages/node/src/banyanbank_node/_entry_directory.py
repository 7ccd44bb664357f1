"""Directory of endpoints that an entry follows by the answers to its polls."""

import math

import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _event_log
from banyanbank_node import _messages


class EntryDirectory:
    """Endpoints that an entry sends requests to, as the leader knows them.

    Args:
        events: Event log.

    Attributes:
        directory: Endpoints that are considered alive.
        source: Leader and epoch that sent the directory; empty for none.
        revision: Revision of the directory that it sent last; 0 to receive it
            again.
    """

    def __init__(self, events: _event_log.EventLog) -> None:
        self._events = events
        self._leader_endpoints: set[base.EndpointId] = set()
        self._ask_again_at = math.inf
        self.directory = gateway.Directory()
        self.source = ""
        self.revision = 0

    def apply(self, answer: _messages.SyncAnswer, now: float) -> None:
        """Applies the directory of an answer, and renews what it lists.

        Args:
            answer: Answer of a leader to a poll.
            now: Current time.
        """
        if answer.directory_of != self.source:
            # A new leader may have received few announcements so far.
            self.directory.renew_all(now)
        if answer.directory is not None:
            self._apply_part(answer, answer.directory, now)
        self.directory.renew(
            self._leader_endpoints, keep_unlisted=not answer.is_settled, now=now
        )
        self.directory.expire(now)
        self.source = answer.directory_of
        self.revision = answer.directory_revision
        if now >= self._ask_again_at:
            self._ask_again_at = math.inf
            self.revision = 0

    def keep_without_contact(
        self,
        now: float,
        last_contact_at: float | None,
        document: gateway.Document | None,
    ) -> None:
        """Keeps all endpoints after a poll that no leader answered.

        Takes them for warm once the cold states that the entry heard of must
        have ended. Without contact there are no permits, so an endpoint that
        was cold would otherwise stay unused.

        Args:
            now: Current time.
            last_contact_at: Time of the last answer of a leader, if any.
            document: Document in force, if any.
        """
        self.directory.renew_all(now)
        if document is None or last_contact_at is None:
            return
        cold_until = last_contact_at + gateway.find_longest_cold_s(document)
        if now > cold_until and self.directory.forget_cold():
            # The leader sends the directory with its cold states again.
            self.revision = 0

    def _apply_part(
        self, answer: _messages.SyncAnswer, encoded: bytes, now: float
    ) -> None:
        part: _messages.DirectoryPart = _messages.CODEC.decode(encoded)
        for ended in part.ended:
            self.directory.end_incarnation(
                ended.endpoint,
                ended.born_ms,
                now,
                ended.last_sequence,
            )
        for announcement in part.announcements:
            self.directory.apply(announcement, now)
        self._plan_to_ask_again(part, now)
        self._leader_endpoints = {
            announcement.endpoint for announcement in part.announcements
        }
        self._events.write(
            "endpoints.changed",
            source=answer.directory_of,
            revision=answer.directory_revision,
            known=len(self.directory),
        )

    def _plan_to_ask_again(
        self, part: _messages.DirectoryPart, now: float
    ) -> None:
        """Sets when to ask for the directory although nothing has changed.

        A new leader may have missed the announcement by which an endpoint
        became cold. It lists the one before, which the entry ignores as older.
        The next one, of the warm endpoint, is no change at the leader, so the
        entry has to ask for it.
        """
        is_ignored = any(
            known is not None and known.is_cold and not announcement.is_cold
            for announcement in part.announcements
            for known in (self.directory.get(announcement.endpoint),)
        )
        self._ask_again_at = (
            min(self._ask_again_at, now + gateway.COLD_REPORT_LAG_S)
            if is_ignored
            else math.inf
        )
