"""Choice of an endpoint for a request."""

import collections.abc
import random

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_dispatch import _health
from banyanbank_dispatch import _prefix

CROSS_DOMAIN_S = 0.002
DOUBLING_BATCH = 80
"""Streams that double the seconds between tokens of an empty engine."""


@attrs.frozen
class Candidate:
    """What an instance knows of an endpoint of the right model or service."""

    endpoint_id: base.EndpointId
    """Which."""
    failure_domain: base.FailureDomain
    """Where it runs."""
    slots: int
    """Requests it may run at once."""
    load_tokens: float = 0.0
    """Waiting and running tokens as last reported."""
    reported_at: float = 0.0
    """Monotonic seconds when the report was heard."""
    tokens_per_s: float = 1000.0
    """Service rate as last reported."""
    requests: int = 0
    """Waiting and running requests as last reported."""
    token_s: float = 0.0
    """Seconds between tokens of one stream as reported; 0 when unknown."""
    version: base.WeightVersion = base.WeightVersion(0)  # noqa: RUF009
    """Weight version it serves as last reported; 0 for plain services."""
    reclaimable: bool = False
    """Whether it may be reclaimed on short notice."""
    leaving: bool = False
    """Whether it gets no new work."""


@attrs.frozen
class RouteQuery:
    """What a request asks of an endpoint."""

    cost_tokens: float = 1.0
    """Estimated cost."""
    blocks: tuple[str, ...] = ()
    """Digests of the prompt up to the end of each of its blocks."""
    prefix_tokens: float = 0.0
    """Prompt tokens that are saved where all blocks are cached."""
    min_version: base.WeightVersion = base.WeightVersion(0)  # noqa: RUF009
    """Oldest weight version that will do."""
    safe_only: bool = False
    """Whether reclaimable endpoints are ruled out."""
    excluded: frozenset[base.EndpointId] = frozenset()
    """Endpoints that failed this request before."""


class Router:
    """Power of two choices on expected delay.

    The expected delay is the reported load plus what this instance sent since
    that report, over the service rate, plus the prompt tokens that would have
    to be computed anew. A cached prefix is thus worth what it saves and no
    more, so a popular prefix does not pile work on one endpoint.

    Args:
        domain: Failure domain of this instance.
        rng: Source of the two choices.
        health: Judges endpoints by outcome.
        prefixes: What is known of prefix caches.
        choices: Candidates that are drawn and compared.
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
        self._sent: dict[base.EndpointId, dict[base.RequestId, _Sent]] = {}

    def choose(
        self,
        query: RouteQuery,
        candidates: collections.abc.Sequence[Candidate],
        now: float,
    ) -> result.Result[Candidate, base.Refusal]:
        """Chooses an endpoint.

        Returns:
            The endpoint, or a refusal with outcome NOT_RUN.
        """
        fitting = [c for c in candidates if self._fits(query, c)]
        if not fitting:
            return result.Failure(_no_endpoint())
        fresh = [c for c in fitting if c.endpoint_id not in query.excluded]
        pool = self._sample(fresh or fitting, now)
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
        """Counts a request in flight from this instance."""
        sent = self._sent.setdefault(endpoint_id, {})
        sent[request_id] = _Sent(query.cost_tokens, now)
        if query.blocks:
            self.prefixes.note_sent(endpoint_id, query.blocks, now)

    def note_done(
        self,
        request_id: base.RequestId,
        endpoint_id: base.EndpointId,
        ok: bool,
        now: float,
    ) -> None:
        """Counts a request as over and its outcome for health."""
        self._sent.get(endpoint_id, {}).pop(request_id, None)
        self.health.record(endpoint_id, ok, now)

    def forget(self, endpoint_id: base.EndpointId) -> None:
        """Drops what is known of an endpoint that has left."""
        self._sent.pop(endpoint_id, None)
        self.health.forget(endpoint_id)
        self.prefixes.forget(endpoint_id)

    def expected_delay(
        self, query: RouteQuery, candidate: Candidate, now: float
    ) -> float:
        """Returns seconds until the request should be answered.

        Without a report of the time between tokens it is the time until the
        present load is worked off.
        """
        unseen = [
            sent.cost_tokens
            for sent in self._sent.get(candidate.endpoint_id, {}).values()
            if sent.at > candidate.reported_at
        ]
        rate = max(candidate.tokens_per_s, 1.0)
        load_s = (candidate.load_tokens + sum(unseen)) / rate
        cached = self.prefixes.cached_share(
            candidate.endpoint_id, query.blocks, now
        )
        seconds = query.prefix_tokens * (1.0 - cached) / rate
        if candidate.failure_domain != self._domain:
            seconds += CROSS_DOMAIN_S
        if not candidate.token_s:
            return seconds + load_s
        requests = candidate.requests + len(unseen)
        surplus = requests + 1 - candidate.slots
        if surplus > 0:
            seconds += load_s * surplus / (requests + 1)
        growth = 1 + len(unseen) / (DOUBLING_BATCH + candidate.requests)
        return seconds + query.cost_tokens * candidate.token_s * growth

    def _fits(self, query: RouteQuery, candidate: Candidate) -> bool:
        if candidate.leaving or candidate.version < query.min_version:
            return False
        return not (query.safe_only and candidate.reclaimable)

    def _sample(
        self, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Draws candidates in proportion to their health."""
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
class _Sent:
    """One request in flight from this instance."""

    cost_tokens: float
    at: float


def _no_endpoint() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.NO_ENDPOINT,
        base.Outcome.NOT_RUN,
        "No endpoint in service fits this request; retry later.",
        1.0,
    )
