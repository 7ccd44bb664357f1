"""Replicated state machine: documents, versions, jobs, usage, evacuations."""

import collections.abc
import functools
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_jobs import _commands
from banyanbank_jobs import _records


@attrs.define
class KeptText:
    """Stored part of the text of an incomplete item."""

    first_event: int
    """Id of the first event."""
    pieces: list[str]
    """Data of the events."""
    versions: tuple[int, ...]
    """Weight versions that generated the events."""

    def copy(self) -> "KeptText":
        """Returns a copy that does not grow with this one."""
        return attrs.evolve(self, pieces=list(self.pieces))


@attrs.define
class JobState:
    """A job with its results and the stored parts of its texts."""

    job: _records.Job
    """The job as it was accepted."""
    results: list[_records.ItemResult]
    """Results in the order in which they were committed."""
    is_ended: bool = False
    """Whether its client has ended it."""
    kept: dict[str, KeptText] = attrs.Factory(dict)
    """Stored texts of items without a result, by item id."""
    listed: set[str] = attrs.field(init=False)
    """Ids of the items that have a result."""
    encoded_record: bytes | None = attrs.field(default=None, eq=False)
    """Cached encoding for snapshots; None after a change."""
    captured_record: "_JobRecord | None" = attrs.field(default=None, eq=False)
    """Its copy for a snapshot that is being encoded; None after a change."""

    def __attrs_post_init__(self) -> None:
        self.listed = {result.item for result in self.results}

    @property
    def is_open(self) -> bool:
        """Whether the job still has items to run."""
        return not self.is_ended and len(self.listed) < len(self.job.items)

    def drop_encoding(self) -> None:
        """Forgets what was encoded or captured before a change."""
        self.encoded_record = self.captured_record = None

    def capture(self) -> collections.abc.Callable[[], bytes]:
        """Returns a function that encodes the job as it is now.

        Encodings are cached, since most jobs of a snapshot no longer change.
        """
        if self.encoded_record is not None:
            encoded = self.encoded_record
            return lambda: encoded
        if self.captured_record is None:
            kept = {item: text.copy() for item, text in self.kept.items()}
            self.captured_record = _JobRecord(
                self.job, tuple(self.results), self.is_ended, kept
            )
        return functools.partial(self._encode, self.captured_record)

    def _encode(self, record: "_JobRecord") -> bytes:
        data = _RECORD_CODEC.encode(record)
        if self.captured_record is record:
            self.encoded_record, self.captured_record = data, None
        return data


@attrs.frozen
class _JobRecord:
    job: _records.Job
    results: tuple[_records.ItemResult, ...]
    is_ended: bool
    kept: dict[str, KeptText]


@attrs.frozen
class _Snapshot:
    document_number: int
    document: bytes
    versions: dict[str, int]
    jobs: tuple[bytes, ...]
    windows: dict[int, dict[base.AccountId, int]]
    reported: tuple[int, ...]
    retired: tuple[base.InstanceId, ...]
    evacuations: gateway.Evacuations = attrs.Factory(gateway.Evacuations)


# A snapshot without evacuations can be read by an earlier release.
_SNAPSHOT_CODEC: base.Codec[_Snapshot] = base.Codec(
    _Snapshot, sparse=(_Snapshot,)
)
_RECORD_CODEC: base.Codec[_JobRecord] = base.Codec(_JobRecord)

Observer = collections.abc.Callable[[_commands.Command], None]
"""Called with each command whose reply is `Applied` with `is_new`."""

MAX_USAGE_WINDOWS = 64
"""Number of usage windows that are kept; the oldest are dropped."""


