"""Figures of plain endpoints that the leader tells all instances."""

import collections.abc
import math

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory

MAX_FIGURES_AGE_S = 5.0
"""Time for which figures hold without contact to the leader that gave them."""


@attrs.frozen
class EndpointFigure:
    """How an incarnation of an endpoint differs from others of its service."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int
    """Start of its incarnation, as Unix time in milliseconds."""
    time_factor: float = 1.0
    """Time that it takes for a request, relative to the median endpoint."""
    is_failing: bool = False
    """Whether it fails requests."""


class KnownFigures:
    """Figures that one instance holds, until they are too old.

    Addresses loss of contact and a new leader: a new leader knows nothing yet,
    so the figures of the former one hold for `MAX_FIGURES_AGE_S` more.
    """

    def __init__(self) -> None:
        self._figures: dict[tuple[base.EndpointId, int], EndpointFigure] = {}
        self._source = ""
        self._renewed_at = -math.inf

    def replace(
        self,
        source: str,
        figures: collections.abc.Iterable[EndpointFigure],
        now: float,
    ) -> None:
        """Takes over all figures of a leader.

        Args:
            source: Leader and epoch.
            figures: Endpoints that differ from the others.
            now: Current time.
        """
        received = {(one.endpoint, one.born_ms): one for one in figures}
        if not received and source != self._source:
            return
        self._figures = received
        self._source = source
        self._renewed_at = now

    def renew(self, source: str, now: float) -> None:
        """Records that a leader holds on to the figures that it gave."""
        if source == self._source:
            self._renewed_at = now

    def get(
        self, target: _directory.Announcement, now: float
    ) -> EndpointFigure | None:
        """Returns the figure of an endpoint; None if it is like the others."""
        if now > self._renewed_at + MAX_FIGURES_AGE_S:
            return None
        return self._figures.get((target.endpoint, target.born_ms))
