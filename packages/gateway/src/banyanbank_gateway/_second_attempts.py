"""Decides when a request gets a second attempt while the first is running.

Addresses single slow endpoints and lost answers, for which a caller would wait
until the first attempt is given up. Each instance keeps to its own budget, so
that all together keep to the share that operators set, however many there are.
"""

import collections
import collections.abc
import enum
import random

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory
from banyanbank_gateway import _latency_histogram

MAX_SECOND_ATTEMPT_SHARE = 0.5
"""Largest share that operators may set."""

DEFAULT_ROOM = 0.25
"""Share of an endpoint's slots for second attempts, unless set."""

START_QUANTILE = 0.99
"""Quantile of the usual times after which a second attempt starts. In the model
of note 0022 lower ones start up to six times as many, without fewer late
answers."""

LEAST_QUANTILE = 0.9
"""Quantile after which it starts at the earliest, and within which the answer
of a second attempt is expected."""

MAX_TOKENS = 5.0
"""Second attempts that an instance may save up. Quiet hours must not pay for a
burst on all endpoints at once."""

OVERLOAD_STOP_S = 5.0
"""Time without second attempts at a service after one of its endpoints rejected
a request; bursts of batch jobs come every 4 s."""

ROUNDING = 1e-9
"""Tolerance for sums of shares."""


class Obstacle(enum.Enum):
    """Why a request that takes long gets no second attempt."""

    OVERLOAD = "overload"
    """An endpoint of the service rejected a request a short time ago."""
    BUDGET = "budget"
    """The budget has no token."""
    NO_ENDPOINT = "no-endpoint"
    """No other endpoint may be used, or none has room for second attempts."""


@attrs.frozen
class SecondAttemptRules:
    """Limits on second attempts that operators set."""

    share: float = 0.0
    """Second attempts per request; 0 for none."""
    room: float = DEFAULT_ROOM
    """Largest share of an endpoint's slots that second attempts of one instance
    may take, above 0 and at most 1."""


class SecondAttemptPolicy:
    """Budget and decisions of one instance.

    The budget begins with a random part of a token. Without it, instances that
    see few requests in their life would never have a whole one; with it, the
    expected number of second attempts is at most the share of the requests.

    Args:
        rules: Limits that operators set.
        rng: Draws the first part of a token.
    """

    def __init__(self, rules: SecondAttemptRules, rng: random.Random) -> None:
        self._rules = rules
        self._tokens = rng.random() if rules.share else 0.0
        self._running: collections.Counter[base.EndpointId] = (
            collections.Counter()
        )
        self._overloaded_until: dict[str, float] = {}

    @property
    def is_on(self) -> bool:
        """Whether there are second attempts at all."""
        return self._rules.share > 0

    def count_request(self) -> None:
        """Adds the share of one request to the budget."""
        self._tokens = min(self._tokens + self._rules.share, MAX_TOKENS)

    def find_delay(
        self,
        latency: _latency_histogram.RouteLatency | None,
        objective_s: float,
    ) -> float | None:
        """Returns after how many seconds a second attempt starts, or None.

        It starts early enough for the objective where that is possible, also
        while many answers are late and the quantile rises.

        Args:
            latency: Usual times of the route at the service; None if there are
                too few to tell.
            objective_s: Latency objective of the route.
        """
        if latency is None:
            return None
        quantiles = dict(
            zip(
                _latency_histogram.SENT_QUANTILES, latency.buckets, strict=False
            )
        )
        if START_QUANTILE not in quantiles:
            return None
        start_s = _latency_histogram.duration_of(quantiles[START_QUANTILE])
        least_s = _latency_histogram.duration_of(quantiles[LEAST_QUANTILE])
        if objective_s <= least_s:
            return start_s
        return min(start_s, max(objective_s - least_s, least_s))

    def start(
        self,
        service: str,
        ranked: collections.abc.Iterable[_directory.Announcement],
        now: float,
    ) -> _directory.Announcement | Obstacle:
        """Takes a token and returns the endpoint of a second attempt.

        Args:
            service: Service of the first attempt.
            ranked: Other endpoints that may be used, the best one first.
            now: Current time.
        """
        if now < self._overloaded_until.get(service, now):
            return Obstacle.OVERLOAD
        if self._tokens < 1 - ROUNDING:
            return Obstacle.BUDGET
        for target in ranked:
            if self._has_room(target):
                self._tokens -= 1
                self._running[target.endpoint] += 1
                return target
        return Obstacle.NO_ENDPOINT

    def ended(self, endpoint: base.EndpointId) -> None:
        """Records that a second attempt has ended, in whatever way."""
        self._running[endpoint] -= 1
        if self._running[endpoint] <= 0:
            del self._running[endpoint]

    def rejected(self, service: str, now: float) -> None:
        """Records that an endpoint of a service had no room for a request."""
        if self.is_on:
            self._overloaded_until[service] = now + OVERLOAD_STOP_S

    def _has_room(self, target: _directory.Announcement) -> bool:
        taken = self._running[target.endpoint] + 1
        return taken <= self._rules.room * target.slots + ROUNDING
