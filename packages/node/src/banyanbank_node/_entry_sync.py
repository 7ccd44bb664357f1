"""Synchronizes an entry with the store that leads, by long polling."""

import math
import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
from returns import result
from twisted.internet import defer
from twisted.internet import task

from banyanbank_node import _background
from banyanbank_node import _change_notifier
from banyanbank_node import _endpoint_limits
from banyanbank_node import _entry_directory
from banyanbank_node import _entry_evacuations
from banyanbank_node import _event_log
from banyanbank_node import _messages
from banyanbank_node import _near_stores
from banyanbank_node import _permit_messages
from banyanbank_node import _poll_paths
from banyanbank_node import _ports
from banyanbank_node import _shared_endpoints
from banyanbank_node import _store_client
from banyanbank_node import _sync_part_cache

LONG_POLL_TIMEOUT_S = 0.5
"""Time that the leader may hold a poll while nothing has changed."""

RESPONSE_MARGIN_S = 0.3
"""Time that the answer may take in addition to the poll."""

MAX_CONTACT_AGE_S = LONG_POLL_TIMEOUT_S + RESPONSE_MARGIN_S
"""Time since the last answer of a leader after which a poll has failed, so that
a change may have been missed."""

RELAY_MARGIN_S = 0.2
"""Time that a store which relays a poll may take in addition."""

POLL_RETRY_DELAY_S = 0.1
"""Delay before the next poll after a failed one."""


