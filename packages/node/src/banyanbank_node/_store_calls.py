"""Handles the calls of entries, other stores and operators to a store."""

import collections.abc
import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_mesh as mesh
from returns import result

from banyanbank_node import _change_notifier
from banyanbank_node import _cold_endpoints
from banyanbank_node import _endpoint_limits
from banyanbank_node import _entry_polls
from banyanbank_node import _event_log
from banyanbank_node import _figure_source
from banyanbank_node import _leadership
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _permit_messages
from banyanbank_node import _result_reads
from banyanbank_node import _store_client

DIRECTORY_SETTLE_S = 3.0
"""Time after which a new leader knows every running endpoint."""

CallHandler = collections.abc.Callable[
    [base.InstanceId, bytes],
    collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
]


class UncertainOutcomeError(Exception):
    """A command may be committed, but that cannot be confirmed."""


class StoreCalls:
    """Dispatches calls to handlers.

    Only the leader answers with a payload, but for reads of results and the
    question for the failure domain, which every store answers.

    Args:
        reactor: Schedules timeouts of waiting calls.
        clock: Monotonic clock for deadlines.
        transport: Mesh of this instance.
        client: Delivers the calls that this instance makes to itself.
        stored: Replicated ledger.
        directory: Endpoints that are considered alive.
        usage: Adds up the usage counts of entries.
        true_time: Estimated Unix time, sent to entries.
        events: Event log.
        domain: Failure domain of this instance.
        limits: Rate limits of endpoints, sent to entries.
        suspects: Requests that end their endpoints, sent to entries.
        cold: Decides which endpoints are taken for cold.
        figures: Figures of shared endpoints, sent to entries; None for none.

    Attributes:
        changes: Notifies of a new document, directory revision or evacuation.
        results: Notifies of new item results.
        led_since: When this store began to lead, on the monotonic clock; None
            while it does not lead.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        transport: mesh.Mesh,
        client: _store_client.StoreClient,
        stored: _ledger_replica.LedgerReplica,
        directory: gateway.Directory,
        usage: gateway.UsageTotals,
        true_time: gateway.SyncedClock,
        events: _event_log.EventLog,
        domain: base.FailureDomain,
        limits: _endpoint_limits.EndpointLimits,
        suspects: gateway.CrashSuspects,
        cold: _cold_endpoints.ColdEndpoints,
        figures: _figure_source.FigureSource | None = None,
    ) -> None:
        self._cold = cold
        self._domain = domain
        self._suspects = suspects
        self._limits = limits
        self._clock = clock
        self._mesh = transport
        self._client = client
        self._stored = stored
        self._directory = directory
        self._true_time = true_time
        self._events = events
        self.changes = _change_notifier.ChangeNotifier(reactor)
        self.results = _change_notifier.ChangeNotifier(reactor)
        self.led_since: float | None = None
        self._polls = _entry_polls.EntryPolls(
            reactor,
            clock,
            transport.instance,
            client,
            stored,
            directory,
            usage,
            true_time,
            limits,
            suspects,
            cold,
            figures,
            self.changes,
            lambda: self.knows_endpoints,
        )
        reads = _result_reads.ResultReads(
            reactor, clock, client, stored, self.results
        )
        transport.on_message(_messages.HEARD, self._handle_broadcast)
        transport.on_message(_permit_messages.LIMITS, self._handle_limits)
        for method, handler in (
            (_messages.SYNC, self._polls.answer_poll),
            (_messages.AWAIT_ENTRIES, self._polls.await_entries),
            (_messages.ANNOUNCE, self._handle_announce),
            (_messages.WITHDRAW, self._handle_withdraw),
            (_messages.PROPOSE, self._handle_propose),
            (_messages.READ_DOCUMENT, self._handle_read_document),
            (_messages.REPORT_CONDEMNED, self._handle_condemned),
            (_messages.READ_LOG_POSITION, reads.read_log_position),
            (_messages.READ_BODY, reads.read_body),
        ):
            self.serve(method, handler)
        self.serve(
            _messages.RELAY_SYNC, self._polls.relay_poll, at_followers=True
        )
        self.serve(
            _messages.READ_RESULTS, reads.read_results, at_followers=True
        )
        self.serve(
            _messages.READ_DOMAIN, self._handle_read_domain, at_followers=True
        )

    def serve(
        self, method: str, handler: CallHandler, at_followers: bool = False
    ) -> None:
        """Registers a handler for calls from the mesh and this instance.

        Args:
            method: Name of the call.
            handler: Serves the call.
            at_followers: Whether stores that do not lead serve it, too.
        """

        async def answer(sender: base.InstanceId, data: bytes) -> bytes:
            payload: bytes | None = None
            if at_followers or self._stored.node.is_leader:
                try:
                    message = await handler(sender, data)
                    payload = (
                        message
                        if isinstance(message, bytes)
                        else _messages.CODEC.encode(message)
                    )
                except _leadership.NotLeaderError:
                    payload = None
                except UncertainOutcomeError as exc:
                    raise mesh.HandlerRefusalError(
                        base.Outcome.MAY_HAVE_RUN, str(exc)
                    ) from exc
            leader = self._stored.node.leader or ""
            return _messages.CODEC.encode(
                _messages.StoreAnswer(str(leader), payload)
            )

        self._mesh.on_call(method, answer)

        async def answer_locally(data: bytes) -> bytes:
            return await answer(self._mesh.instance, data)

        self._client.set_local_handler(method, answer_locally)

    def broadcast_to_stores(self, message: typing.Any) -> None:
        """Sends an endpoint's message to the other stores, best effort."""
        self.send_to_stores(_messages.HEARD, message)

    def send_to_stores(self, channel: str, message: typing.Any) -> None:
        """Sends a message to the other voters, best effort."""
        data = _messages.CODEC.encode(message)
        for member in self._stored.node.status().voters:
            if member.instance != self._mesh.instance:
                self._client.register_address(member.instance)
                self._mesh.send(member.instance, channel, data)

    def apply_endpoint_message(self, message: typing.Any) -> None:
        """Applies an announcement or a withdrawal to the directory."""
        now = self._clock.now()
        old_revision = self._directory.revision
        if isinstance(message, gateway.Announcement):
            self._directory.apply(self._cold.judge(message), now)
        elif isinstance(message, _messages.Withdrawal):
            self._apply_withdrawal(message, now)
        if self._directory.revision != old_revision:
            self._events.write(
                "endpoint.heard",
                endpoint=message.endpoint,
                said=str(getattr(message, "state", "withdrawn")),
                revision=self._directory.revision,
            )
            self.changes.wake()

    def _apply_withdrawal(
        self, withdrawal: _messages.Withdrawal, now: float
    ) -> None:
        known = self._directory.get(withdrawal.endpoint)
        self._directory.withdraw(
            withdrawal.endpoint,
            now,
            round(1000 * self._true_time.now()),
            withdrawal.born_ms,
            withdrawal.sequence,
        )
        if known is None:
            effect = "unknown"
        elif self._directory.get(withdrawal.endpoint) is not None:
            effect = "former incarnation"
        elif self._directory.is_end_in_doubt(withdrawal.endpoint):
            effect = "in doubt"
        else:
            effect = "ended"
        self._events.write(
            "endpoint.withdrawn",
            endpoint=withdrawal.endpoint,
            born_ms=withdrawal.born_ms,
            sequence=withdrawal.sequence,
            known_born_ms=None if known is None else known.born_ms,
            known_sequence=None if known is None else known.sequence,
            effect=effect,
        )

    def note_document(self, number: int) -> None:
        """Records that this store applied a document, and answers polls."""
        self._polls.note_document(number)

    def note_evacuations(self) -> None:
        """Records that this store applied an order, and answers polls."""
        self._polls.note_evacuations()

    @property
    def knows_endpoints(self) -> bool:
        """Whether this store has led long enough to know all endpoints."""
        return (
            self.led_since is not None
            and self.led_since + DIRECTORY_SETTLE_S < self._clock.now()
        )

    async def commit(self, command: jobs.Command) -> jobs.Reply:
        """Commits a command.

        Raises:
            NotLeaderError: The command was not appended to the log.
            UncertainOutcomeError: The command may be committed or not.
        """
        replied = await self._stored.propose(command)
        if isinstance(replied, result.Success):
            return replied.unwrap()
        error = replied.failure()
        if error.may_be_committed:
            raise UncertainOutcomeError(error.detail)
        raise _leadership.NotLeaderError

    def _handle_broadcast(self, sender: base.InstanceId, data: bytes) -> None:
        del sender
        self.apply_endpoint_message(_messages.CODEC.decode(data))

    def _handle_limits(self, sender: base.InstanceId, data: bytes) -> None:
        del sender
        part: _permit_messages.LimitsPart = _messages.CODEC.decode(data)
        for observation in part.observations:
            self._limits.apply(observation)

    async def _handle_condemned(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        part: _messages.CondemnedPart = _messages.CODEC.decode(data)
        now = self._true_time.now()
        is_new = [self._suspects.apply(one, now) for one in part.requests]
        if any(is_new):
            self.changes.wake()
        return _messages.Accepted()

    async def _handle_announce(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        self.apply_endpoint_message(_messages.CODEC.decode(data))
        await _leadership.ensure_current(self._stored)
        return _messages.Accepted()

    _handle_withdraw = _handle_announce

    async def _handle_propose(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        reply = await self.commit(jobs.COMMAND_CODEC.decode(data))
        return jobs.REPLY_CODEC.encode(reply)

    async def _handle_read_document(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender, data
        await _leadership.confirm(self._stored)
        ledger = self._stored.ledger
        return _messages.DocumentAnswer(ledger.document_number, ledger.document)

    async def _handle_read_domain(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender, data
        return _messages.StoreDomain(self._domain)
