"""Rate limits that endpoints have stated, as far as they are known.

An endpoint in need states in its answers how many requests a second it takes
from all instances together. Several instances observe the same endpoint, and
their observations arrive late and out of order.
"""

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory

RETENTION_S = 60.0
"""Time for which an observation is kept once its endpoint is gone."""


@attrs.frozen
class LimitObservation:
    """What an answer of an endpoint says about its rate limit."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int
    """Start of its incarnation, as Unix time in milliseconds."""
    rate_per_s: float | None
    """Requests a second from all instances; None if the endpoint states no
    limit."""
    observed_at: float
    """Unix time of an answer with a limit, or of the request whose answer had
    none: an answer that was under way says nothing about a later limit."""


class KnownLimits:
    """Newest observation of each endpoint.

    Attributes:
        revision: Increases whenever an endpoint begins or ceases to be limited.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._newest: dict[base.EndpointId, LimitObservation] = {}

    def apply(self, observation: LimitObservation) -> bool:
        """Applies an observation; returns whether it changes a rate."""
        known = self._newest.get(observation.endpoint)
        if known is None and observation.rate_per_s is None:
            return False
        if known is not None and (
            known.born_ms,
            known.observed_at,
        ) >= (observation.born_ms, observation.observed_at):
            return False
        self._newest[observation.endpoint] = observation
        old_rate = None if known is None else known.rate_per_s
        if (old_rate is None) != (observation.rate_per_s is None):
            self.revision += 1
        return old_rate != observation.rate_per_s

    def get(self, target: _directory.Announcement) -> LimitObservation | None:
        """Returns the observation that limits an endpoint, or None."""
        known = self._newest.get(target.endpoint)
        if (
            known is None
            or known.rate_per_s is None
            or known.born_ms != target.born_ms
        ):
            return None
        return known

    def all(self) -> tuple[LimitObservation, ...]:
        """Returns the newest observation of each endpoint."""
        return tuple(self._newest.values())

    def forget_ended(
        self, directory: _directory.Directory, true_now: float
    ) -> None:
        """Drops old observations of endpoints that have ended or started anew.

        Args:
            directory: Endpoints that are considered alive.
            true_now: Current Unix time.
        """
        for endpoint, known in list(self._newest.items()):
            announcement = directory.get(endpoint)
            is_current = (
                announcement is not None
                and announcement.born_ms == known.born_ms
                and known.rate_per_s is not None
            )
            if not is_current and known.observed_at + RETENTION_S < true_now:
                del self._newest[endpoint]
                self.revision += known.rate_per_s is not None