class EntrySync:
    """Polls the leader and holds the routes and endpoints it returned.

    Args:
        reactor: Twisted reactor for timers.
        clock: Monotonic clock of deadlines.
        client: Calls the stores.
        wire: Parses documents.
        name: Name and incarnation of this entry.
        true_time: Unix time, set by the leader's answers.
        usage: Counts that each poll reports.
        events: Event log.
        near_stores: Told of the stores.
        limits: Rate limits, updated by the leader's answers.
        suspects: Condemned requests, updated by the leader's answers.
        paths: Chooses the store through which to poll.
        shared: Shared endpoints; reported and updated with each poll.

    Attributes:
        table: Routes in force; None before the first document arrives.
        last_contact_at: Time of the last answer of a leader, on the monotonic
            clock; None before the first one.
        on_document: Called with each document that comes into force.
        answers: Notifies of each answer of a leader, once it is applied.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        client: _store_client.StoreClient,
        wire: _ports.WireProtocol,
        name: str,
        true_time: gateway.SyncedClock,
        usage: gateway.UsageMeter,
        events: _event_log.EventLog,
        near_stores: _near_stores.NearStores,
        limits: _endpoint_limits.EndpointLimits,
        suspects: gateway.CrashSuspects,
        paths: _poll_paths.PollPaths,
        shared: _shared_endpoints.SharedEndpoints | None = None,
    ) -> None:
        self._shared = shared or _shared_endpoints.make_unshared(clock)
        self._figures_revision = 0
        self._suspects = suspects
        self._condemned_revision = 0
        self._near_stores = near_stores
        self._limits = limits
        self._limits_revision = 0
        self._reactor = reactor
        self._clock = clock
        self._client = client
        self._wire = wire
        self._entry_name = name
        self._true_time = true_time
        self._usage = usage
        self._events = events
        self._paths = paths
        self._answer_issued_at = 0.0
        self._evacuations = _entry_evacuations.EntryEvacuations(events)
        self._has_unreadable_document = False
        self._is_running = False
        self._endpoints = _entry_directory.EntryDirectory(events)
        self._polling: defer.Deferred[None] | None = None
        self.table: gateway.RouteTable | None = None
        self.last_contact_at: float | None = None
        self.answers = _change_notifier.ChangeNotifier(reactor)
        self.on_document: typing.Callable[[gateway.Document], None] = (
            _ignore_document
        )

    def start(self) -> None:
        """Starts polling."""
        self._is_running = True
        self._polling = defer.ensureDeferred(self._poll_forever())
        self._polling.addErrback(self._restart_after_failure)

    def stop(self) -> None:
        """Cancels polling, including a poll in flight."""
        self._is_running = False
        if self._polling is not None:
            self._polling.cancel()

    @property
    def directory(self) -> gateway.Directory:
        """Endpoints that are considered alive."""
        return self._endpoints.directory

    @property
    def evacuations(self) -> gateway.Evacuations:
        """Failure domains to whose endpoints nothing is sent."""
        return self._evacuations.in_force

    @property
    def is_current(self) -> bool:
        """Whether a leader answered the last poll in time."""
        return (
            self.last_contact_at is not None
            and self._clock.now() <= self.last_contact_at + MAX_CONTACT_AGE_S
        )

    @property
    def contact_age_ms(self) -> int | None:
        """Milliseconds since the last answer of a leader; None before it."""
        if self.last_contact_at is None:
            return None
        return round(1000 * self._contact_age_s)

    @property
    def _contact_age_s(self) -> float:
        if self.last_contact_at is None:
            return math.inf
        return self._clock.now() - self.last_contact_at

    async def _poll_forever(self) -> None:
        while self._is_running:
            if not await self._poll_once():
                await task.deferLater(self._reactor, POLL_RETRY_DELAY_S)

    async def _poll_once(self) -> bool:
        """Polls the leader once; returns False if the next poll has to wait."""
        now = self._clock.now()
        leader = self._client.leader
        path = self._paths.choose(self._client.responsive_stores, now)
        req = self._make_request()
        if path.relay is None:
            error = await self._poll_leader(req)
        else:
            self._probe_leader(now)
            error = await self._poll_through(path.relay, req)
        if error is None:
            # A document that cannot be read would be sent again at once.
            return not self._has_unreadable_document
        self._paths.record_failure(
            path, leader, self._clock.now(), error.silent_stores
        )
        self._events.write(
            "dep.leader_lost",
            why=error.detail,
            asked=error.asked,
            relay=path.relay,
            table=req.document_number,
            evacuations=self.evacuations.revision,
            contact_age_ms=self.contact_age_ms,
        )
        self._endpoints.keep_without_contact(
            self._clock.now(),
            self.last_contact_at,
            None if self.table is None else self.table.document,
        )
        # A store of an earlier release cannot read what the next poll leaves
        # out.
        self._limits_revision = 0
        self._condemned_revision = 0
        self._answer_issued_at = 0.0
        self._evacuations.polled_revision = 0
        self._figures_revision = 0
        self._shared.note_lost_contact(self._contact_age_s)
        return False

    def _make_request(self) -> _messages.SyncRequest:
        return _messages.SyncRequest(
            entry=self._entry_name,
            document_number=0
            if self.table is None
            else self.table.document.number,
            directory_of=self._endpoints.source,
            directory_revision=self._endpoints.revision,
            usage=self._usage.report(self._true_time.now()),
            limits_revision=self._limits_revision,
            condemned_revision=self._condemned_revision,
            answer_issued_at=self._answer_issued_at,
            evacuation_revision=self._evacuations.polled_revision,
            figures_revision=self._figures_revision,
            samples=self._shared.take_samples()
            if self._figures_revision
            else (),
        )

    async def _poll_leader(
        self, req: _messages.SyncRequest
    ) -> _store_client.StoreCallError | None:
        sent_at = self._clock.now()
        timeout_s = self._paths.response_timeout_s
        called = await self._client.call(
            _messages.SYNC,
            req,
            sent_at + timeout_s,
            timeout_s,
            first=self._paths.avoided_leader,
        )
        if isinstance(called, result.Failure):
            return called.failure()
        self._apply_answer(_poll_paths.DIRECT, called.unwrap(), sent_at)
        return None

    async def _poll_through(
        self, relay: base.InstanceId, req: _messages.SyncRequest
    ) -> _store_client.StoreCallError | None:
        sent_at = self._clock.now()
        called = await self._client.call_store(
            relay,
            _messages.RELAY_SYNC,
            req,
            sent_at + self._paths.response_timeout_s + RELAY_MARGIN_S,
        )
        if isinstance(called, result.Failure):
            return called.failure()
        relayed: _messages.RelayedSync = called.unwrap()
        if relayed.answer is not None:
            self._apply_answer(
                _poll_paths.PollPath(relay),
                _messages.CODEC.decode(relayed.answer),
                sent_at,
            )
            return None
        # Without a confirmed document first, this one may be too old to act on.
        if (
            relayed.document is not None
            and self.table is not None
            and self._apply_document(
                relayed.document, relay, self.contact_age_ms
            )
        ):
            return None
        return _store_client.StoreCallError(
            False, f"{relay} reached no leader", {relay: "relays nothing"}
        )

    def _probe_leader(self, now: float) -> None:
        leader = self._paths.take_probe(now)
        if leader is not None:
            _background.run(
                self._restore_direct_path(leader), "leader probe", self._events
            )

    async def _restore_direct_path(self, leader: base.InstanceId) -> None:
        # Any store answers this call, and at little cost.
        called = await self._client.call_store(
            leader,
            _messages.READ_DOMAIN,
            _messages.Accepted(),
            self._clock.now() + MAX_CONTACT_AGE_S,
        )
        if isinstance(called, result.Success):
            self._paths.restore_direct()

    def _apply_answer(
        self,
        path: _poll_paths.PollPath,
        answer: _messages.SyncAnswer,
        sent_at: float,
    ) -> None:
        now = self._clock.now()
        contact_age_ms = self.contact_age_ms
        self.last_contact_at = now
        # Before the document, so that an entry that has just started does not
        # serve without them.
        self._evacuations.apply(answer, contact_age_ms)
        # Before the rest, since nothing else in the answer may hold it up.
        if answer.document is not None:
            self._apply_document(
                answer.document, answer.directory_of, contact_age_ms
            )
        self._true_time.set_time(answer.true_time)
        self._learn_stores(path, answer, now - sent_at)
        self._endpoints.apply(answer, now)
        self._apply_limits(answer)
        self._apply_figures(answer)
        if not self._has_unreadable_document:
            self._answer_issued_at = answer.issued_at
        self.answers.wake()

    def _learn_stores(
        self,
        path: _poll_paths.PollPath,
        answer: _messages.SyncAnswer,
        took_s: float,
    ) -> None:
        leader = base.InstanceId(answer.directory_of.partition("/")[0])
        self._paths.record_answer(path, leader, took_s)
        self._client.follow_leader(leader)
        self._client.set_stores(answer.stores)
        _background.run(
            self._near_stores.learn(answer.stores), "domains", self._events
        )

    def _apply_limits(self, answer: _messages.SyncAnswer) -> None:
        """Applies rate limits and condemned requests."""
        if answer.limits is not None:
            part: _permit_messages.LimitsPart = _messages.CODEC.decode(
                answer.limits
            )
            for observation in part.observations:
                self._limits.apply(observation)
        self._limits_revision = answer.limits_revision
        for condemned in answer.condemned:
            self._suspects.apply(condemned, self._true_time.now())
        self._condemned_revision = answer.condemned_revision
        self._limits.forget_ended(self.directory)

    def _apply_figures(self, answer: _messages.SyncAnswer) -> None:
        part: _messages.FiguresPart | None = (
            None
            if answer.figures is None
            else _messages.CODEC.decode(answer.figures)
        )
        self._figures_revision = answer.figures_revision
        self._shared.apply_answer(
            answer.directory_of,
            answer.figures_revision,
            None if part is None else part.endpoints,
            () if part is None else part.latencies,
        )

    def _apply_document(
        self, compressed: bytes, source: str, contact_age_ms: int | None
    ) -> bool:
        """Puts a document in force; returns False if it is not a newer one."""
        try:
            document = self._wire.read_document(
                _sync_part_cache.decompress_document(compressed)
            )
        except (ValueError, gateway.InvalidDocumentError) as exc:
            self._events.write("config.unreadable", why=str(exc))
            self._has_unreadable_document = True
            return False
        self._has_unreadable_document = False
        if self.table is not None:
            held = self.table.document.number
            if document.number <= held:
                return False
        self.table = gateway.RouteTable(document)
        self._events.write(
            "config.in_force",
            number=document.number,
            routes=len(document.routes),
            source=source,
            contact_age_ms=contact_age_ms,
        )
        self.on_document(document)
        return True

    def _restart_after_failure(self, failure: typing.Any) -> None:
        if failure.check(defer.CancelledError):
            return
        self._events.write("process.poll_failed", why=failure.getTraceback())
        if self._is_running:
            self._reactor.callLater(POLL_RETRY_DELAY_S, self.start)


def _ignore_document(document: gateway.Document) -> None:
    """Default of `EntrySync.on_document`."""
