"""Load balancing: selection of an endpoint for a request."""

import collections.abc
import random

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_dispatch import _health
from banyanbank_dispatch import _prefix

CROSS_DOMAIN_LATENCY_S = 0.002
TOKEN_TIME_DOUBLING_STREAMS = 80
"""Concurrent streams at which the time between tokens is twice that of an
idle engine."""


@attrs.frozen
class Candidate:
    """An instance's view of an endpoint that serves the model or service."""

    endpoint_id: base.EndpointId
    """Endpoint to which requests are sent."""
    failure_domain: base.FailureDomain
    """Failure domain that the endpoint runs in."""
    slots: int
    """Requests that it may run concurrently."""
    load_tokens: float = 0.0
    """Last reported cost of the waiting and running requests, in tokens."""
    reported_at: float = 0.0
    """Monotonic time in seconds at which the report was received."""
    tokens_per_s: float = 1000.0
    """Last reported service rate."""
    requests: int = 0
    """Last reported number of waiting and running requests."""
    token_s: float = 0.0
    """Last reported seconds between tokens of a stream; 0 when unknown."""
    version: base.WeightVersion = base.WeightVersion(0)  # noqa: RUF009
    """Last reported weight version; 0 for services without a model."""
    reclaimable: bool = False
    """Whether the endpoint may be reclaimed at short notice."""
    leaving: bool = False
    """Whether the endpoint receives no new work."""


@attrs.frozen
class RouteQuery:
    """Properties of a request that routing depends on."""

    cost_tokens: float = 1.0
    """Estimated cost in tokens."""
    blocks: tuple[str, ...] = ()
    """Digests of the prompt up to the end of each of its blocks."""
    prefix_tokens: float = 0.0
    """Prompt tokens saved if all blocks are cached."""
    min_version: base.WeightVersion = base.WeightVersion(0)  # noqa: RUF009
    """Minimum weight version."""
    exclude_reclaimable: bool = False
    """Whether to rule out reclaimable endpoints."""
    avoided: frozenset[base.EndpointId] = frozenset()
    """Endpoints where this request failed; chosen only if no others remain."""


class Router:
    """Chooses endpoints by expected delay with the power of two choices.

    The expected delay covers the reported load, the requests that this
    instance sent since that report, and the prompt tokens that are not cached.
    A cached prefix counts only for the time that it saves, which keeps a
    popular prefix from overloading one endpoint.

    Args:
        domain: Failure domain of this instance.
        rng: Random source for drawing candidates.
        health: Health tracker; a new one by default.
        prefixes: Prefix cache index; an empty one by default.
        choices: Number of candidates drawn and compared.
    """

    def __init__(
        self,
        domain: base.FailureDomain,
        rng: random.Random,
        health: _health.HealthTracker | None = None,
        prefixes: _prefix.PrefixIndex | None = None,
        choices: int = 2,
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._choices = choices
        self.health = health or _health.HealthTracker()
        self.prefixes = prefixes or _prefix.PrefixIndex()
        self._in_flight: dict[
            base.EndpointId, dict[base.RequestId, _InFlightRequest]
        ] = {}

    def choose(
        self,
        query: RouteQuery,
        candidates: collections.abc.Sequence[Candidate],
        now: float,
    ) -> result.Result[Candidate, base.Refusal]:
        """Chooses the candidate with the lowest expected delay in a sample.

        Returns:
            The candidate, or a refusal with outcome NOT_RUN when no candidate
            is eligible.
        """
        eligible = [c for c in candidates if self._fits(query, c)]
        if not eligible:
            return result.Failure(_no_endpoint_refusal())
        untried = [c for c in eligible if c.endpoint_id not in query.avoided]
        pool = self._sample(untried or eligible, now)
        return result.Success(
            min(pool, key=lambda c: self.expected_delay(query, c, now))
        )

    def note_sent(
        self,
        request_id: base.RequestId,
        endpoint_id: base.EndpointId,
        query: RouteQuery,
        now: float,
    ) -> None:
        """Records a request that this instance sends to an endpoint."""
        in_flight = self._in_flight.setdefault(endpoint_id, {})
        in_flight[request_id] = _InFlightRequest(query.cost_tokens, now)
        if query.blocks:
            self.prefixes.note_sent(endpoint_id, query.blocks, now)

    def note_done(
        self,
        request_id: base.RequestId,
        endpoint_id: base.EndpointId,
        ok: bool,
        now: float,
    ) -> None:
        """Records the end of a request and its outcome for health tracking."""
        self._in_flight.get(endpoint_id, {}).pop(request_id, None)
        self.health.record_outcome(endpoint_id, ok, now)

    def remove_endpoint(self, endpoint_id: base.EndpointId) -> None:
        """Removes the state of an endpoint that has left."""
        self._in_flight.pop(endpoint_id, None)
        self.health.remove_endpoint(endpoint_id)
        self.prefixes.remove_endpoint(endpoint_id)

    def expected_delay(
        self, query: RouteQuery, candidate: Candidate, now: float
    ) -> float:
        """Returns the expected seconds until the request is answered.

        While the time between tokens is unknown, this is the time to process
        the present load and the uncached prompt tokens.
        """
        unreported_costs = [
            request.cost_tokens
            for request in self._in_flight.get(
                candidate.endpoint_id, {}
            ).values()
            if request.sent_at > candidate.reported_at
        ]
        rate = max(candidate.tokens_per_s, 1.0)
        load_s = (candidate.load_tokens + sum(unreported_costs)) / rate
        cached = self.prefixes.cached_share(
            candidate.endpoint_id, query.blocks, now
        )
        seconds = query.prefix_tokens * (1.0 - cached) / rate
        if candidate.failure_domain != self._domain:
            seconds += CROSS_DOMAIN_LATENCY_S
        if not candidate.token_s:
            return seconds + load_s
        requests = candidate.requests + len(unreported_costs)
        excess_requests = requests + 1 - candidate.slots
        if excess_requests > 0:
            seconds += load_s * excess_requests / (requests + 1)
        token_time_growth = 1 + len(unreported_costs) / (
            TOKEN_TIME_DOUBLING_STREAMS + candidate.requests
        )
        return (
            seconds + query.cost_tokens * candidate.token_s * token_time_growth
        )

    def _fits(self, query: RouteQuery, candidate: Candidate) -> bool:
        if candidate.leaving or candidate.version < query.min_version:
            return False
        return not (query.exclude_reclaimable and candidate.reclaimable)

    def _sample(
        self, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Draws distinct candidates in proportion to their health weights."""
        weights = self.health.weights([c.endpoint_id for c in candidates], now)
        pool = [c for c in candidates if weights[c.endpoint_id] > 0]
        drawn: list[Candidate] = []
        while pool and len(drawn) < self._choices:
            drawn.append(self._draw(pool, weights))
            pool.remove(drawn[-1])
        return drawn

    def _draw(
        self,
        pool: list[Candidate],
        weights: dict[base.EndpointId, float],
    ) -> Candidate:
        return self._rng.choices(pool, [weights[c.endpoint_id] for c in pool])[
            0
        ]


@attrs.frozen
class _InFlightRequest:
    """One request in flight from this instance."""

    cost_tokens: float
    sent_at: float


def _no_endpoint_refusal() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.NO_ENDPOINT,
        base.Outcome.NOT_RUN,
        "No endpoint in service is eligible for this request; retry later.",
        1.0,
    )
