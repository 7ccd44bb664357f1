"""Commands of the ledger and their replies."""

import attrs
import banyanbank_base as base

from banyanbank_jobs import _records


@attrs.frozen
class DeclareDocument:
    """Puts a configuration in force unless a higher number is."""

    number: int
    """Number given by the operator."""
    content: bytes
    """The document as it was sent; it has been checked."""


@attrs.frozen
class NameVersion:
    """Records that a trainer has published weights."""

    model: str
    """Model."""
    version: int
    """Version; versions of a model rise."""


@attrs.frozen
class AcceptJob:
    """Accepts a batch job once."""

    job: _records.Job
    """The job."""


@attrs.frozen
class ListResult:
    """Puts a result at the next position of its job."""

    job: str
    """Id of the job."""
    result: _records.ItemResult
    """The result."""


@attrs.frozen
class KeepParts:
    """Keeps what was generated of items that are not whole yet.

    The next leader goes on from there.
    """

    job: str
    """Id of the job."""
    parts: tuple[_records.TextPart, ...]
    """New events of its items."""


@attrs.frozen
class EndJob:
    """Ends a batch job; what is listed stays."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that asks."""


@attrs.frozen
class ForgetJobs:
    """Drops ended jobs that were accepted before a time."""

    accepted_before: float
    """Unix time."""


@attrs.frozen
class FreezeWindow:
    """Fixes the counts of a usage window before they are reported."""

    window: int
    """Number of the window."""
    counts: dict[base.AccountId, int]
    """Requests that began to run, by client account."""


@attrs.frozen
class MarkReported:
    """Records that the platform took the report of a window."""

    window: int
    """Number of the window."""


@attrs.frozen
class RetireInstance:
    """Records that an instance is to be taken out of the log."""

    instance: base.InstanceId
    """The instance."""


@attrs.frozen
class Applied:
    """The command is in force."""

    is_new: bool
    """False when it was in force already or had been overtaken."""


@attrs.frozen
class NotFound:
    """There is no such job for this client account."""


@attrs.frozen
class Frozen:
    """Counts of a window that will never change."""

    counts: dict[base.AccountId, int]
    """Requests that began to run, by client account."""


@attrs.frozen
class Undecodable:
    """The bytes are no command that this build knows."""


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
)
"""Everything that the log of a store may hold."""

Reply = Applied | NotFound | Frozen | Undecodable
"""Everything that a command may be answered with."""

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
)
"""Bytes of commands."""

REPLY_CODEC: base.Codec[Reply] = base.Codec(
    Applied, NotFound, Frozen, Undecodable
)
"""Bytes of replies."""
