"""Health of endpoints, judged by the outcome of real requests."""

import collections.abc

import attrs
import banyanbank_base as base

FAILURES_TO_EJECT = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
RETURN_S = 10.0
MIN_RETURN_WEIGHT = 0.1
MIN_SERVING_SHARE = 0.5


@attrs.define
class _Record:
    """What is known of one endpoint."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class HealthTracker:
    """Ejects failing endpoints for a while and lets them return slowly.

    At least half of the candidates, and never fewer than one, stay in
    service: when most of them fail the fault is likely elsewhere.
    """

    def __init__(self) -> None:
        self._records: dict[base.EndpointId, _Record] = {}

    def record(
        self, endpoint_id: base.EndpointId, ok: bool, now: float
    ) -> None:
        """Takes in the outcome of one request.

        Args:
            endpoint_id: Where it ran.
            ok: False for a refused or broken connection, a timeout or an
                answer that blames the endpoint.
            now: Monotonic seconds.
        """
        record = self._records.setdefault(endpoint_id, _Record())
        if ok:
            record.failures = 0
            if now >= record.ejected_until + RETURN_S:
                record.ejections = 0
            return
        record.failures += 1
        returning = record.ejections and now < record.ejected_until + RETURN_S
        if now < record.ejected_until:
            return
        if record.failures >= FAILURES_TO_EJECT or returning:
            self._eject(record, now)

    def forget(self, endpoint_id: base.EndpointId) -> None:
        """Drops what is known of an endpoint that has left."""
        self._records.pop(endpoint_id, None)

    def weight(self, endpoint_id: base.EndpointId, now: float) -> float:
        """Returns the share of normal traffic it should get, from 0 to 1."""
        record = self._records.get(endpoint_id)
        if record is None or record.ejections == 0:
            return 1.0
        if now < record.ejected_until:
            return 0.0
        progress = (now - record.ejected_until) / RETURN_S
        return min(1.0, max(MIN_RETURN_WEIGHT, progress))

    def weights(
        self,
        endpoint_ids: collections.abc.Sequence[base.EndpointId],
        now: float,
    ) -> dict[base.EndpointId, float]:
        """Returns the weights of candidates, never ejecting the last ones."""
        weights = {eid: self.weight(eid, now) for eid in endpoint_ids}
        needed = max(1, round(len(weights) * MIN_SERVING_SHARE))
        serving = sum(1 for weight in weights.values() if weight > 0)
        if serving >= needed:
            return weights
        ejected = [eid for eid, weight in weights.items() if weight == 0]
        ejected.sort(key=lambda eid: self._records[eid].ejected_until)
        for eid in ejected[: needed - serving]:
            weights[eid] = MIN_RETURN_WEIGHT
        return weights

    def _eject(self, record: _Record, now: float) -> None:
        span = min(EJECTION_S * 2**record.ejections, MAX_EJECTION_S)
        record.ejected_until = now + span
        record.ejections += 1
        record.failures = 0
