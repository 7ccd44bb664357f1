"""Events of the structured log: their fields and what they mean.

`docs/LOGS.md` shows the catalogue; a test holds both against the code.
"""

import attrs


@attrs.frozen
class EventKind:
    """One kind of event."""

    name: str
    """Name, as `area.verb`."""
    fields: tuple[str, ...]
    """Names of its fields, besides time, instance and event."""
    meaning: str
    """What happened, for an engineer on call."""
    decides: bool = False
    """Whether it ends a request, item, job or order."""


def _kind(
    name: str, fields: str, meaning: str, decides: bool = False
) -> EventKind:
    return EventKind(name, tuple(fields.split()), meaning, decides)


EVENTS = (
    _kind("process.started", "role", "The process serves."),
    _kind("process.stopping", "limit_s", "SIGTERM came; work is finished."),
    _kind("process.stopped", "role", "The process ends."),
    _kind("process.failed", "why", "The process ends after an error."),
    _kind("process.defect", "what why", "A defect; the traceback follows."),
    _kind("process.poll_failed", "why", "A defect in the poll; it restarts."),
    _kind("process.reloaded", "seeds", "The settings file has changed."),
    _kind(
        "process.reload_failed",
        "why",
        "The settings file is not usable; the old settings hold.",
    ),
    _kind("process.lines_dropped", "counts", "Lines lost, by event."),
    _kind("dep.leader_lost", "why", "No store answered as leader."),
    _kind("config.in_force", "number routes", "A document holds here now."),
    _kind("config.invalid", "why", "An operator sent what cannot hold."),
    _kind("config.unreadable", "why", "A committed document cannot be read."),
    _kind(
        "operator.command",
        "command number outcome",
        "A document or weight version was committed, or why not.",
        decides=True,
    ),
    _kind(
        "endpoints.changed",
        "source revision known",
        "The entry took over a leader's directory.",
    ),
    _kind(
        "endpoint.heard",
        "endpoint said revision",
        "The directory changed by what an endpoint announced.",
    ),
    _kind("endpoint.silent", "endpoint address", "An endpoint fell silent."),
    _kind("endpoint.unreadable", "endpoint why", "An announcement is bad."),
    _kind("engine.bad_report", "endpoint why", "A report cannot be read."),
    _kind(
        "request.attempt",
        "request endpoint address outcome detail tried left_ms",
        "An endpoint did not serve a request: lost, not-run or failed.",
    ),
    _kind(
        "request.answered",
        "request route status tried took_ms",
        "An endpoint's answer went back.",
        decides=True,
    ),
    _kind(
        "request.refused",
        "request host path reason ran detail retry_after_s tried table"
        " table_age_ms",
        "The caller got a refusal; `ran` tells what it may believe.",
        decides=True,
    ),
    _kind(
        "job.submitted",
        "job account items outcome",
        "A batch job was committed, or the refusal's outcome.",
    ),
    _kind("job.unreadable", "job why", "A batch job is bad.", decides=True),
    _kind(
        "item.run",
        "job item endpoint outcome detail last_event age_ms",
        "A run ended: generated, lost, refused or moved.",
    ),
    _kind(
        "item.not_graded",
        "job item scorer failures answer",
        "The scorer gave no score; it is asked again.",
    ),
    _kind(
        "item.listed",
        "job item outcome versions",
        "The result has its position for good.",
        decides=True,
    ),
    _kind(
        "weights.load",
        "endpoint model version fence outcome",
        "An order to load weights is over.",
        decides=True,
    ),
    _kind(
        "weights.order_lost",
        "endpoint model version why",
        "An order got no answer; it may be carried out later.",
    ),
    _kind(
        "usage.reported",
        "window counts fence status",
        "A usage window was reported.",
        decides=True,
    ),
    _kind(
        "members.change",
        "store change outcome",
        "A store was added to the log or removed.",
    ),
    _kind(
        "log.proposal_failed",
        "command why may_be_committed",
        "A command has no reply.",
    ),
)
"""All events that the processes write themselves."""

RECORDED_FIELDS = ("epoch", "detail")
"""Fields of events of the log and the mesh (`log.`, `leader.`, `mesh.`, …)."""
