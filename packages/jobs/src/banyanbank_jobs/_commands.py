"""Commands of the replicated ledger and their replies."""

import attrs
import banyanbank_base as base

from banyanbank_jobs import _records


@attrs.frozen
class DeclareDocument:
    """Replaces the document in force if the new number is higher."""

    number: int
    """Number assigned by the operator."""
    content: bytes
    """The document as it was received; already validated."""


@attrs.frozen
class NameVersion:
    """Records that a trainer has published weights."""

    model: str
    """Name of the model."""
    version: int
    """Version; increases monotonically for each model."""


@attrs.frozen
class AcceptJob:
    """Accepts a batch job; idempotent."""

    job: _records.Job
    """The job."""


@attrs.frozen
class ListResult:
    """Appends the result of an item to its job; only the first one counts."""

    job: str
    """Id of the job."""
    result: _records.ItemResult
    """The result."""


@attrs.frozen
class KeepParts:
    """Stores the text generated so far for incomplete items.

    After a change of leader, the next leader continues from this text.
    """

    job: str
    """Id of the job."""
    parts: tuple[_records.TextPart, ...]
    """Events generated since the previous command."""


@attrs.frozen
class EndJob:
    """Ends a batch job; its results are kept."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that sends the request."""


@attrs.frozen
class ForgetJobs:
    """Deletes finished jobs that were accepted before a given time."""

    accepted_before: float
    """Unix time."""


@attrs.frozen
class FreezeWindow:
    """Makes the counts of a usage window final before they are reported."""

    window: int
    """Number of the window."""
    counts: dict[base.AccountId, int]
    """Requests that began to run, by client account."""


@attrs.frozen
class MarkReported:
    """Records that the platform accepted the report of a window."""

    window: int
    """Number of the window."""


@attrs.frozen
class RetireInstance:
    """Records that an instance has to be removed from the log's members."""

    instance: base.InstanceId
    """The instance."""


@attrs.frozen
class EvacuateDomain:
    """Orders that nothing be sent to the endpoints of a failure domain."""

    domain: base.FailureDomain
    """The failure domain."""


@attrs.frozen
class ReadmitDomain:
    """Withdraws the order to evacuate a failure domain."""

    domain: base.FailureDomain
    """The failure domain."""
    readmitted_at: float
    """Unix time of the readmission, as the leader knows it."""


@attrs.frozen
class Applied:
    """The command has been applied."""

    is_new: bool
    """False if the command was a duplicate or stale."""


@attrs.frozen
class NotFound:
    """The client account has no such job."""


@attrs.frozen
class Frozen:
    """Final counts of a usage window."""

    counts: dict[base.AccountId, int]
    """Requests that began to run, by client account."""


@attrs.frozen
class Undecodable:
    """The bytes are not a command that this build can decode."""


Command = (
    DeclareDocument
    | NameVersion
    | AcceptJob
    | ListResult
    | KeepParts
    | EndJob
    | ForgetJobs
    | FreezeWindow
    | MarkReported
    | RetireInstance
    | EvacuateDomain
    | ReadmitDomain
)
"""Commands that the log of a store may contain."""

Reply = Applied | NotFound | Frozen | Undecodable
"""Replies to commands."""

COMMAND_CODEC: base.Codec[Command] = base.Codec(
    DeclareDocument,
    NameVersion,
    AcceptJob,
    ListResult,
    KeepParts,
    EndJob,
    ForgetJobs,
    FreezeWindow,
    MarkReported,
    RetireInstance,
    EvacuateDomain,
    ReadmitDomain,
)
"""Encoding of commands in the log."""

REPLY_CODEC: base.Codec[Reply] = base.Codec(
    Applied, NotFound, Frozen, Undecodable
)
"""Encoding of replies."""
