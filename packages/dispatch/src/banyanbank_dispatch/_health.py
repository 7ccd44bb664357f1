"""Passive health checks: outlier ejection based on request outcomes."""

import collections.abc

import attrs
import banyanbank_base as base

CONSECUTIVE_FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 2.0
"""Duration of the first ejection; it doubles with each repeated ejection."""
MAX_EJECTION_S = 60.0
RAMP_UP_S = 10.0
"""Time after an ejection in which the weight rises to 1."""
MIN_RAMP_UP_WEIGHT = 0.1
MIN_SERVING_FRACTION = 0.5
"""Minimum fraction of the candidates that stays in service."""


@attrs.define
class _EndpointHealth:
    """Failure and ejection state of one endpoint."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class HealthTracker:
    """Ejects failing endpoints temporarily and ramps their traffic up again.

    At least half of the candidates, rounded half to even, and never fewer than
    one, stay in service: when most of them fail, the cause is probably not the
    endpoints.
    """

    def __init__(self) -> None:
        self._health_by_endpoint: dict[base.EndpointId, _EndpointHealth] = {}

    def record_outcome(
        self, endpoint_id: base.EndpointId, ok: bool, now: float
    ) -> None:
        """Records the outcome of one request.

        Args:
            endpoint_id: Endpoint that the request was sent to.
            ok: False for a refused or broken connection, a timeout or a
                response that indicates a fault of the endpoint.
            now: Monotonic time in seconds.
        """
        health = self._health_by_endpoint.setdefault(
            endpoint_id, _EndpointHealth()
        )
        if ok:
            health.consecutive_failures = 0
            if now >= health.ejected_until + RAMP_UP_S:
                health.ejections = 0
            return
        health.consecutive_failures += 1
        is_ramping_up = (
            health.ejections and now < health.ejected_until + RAMP_UP_S
        )
        if now < health.ejected_until:
            return
        if (
            health.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            or is_ramping_up
        ):
            self._eject(health, now)

    def remove_endpoint(self, endpoint_id: base.EndpointId) -> None:
        """Removes the state of an endpoint that has left."""
        self._health_by_endpoint.pop(endpoint_id, None)

    def weight(self, endpoint_id: base.EndpointId, now: float) -> float:
        """Returns the endpoint's fraction of normal traffic, from 0 to 1."""
        health = self._health_by_endpoint.get(endpoint_id)
        if health is None or health.ejections == 0:
            return 1.0
        if now < health.ejected_until:
            return 0.0
        ramp_up_progress = (now - health.ejected_until) / RAMP_UP_S
        return min(1.0, max(MIN_RAMP_UP_WEIGHT, ramp_up_progress))

    def weights(
        self,
        endpoint_ids: collections.abc.Sequence[base.EndpointId],
        now: float,
    ) -> dict[base.EndpointId, float]:
        """Returns the weight of each candidate.

        When too few candidates are in service, the ones whose ejections end
        first get `MIN_RAMP_UP_WEIGHT` instead of 0.
        """
        weights = {eid: self.weight(eid, now) for eid in endpoint_ids}
        min_serving = max(1, round(len(weights) * MIN_SERVING_FRACTION))
        serving = sum(1 for weight in weights.values() if weight > 0)
        if serving >= min_serving:
            return weights
        ejected = [eid for eid, weight in weights.items() if weight == 0]
        ejected.sort(
            key=lambda eid: self._health_by_endpoint[eid].ejected_until
        )
        for eid in ejected[: min_serving - serving]:
            weights[eid] = MIN_RAMP_UP_WEIGHT
        return weights

    def _eject(self, health: _EndpointHealth, now: float) -> None:
        ejection_s = min(BASE_EJECTION_S * 2**health.ejections, MAX_EJECTION_S)
        health.ejected_until = now + ejection_s
        health.ejections += 1
        health.consecutive_failures = 0