class Ledger:
    """Applies committed commands; deterministic, so that all stores agree.

    Attributes:
        document_number: Number of the document in force; 0 before the first.
        document: The document in force as it was received.
        has_replaced_document: Whether an earlier document may have been in
            force; not part of the state.
        versions: Newest published version of each model.
        jobs: Batch jobs by id.
        windows: Final counts of usage windows.
        reported: Windows whose report the platform accepted.
        retired: Instances to be removed from the log's members, or removed.
        evacuations: Failure domains to whose endpoints nothing is sent.
        on_committed: Called with each command whose reply is `Applied` with
            `is_new`; not part of the state.
    """

    def __init__(self) -> None:
        self.on_committed: Observer = _ignore
        self._clear()

    def apply(self, index: int, payload: bytes) -> bytes:
        """Applies one committed command and returns its encoded reply."""
        del index
        try:
            cmd = _commands.COMMAND_CODEC.decode(payload)
        except base.CodecError:
            return _commands.REPLY_CODEC.encode(_commands.Undecodable())
        reply = self._handlers[type(cmd)](cmd)
        if reply == _commands.Applied(is_new=True):
            self.on_committed(cmd)
        return _commands.REPLY_CODEC.encode(reply)

    def snapshot(self) -> bytes:
        """Returns the encoded state."""
        return b"".join(self.capture())

    def capture(self) -> collections.abc.Iterator[bytes]:
        """Yields the encoded state as it is now, part by part.

        Commands that are applied meanwhile change nothing in it.
        """
        head = _Snapshot(
            document_number=self.document_number,
            document=self.document,
            versions=dict(sorted(self.versions.items())),
            jobs=(),
            windows={
                window: dict(counts) for window, counts in self.windows.items()
            },
            reported=tuple(sorted(self.reported)),
            retired=tuple(sorted(self.retired)),
            evacuations=self.evacuations,
        )
        records = [state.capture() for state in self.jobs.values()]
        return _SNAPSHOT_CODEC.encode_slices(head, "jobs", records)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Raises:
            CodecError: The bytes are not a snapshot; the state is unchanged.
        """
        for _ in self.restore_slices(data):
            pass

    def restore_slices(self, data: bytes) -> collections.abc.Iterator[int]:
        """Replaces the state by that of a snapshot, part by part.

        The state is unchanged until the iterator ends.

        Yields:
            Number of bytes that were decoded since the previous part.

        Raises:
            CodecError: The bytes are not a snapshot; the state is unchanged.
        """
        jobs: list[JobState] = []

        def add_job(encoded: bytes) -> None:
            record = _RECORD_CODEC.decode(encoded)
            jobs.append(
                JobState(
                    record.job,
                    list(record.results),
                    record.is_ended,
                    record.kept,
                    encoded_record=encoded,
                )
            )

        held = yield from _SNAPSHOT_CODEC.decode_slices(data, "jobs", add_job)
        self._clear()
        self.has_replaced_document = True
        self.document_number = held.document_number
        self.document = held.document
        self.versions.update(held.versions)
        self.windows.update(held.windows)
        self.reported.update(held.reported)
        self.retired.update(held.retired)
        self.evacuations = held.evacuations
        self.jobs.update((state.job.job, state) for state in jobs)

    def find(self, job: str, account: base.AccountId) -> JobState | None:
        """Returns a job; None if the client account has no such job."""
        state = self.jobs.get(job)
        if state is None or state.job.account != account:
            return None
        return state

    def _clear(self) -> None:
        self.has_replaced_document = False
        self.document_number = 0
        self.document = b""
        self.versions: dict[str, int] = {}
        self.jobs: dict[str, JobState] = {}
        self.windows: dict[int, dict[base.AccountId, int]] = {}
        self.reported: set[int] = set()
        self.retired: set[base.InstanceId] = set()
        self.evacuations = gateway.Evacuations()
        self._handlers: dict[type, typing.Callable[..., _commands.Reply]] = {
            _commands.DeclareDocument: self._declare,
            _commands.NameVersion: self._name_version,
            _commands.AcceptJob: self._accept,
            _commands.ListResult: self._list_result,
            _commands.KeepParts: self._keep_parts,
            _commands.EndJob: self._end,
            _commands.ForgetJobs: self._forget,
            _commands.FreezeWindow: self._freeze,
            _commands.MarkReported: self._mark_reported,
            _commands.RetireInstance: self._retire,
            _commands.EvacuateDomain: self._evacuate,
            _commands.ReadmitDomain: self._readmit,
        }

    def _declare(self, cmd: _commands.DeclareDocument) -> _commands.Reply:
        if cmd.number <= self.document_number:
            return _commands.Applied(is_new=False)
        self.has_replaced_document = self.document_number > 0
        self.document_number = cmd.number
        self.document = cmd.content
        return _commands.Applied(is_new=True)

    def _name_version(self, cmd: _commands.NameVersion) -> _commands.Reply:
        if cmd.version <= self.versions.get(cmd.model, 0):
            return _commands.Applied(is_new=False)
        self.versions[cmd.model] = cmd.version
        return _commands.Applied(is_new=True)

    def _accept(self, cmd: _commands.AcceptJob) -> _commands.Reply:
        known = self.jobs.get(cmd.job.job)
        if known is not None:
            if known.job.account != cmd.job.account:
                return _commands.NotFound()
            return _commands.Applied(is_new=False)
        self.jobs[cmd.job.job] = JobState(cmd.job, [])
        return _commands.Applied(is_new=True)

    def _list_result(self, cmd: _commands.ListResult) -> _commands.Reply:
        state = self.jobs.get(cmd.job)
        if state is None:
            return _commands.NotFound()
        if cmd.result.item in state.listed:
            return _commands.Applied(is_new=False)
        state.drop_encoding()
        state.results.append(cmd.result)
        state.listed.add(cmd.result.item)
        state.kept.pop(cmd.result.item, None)
        return _commands.Applied(is_new=True)

    def _keep_parts(self, cmd: _commands.KeepParts) -> _commands.Reply:
        state = self.jobs.get(cmd.job)
        if state is None or state.is_ended:
            return _commands.NotFound()
        state.drop_encoding()
        for part in cmd.parts:
            if part.item in state.listed:
                continue
            kept = state.kept.setdefault(
                part.item, KeptText(part.first_event, [], ())
            )
            # A part of another leader's run could leave a gap or a duplicate.
            if (
                kept.first_event == part.first_event
                and len(kept.pieces) == part.begins_at
            ):
                kept.pieces.extend(part.pieces)
                kept.versions = part.versions
        return _commands.Applied(is_new=True)

    def _end(self, cmd: _commands.EndJob) -> _commands.Reply:
        state = self.find(cmd.job, cmd.account)
        if state is None:
            return _commands.NotFound()
        if state.is_ended:
            return _commands.Applied(is_new=False)
        state.drop_encoding()
        state.is_ended = True
        state.kept.clear()
        # Encodes the job now to spread the cost of the next snapshot.
        state.capture()()
        return _commands.Applied(is_new=True)

    def _forget(self, cmd: _commands.ForgetJobs) -> _commands.Reply:
        old = [
            job
            for job, state in self.jobs.items()
            if not state.is_open and state.job.accepted_at < cmd.accepted_before
        ]
        for job in old:
            del self.jobs[job]
        return _commands.Applied(is_new=bool(old))

    def _freeze(self, cmd: _commands.FreezeWindow) -> _commands.Reply:
        if self._is_dropped(cmd.window):
            return _commands.Applied(is_new=False)
        counts = self.windows.setdefault(cmd.window, cmd.counts)
        for old in sorted(self.windows)[:-MAX_USAGE_WINDOWS]:
            del self.windows[old]
            self.reported.discard(old)
        return _commands.Frozen(counts)

    def _is_dropped(self, window: int) -> bool:
        """Whether a window is older than those that are kept.

        Its final counts are forgotten, so it must not be frozen again.
        """
        return len(self.windows) >= MAX_USAGE_WINDOWS and window < min(
            self.windows
        )

    def _mark_reported(self, cmd: _commands.MarkReported) -> _commands.Reply:
        is_new = cmd.window in self.windows and cmd.window not in self.reported
        if is_new:
            self.reported.add(cmd.window)
        return _commands.Applied(is_new)

    def _retire(self, cmd: _commands.RetireInstance) -> _commands.Reply:
        is_new = cmd.instance not in self.retired
        self.retired.add(cmd.instance)
        return _commands.Applied(is_new)

    def _evacuate(self, cmd: _commands.EvacuateDomain) -> _commands.Reply:
        return self._replace_evacuations(self.evacuations.evacuate(cmd.domain))

    def _readmit(self, cmd: _commands.ReadmitDomain) -> _commands.Reply:
        return self._replace_evacuations(
            self.evacuations.readmit(cmd.domain, cmd.readmitted_at)
        )

    def _replace_evacuations(
        self, changed: gateway.Evacuations
    ) -> _commands.Reply:
        is_new = changed.revision != self.evacuations.revision
        self.evacuations = changed
        return _commands.Applied(is_new)


def _ignore(cmd: _commands.Command) -> None:
    """Default observer; does nothing."""
