"""Reads what engines tell of themselves: cache events and load."""

import typing

import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_daemon import _endpoint_fields
from banyanbank_daemon import _jobs

MAX_EVENTS = 4_096
MAX_BLOCK_CHARS = 64


def read_report(document: typing.Any) -> _jobs.EngineReport:
    """Reads the body of a report.

    Raises:
        EndpointFieldError: A field is missing or malformed.
    """
    fields = _endpoint_fields.Fields.of(document)
    batch = dispatch.CacheBatch(
        endpoint_id=base.EndpointId(fields.text("endpoint")),
        incarnation=base.Incarnation(fields.number("incarnation")),
        first_sequence=fields.number("first_sequence", default=0),
        events=_events_of(fields),
    )
    load = fields.document.get("load")
    if load is None:
        return _jobs.EngineReport(batch)
    counts = _endpoint_fields.Fields.of(load)
    return _jobs.EngineReport(
        batch,
        _jobs.ReportedLoad(
            running=counts.number("running"),
            waiting=counts.number("waiting", default=0),
            age_ms=counts.number("age_ms", default=0),
        ),
    )


def _events_of(
    fields: _endpoint_fields.Fields,
) -> tuple[dispatch.CacheEvent, ...]:
    events = fields.document.get("events", [])
    if not isinstance(events, list) or len(events) > MAX_EVENTS:
        raise _endpoint_fields.EndpointFieldError(
            f"Field events must be a list of at most {MAX_EVENTS}."
        )
    if events and "first_sequence" not in fields.document:
        raise _endpoint_fields.EndpointFieldError(
            "Field first_sequence must number the first of the events."
        )
    return tuple(_event_of(event) for event in events)


def _event_of(event: typing.Any) -> dispatch.CacheEvent:
    fields = _endpoint_fields.Fields.of(event)
    block = fields.text("block")
    stored = fields.document.get("stored")
    if len(block) > MAX_BLOCK_CHARS or not isinstance(stored, bool):
        raise _endpoint_fields.EndpointFieldError(
            "An event must have a block of at most "
            f"{MAX_BLOCK_CHARS} characters, and stored as true or false."
        )
    return dispatch.CacheEvent(block, stored)
