"""Chooses an endpoint of a plain service."""

import collections
import collections.abc
import random

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory

SUSPECT_S = 1.5
"""Seconds for which an endpoint that failed is chosen last; about one beat."""


@attrs.define
class _Health:
    suspect_until: float = 0.0
    strikes: int = 0


class EndpointPicker:
    """Knows what this instance has under way, and which endpoints failed.

    Args:
        domain: Failure domain of this instance; it breaks ties.
        rng: Source of random numbers.
    """

    def __init__(self, domain: base.FailureDomain, rng: random.Random) -> None:
        self._domain = domain
        self._rng = rng
        self._running: collections.Counter[base.EndpointId] = (
            collections.Counter()
        )
        self._health: dict[base.EndpointId, _Health] = {}

    def pick(
        self,
        candidates: collections.abc.Iterable[_directory.Announcement],
        tried: collections.abc.Container[base.EndpointId],
        now: float,
    ) -> _directory.Announcement | None:
        """Returns the least loaded endpoint that was not tried, or None.

        Args:
            candidates: Endpoints of the service.
            tried: Endpoints that this request was sent to.
            now: Present time.
        """
        usable = [
            said
            for said in candidates
            if said.state is _directory.EndpointState.READY
            and said.endpoint not in tried
        ]
        if not usable:
            return None
        return min(usable, key=lambda said: self._cost(said, now))

    def started(self, endpoint: base.EndpointId) -> None:
        """Notes that a request was sent to an endpoint."""
        self._running[endpoint] += 1

    def ended(self, endpoint: base.EndpointId) -> None:
        """Notes that a request at an endpoint is over."""
        self._running[endpoint] -= 1
        if self._running[endpoint] <= 0:
            del self._running[endpoint]

    def failed(self, endpoint: base.EndpointId, now: float) -> None:
        """Chooses an endpoint last for a while; longer when it fails again."""
        health = self._health.setdefault(endpoint, _Health())
        health.strikes = min(health.strikes + 1, 4)
        health.suspect_until = now + SUSPECT_S * health.strikes

    def succeeded(self, endpoint: base.EndpointId) -> None:
        """Trusts an endpoint again."""
        self._health.pop(endpoint, None)

    def _cost(
        self, said: _directory.Announcement, now: float
    ) -> tuple[bool, float, bool, float]:
        health = self._health.get(said.endpoint)
        is_suspect = health is not None and now < health.suspect_until
        load = self._running[said.endpoint] / max(1, said.slots)
        is_far = said.domain != self._domain
        return (is_suspect, load, is_far, self._rng.random())
