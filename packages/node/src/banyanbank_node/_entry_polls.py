"""Answers the polls of entries, and knows which changes they act on."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from returns import result

from banyanbank_node import _change_notifier
from banyanbank_node import _cold_endpoints
from banyanbank_node import _endpoint_limits
from banyanbank_node import _entry_contacts
from banyanbank_node import _entry_sync
from banyanbank_node import _figure_source
from banyanbank_node import _leadership
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _store_client
from banyanbank_node import _sync_part_cache

MIN_RECHECK_S = 0.02
"""Minimum delay between two checks which entries act on a change, unless one
polls."""


@attrs.define
class EntryPolls:
    """Sends entries what has changed, and records what they have."""

    reactor: typing.Any
    """Schedules timeouts of waiting calls."""
    clock: base.Clock
    """Monotonic clock for deadlines."""
    instance: base.InstanceId
    """This instance."""
    client: _store_client.StoreClient
    """Passes polls on to the leader."""
    stored: _ledger_replica.LedgerReplica
    """Replicated ledger."""
    directory: gateway.Directory
    """Endpoints that are considered alive."""
    usage: gateway.UsageTotals
    """Adds up the usage counts of entries."""
    true_time: gateway.SyncedClock
    """Estimated Unix time, sent to entries."""
    limits: _endpoint_limits.EndpointLimits
    """Rate limits of endpoints, sent to entries."""
    suspects: gateway.CrashSuspects
    """Requests that end their endpoints, sent to entries."""
    cold: _cold_endpoints.ColdEndpoints
    """Decides which endpoints are taken for cold."""
    figures: _figure_source.FigureSource | None
    """Figures of shared endpoints, sent to entries; None for none."""
    changes: _change_notifier.ChangeNotifier
    """Notifies of a new document, directory revision or evacuation."""
    knows_endpoints: collections.abc.Callable[[], bool]
    """Whether this store has led long enough to know all endpoints."""
    _encoded_parts: _sync_part_cache.SyncPartCache = attrs.field(
        init=False, factory=_sync_part_cache.SyncPartCache
    )
    _contacts: _entry_contacts.EntryContacts = attrs.field(
        init=False, factory=_entry_contacts.EntryContacts
    )
    _polls: _change_notifier.ChangeNotifier = attrs.field(init=False)

    @_polls.default
    def _make_poll_notifier(self) -> _change_notifier.ChangeNotifier:
        return _change_notifier.ChangeNotifier(self.reactor)

    def note_document(self, number: int) -> None:
        """Records that this store applied a document, and answers polls."""
        self._contacts.record_document(number, self.clock.now())
        self.changes.wake()
        self._polls.wake()

    def note_evacuations(self) -> None:
        """Records that this store applied an order, and answers polls."""
        self._contacts.record_evacuations(
            self.stored.ledger.evacuations.revision, self.clock.now()
        )
        self.changes.wake()
        self._polls.wake()

    async def answer_poll(self, sender: base.InstanceId, data: bytes) -> object:
        """Answers a poll once something has changed, or its time is over.

        Raises:
            NotLeaderError: Another store may lead.
        """
        del sender
        req: _messages.SyncRequest = _messages.CODEC.decode(data)
        self.usage.replace_counts(req.entry, req.usage)
        if self.figures is not None:
            self.figures.add(req.entry, req.samples)
        self._contacts.begin_epoch(self._directory_id, self.clock.now())
        self._contacts.record_poll(
            req.entry, req.directory_of, req.answer_issued_at
        )
        self._polls.wake()
        deadline = self.clock.now() + _entry_sync.LONG_POLL_TIMEOUT_S
        while not self._has_changes(req):
            if not await self.changes.wait(deadline):
                break
        await _leadership.ensure_current(self.stored)
        return self._make_sync_answer(req)

    async def relay_poll(self, sender: base.InstanceId, data: bytes) -> object:
        """Passes a poll on to the leader.

        If none answers, the answer has this store's document if it is newer.
        """
        del sender
        req: _messages.SyncRequest = _messages.CODEC.decode(data)
        timeout_s = (
            _entry_sync.LONG_POLL_TIMEOUT_S + _entry_sync.RESPONSE_MARGIN_S
        )
        answered = await self.client.call_raw(
            _messages.SYNC,
            data,
            self.clock.now() + timeout_s,
            timeout_s,
            is_relayed=True,
        )
        if isinstance(answered, result.Success):
            return _messages.RelayedSync(answered.unwrap(), None)
        return _messages.RelayedSync(None, self._find_newer_document(req))

    def _find_newer_document(self, req: _messages.SyncRequest) -> bytes | None:
        ledger = self.stored.ledger
        if ledger.document_number <= req.document_number:
            return None
        return self._encoded_parts.document(
            ledger.document_number, ledger.document
        )

    async def await_entries(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        """Answers which entries in contact do not act on a change yet.

        Raises:
            NotLeaderError: Another store may lead.
        """
        del sender
        req: _messages.AwaitEntries = _messages.CODEC.decode(data)
        deadline = self.clock.now() + req.wait_s
        while True:
            now = self.clock.now()
            status = self._find_entries_status(req, now)
            if status.is_settled or now >= deadline:
                break
            next_loss = self._contacts.find_next_loss(
                req.document_number, now, req.evacuation_revision
            )
            await self._polls.wait(
                min(deadline, max(next_loss, now + MIN_RECHECK_S))
            )
        await _leadership.ensure_current(self.stored)
        return status

    def _find_entries_status(
        self, req: _messages.AwaitEntries, now: float
    ) -> _messages.EntriesStatus:
        ledger = self.stored.ledger
        if (
            ledger.document_number < req.document_number
            or ledger.evacuations.revision < req.evacuation_revision
        ):
            return _messages.EntriesStatus((), is_counting=True)
        # Entries without any document serve nothing, but those that have one
        # do not wait for the first evacuation.
        if not (req.evacuation_revision or ledger.has_replaced_document):
            return _messages.EntriesStatus((), is_counting=False)
        self._contacts.begin_epoch(self._directory_id, now)
        return _messages.EntriesStatus(
            tuple(
                self._contacts.find_outdated(
                    req.document_number, now, req.evacuation_revision
                )
            ),
            is_counting=not self._contacts.is_complete(now),
        )

    def _has_changes(self, req: _messages.SyncRequest) -> bool:
        self.cold.apply_readmissions()
        return (
            req.document_number < self.stored.ledger.document_number
            # It is higher if the cluster was formed anew.
            or req.evacuation_revision
            != self.stored.ledger.evacuations.revision
            or req.directory_of != self._directory_id
            or req.directory_revision != self.directory.revision
            or req.limits_revision != self.limits.known.revision
            or req.condemned_revision != self.suspects.revision
        )

    @property
    def _directory_id(self) -> str:
        return f"{self.instance}/{self.stored.node.epoch}"

    def _make_sync_answer(
        self, req: _messages.SyncRequest
    ) -> _messages.SyncAnswer:
        ledger = self.stored.ledger
        needs_document = req.document_number < ledger.document_number
        has_directory = (
            req.directory_of == self._directory_id
            and req.directory_revision == self.directory.revision
        )
        has_limits = not self.limits.known.all() or (
            req.directory_of == self._directory_id
            and req.limits_revision == self.limits.known.revision
        )
        has_condemned = (
            req.directory_of == self._directory_id
            and req.condemned_revision == self.suspects.revision
        )
        revision = 0 if self.figures is None else self.figures.revision
        status = self.stored.node.status()
        now = self.clock.now()
        self._contacts.record_answer(req.entry, now)
        return _messages.SyncAnswer(
            document_number=ledger.document_number,
            document=self._encoded_parts.document(
                ledger.document_number, ledger.document
            )
            if needs_document
            else None,
            directory_of=self._directory_id,
            directory_revision=self.directory.revision,
            directory=None
            if has_directory
            else self._encoded_parts.directory(
                self._directory_id, self.directory
            ),
            is_settled=self.knows_endpoints(),
            stores=tuple(member.instance for member in status.voters),
            true_time=self.true_time.now(),
            limits_revision=self.limits.known.revision,
            limits=None
            if has_limits
            else self._encoded_parts.limits(
                self._directory_id, self.limits.known
            ),
            condemned_revision=self.suspects.revision,
            condemned=()
            if has_condemned
            else self.suspects.condemned(self.true_time.now()),
            issued_at=now,
            evacuations=ledger.evacuations,
            cluster=status.cluster
            if ledger.evacuations.revision or req.evacuation_revision
            else "",
            figures_revision=revision,
            figures=self._encode_figures(req, revision),
        )

    def _encode_figures(
        self, req: _messages.SyncRequest, revision: int
    ) -> bytes | None:
        """Returns the figures of endpoints if the entry lacks them."""
        is_same_source = req.directory_of == self._directory_id
        if self.figures is None or not revision:
            return None
        if is_same_source and req.figures_revision == revision:
            return None
        return self.figures.encode(is_same_source)
