"""The merged time line, for tools outside the daemon."""

from banyanbank_daemon._timeline import event_from_document
from banyanbank_daemon._timeline import event_to_document
from banyanbank_daemon._timeline import EventQuery
from banyanbank_daemon._timeline import merge_events
from banyanbank_daemon._timeline import read_files
from banyanbank_daemon._timeline import TimelineError
from banyanbank_daemon._timeline_pages import render_html
from banyanbank_daemon._timeline_pages import render_text

__all__ = [
    "EventQuery",
    "TimelineError",
    "event_from_document",
    "event_to_document",
    "merge_events",
    "read_files",
    "render_html",
    "render_text",
]
