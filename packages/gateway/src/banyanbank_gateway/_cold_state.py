"""Decides which endpoints are taken for cold.

An endpoint that has just started is slow for some seconds and crashes when it
gets too many requests. It announces that it is cold, but an announcement may
predate the cold state.
"""

import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory
from banyanbank_gateway import _documents

COLD_REPORT_LAG_S = 1.5
"""Time until an announcement states a change; the interval is 1.2 s."""


def find_cold_rate(
    document: _documents.Document | None, service: str
) -> float | None:
    """Returns the requests a second that a cold endpoint of a service takes.

    None means that the service states no such rate.
    """
    known = None if document is None else document.services.get(service)
    return None if known is None or not known.cold_per_s else known.cold_per_s


def may_be_cold(
    announcement: _directory.Announcement,
    heard_at: float,
    readmitted: collections.abc.Mapping[base.FailureDomain, float],
) -> bool:
    """Whether an endpoint is cold as far as its announcement tells.

    Load addressed: callers' requests and items that return at once to all
    endpoints of a domain whose evacuation has been withdrawn.

    Args:
        announcement: Newest announcement of the endpoint.
        heard_at: Unix time at which it was received.
        readmitted: Unix time of the readmission of each domain whose
            evacuation was withdrawn.
    """
    if announcement.is_cold:
        return True
    readmitted_at = readmitted.get(announcement.domain)
    return (
        readmitted_at is not None
        and heard_at < readmitted_at + COLD_REPORT_LAG_S
    )


@attrs.frozen
class ColdReport:
    """Endpoint that an entry takes for cold, as it tells the leader."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int
    """Start of the incarnation that the entry knows, as Unix time in
    milliseconds."""
    sequence: int
    """Sequence number of the announcement that the entry knows."""

    @property
    def order_key(self) -> tuple[int, int]:
        """Sort key, comparable to that of an announcement."""
        return (self.born_ms, self.sequence)


def is_refuted(
    report: ColdReport, known: _directory.Announcement, is_heard_by_leader: bool
) -> bool:
    """Whether an announcement shows that a reported endpoint is warm by now.

    Load addressed: callers' requests of entries that heard of a cold endpoint
    from a former leader, while the new one missed its announcement.

    Args:
        report: What an entry knows.
        known: Newest announcement that the leader knows.
        is_heard_by_leader: Whether the leader has received it since its lease
            began. An earlier one may predate the cold state.
    """
    return (
        is_heard_by_leader
        and not known.is_cold
        and known.order_key > report.order_key
    )


def find_longest_cold_s(document: _documents.Document) -> float:
    """Returns how long an endpoint may be cold after it was known to be."""
    return COLD_REPORT_LAG_S + max(
        (service.cold_start_s for service in document.services.values()),
        default=0.0,
    )
