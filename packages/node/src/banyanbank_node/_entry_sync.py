"""Keeps an entry up to date with the store that leads."""

import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
from returns import result
from twisted.internet import defer
from twisted.internet import task

from banyanbank_node import _event_log
from banyanbank_node import _messages
from banyanbank_node import _ports
from banyanbank_node import _store_client
from banyanbank_node import _sync_parts

HOLD_S = 0.5
"""Seconds that the leader may hold a poll when there is nothing new."""

ANSWER_S = 0.3
"""Seconds beyond it that the answer may take."""

EMPTY_WAIT_S = 0.1
"""Seconds between polls that failed."""


class EntrySync:
    """What an entry believes, and how it learns of changes.

    Attributes:
        table: Routes in force; None before the first document is known.
        directory: Endpoints that are believed to run.
        heard_at: When a leader answered last, on the steady clock.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        client: _store_client.StoreClient,
        wire: _ports.Wire,
        name: str,
        true_time: gateway.TrueTime,
        usage: gateway.UsageMeter,
        events: _event_log.EventLog,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._client = client
        self._wire = wire
        self._name = name
        self._true_time = true_time
        self._usage = usage
        self._events = events
        self._is_running = False
        self._directory_of = ""
        self._directory_revision = 0
        self._believed: set[base.EndpointId] = set()
        self._polling: defer.Deferred[None] | None = None
        self.table: gateway.RouteTable | None = None
        self.directory = gateway.Directory()
        self.heard_at: float | None = None
        self.on_document: typing.Callable[[gateway.Document], None] = _ignore

    def start(self) -> None:
        """Begins to poll."""
        self._is_running = True
        self._polling = defer.ensureDeferred(self._poll_forever())
        self._polling.addErrback(self._failed)

    def stop(self) -> None:
        """Ends polling."""
        self._is_running = False
        if self._polling is not None:
            self._polling.cancel()

    async def _poll_forever(self) -> None:
        while self._is_running:
            if not await self.poll_once():
                await task.deferLater(self._reactor, EMPTY_WAIT_S)

    async def poll_once(self) -> bool:
        """Asks the leader once; False when none answered."""
        number = 0 if self.table is None else self.table.document.number
        req = _messages.SyncRequest(
            entry=self._name,
            document_number=number,
            directory_of=self._directory_of,
            directory_revision=self._directory_revision,
            usage=self._usage.tell(self._true_time.now()),
        )
        limit_s = HOLD_S + ANSWER_S
        answered = await self._client.call(
            _messages.SYNC, req, self._clock.now() + 3 * limit_s, limit_s
        )
        if isinstance(answered, result.Failure):
            self._events.write("dep.leader_lost", why=answered.failure().detail)
            self.directory.hold(self._clock.now())
            return False
        self._take(answered.unwrap())
        return True

    def _take(self, answer: _messages.SyncAnswer) -> None:
        now = self._clock.now()
        if answer.directory_of != self._directory_of:
            # A new leader may have heard of few endpoints so far.
            self.directory.hold(now)
        self.heard_at = now
        self._true_time.follow(answer.true_time)
        self._client.know_stores(answer.stores)
        if answer.document is not None:
            self._take_document(answer.document)
        if answer.directory is not None:
            self._take_directory(answer, answer.directory, now)
        self.directory.refresh(
            self._believed, keep_others=not answer.is_settled, now=now
        )
        self.directory.expire(now)
        self._directory_of = answer.directory_of
        self._directory_revision = answer.directory_revision

    def _take_directory(
        self, answer: _messages.SyncAnswer, encoded: bytes, now: float
    ) -> None:
        part: _messages.DirectoryPart = _messages.CODEC.decode(encoded)
        for life in part.ended:
            self.directory.end_life(life.endpoint, life.born_ms, now)
        for said in part.announcements:
            self.directory.announce(said, now)
        self._believed = {said.endpoint for said in part.announcements}
        self._events.write(
            "endpoints.changed",
            source=answer.directory_of,
            revision=answer.directory_revision,
            known=len(self.directory),
        )

    def _take_document(self, part: bytes) -> None:
        try:
            document = self._wire.read_document(
                _sync_parts.unpack_document(part)
            )
        except (ValueError, gateway.InvalidDocumentError) as exc:
            self._events.write("config.unreadable", why=str(exc))
            return
        if self.table is not None:
            held = self.table.document.number
            if document.number <= held:
                return
        self.table = gateway.RouteTable(document)
        self._events.write(
            "config.in_force",
            number=document.number,
            routes=len(document.routes),
        )
        self.on_document(document)

    def _failed(self, failure: typing.Any) -> None:
        if failure.check(defer.CancelledError):
            return
        self._events.write("process.poll_failed", why=failure.getTraceback())
        if self._is_running:
            self._reactor.callLater(EMPTY_WAIT_S, self.start)


def _ignore(document: gateway.Document) -> None:
    """Takes no note of a document."""
