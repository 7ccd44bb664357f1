"""Decides when an endpoint counts as failing, and when it is tried again."""

import enum
import math

import attrs

from banyanbank_gateway import _figure_estimate

FAILURE_HALF_LIFE_S = 3.0
"""Time after which a failure or success counts half."""

MIN_FAILURES = 1.5
"""Least (decayed) number of failures of a failing endpoint."""

MIN_FAILURE_SHARE = 0.3
"""Least share of failures of a failing endpoint. Retries of requests hide a
smaller one at less cost than the endpoint's absence has."""

MIN_REPORTERS = 2
"""Least number of instances that report failures, since one alone may have
lost its own connection to the endpoint."""

REPORT_TTL_S = 5.0
"""Time for which a failure counts as reported by an instance."""

FIRST_BACKOFF_S = 1.5
"""Time for which an endpoint is failing at first; doubled for a repetition."""

MAX_BACKOFF_S = 4.0
"""Longest time for which an endpoint is failing without a trial."""

TRIAL_SUCCESSES = 2
"""Successes after which an endpoint on trial is like the others."""

RELAPSE_S = 10.0
"""Time after a trial in which one more failure is a relapse, as on trial: an
endpoint that fails half of its requests passes one trial in four."""


class Phase(enum.Enum):
    """What is believed of an endpoint."""

    SOUND = "sound"
    """It is like others."""
    FAILING = "failing"
    """It is used only where there is no other."""
    TRIAL = "trial"
    """It has failed and gets fewer requests than others."""


@attrs.define
class FailureWatch:
    """Watches one incarnation of an endpoint.

    Addresses endpoints that fail part of their requests while they announce
    themselves as ready, and those that recover: a failing endpoint gets no
    requests that would show its recovery, so its mark ends by time and a trial
    follows.
    """

    _failures: _figure_estimate.DecayingSum = attrs.field(
        factory=lambda: _figure_estimate.DecayingSum(FAILURE_HALF_LIFE_S)
    )
    _reporters: dict[str, float] = attrs.field(factory=dict)
    _failing_until: float = -math.inf
    _backoff_s: float = 0.0
    _successes_wanted: int = 0
    _sound_since: float = -math.inf

    def find_phase(self, now: float) -> Phase:
        """Returns what is believed of the endpoint."""
        if now < self._failing_until:
            return Phase.FAILING
        return Phase.TRIAL if self._successes_wanted else Phase.SOUND

    def add(
        self, reporter: str, successes: int, failures: int, now: float
    ) -> None:
        """Adds what one instance observed since its last report."""
        phase = self.find_phase(now)
        if phase is Phase.FAILING:
            # These requests were sent before all instances knew.
            return
        if failures:
            self._reporters[reporter] = now
        # The sum is that of the failures, the count that of all requests.
        self._failures.add(1.0, failures, now)
        self._failures.add(0.0, successes, now)
        if phase is Phase.TRIAL:
            self._judge_trial(successes, failures, now)
        elif self._has_failed(now) or (failures and self._is_recent(now)):
            self._mark(now)

    def _is_recent(self, now: float) -> bool:
        return now < self._sound_since + RELAPSE_S

    def _judge_trial(self, successes: int, failures: int, now: float) -> None:
        if failures:
            self._mark(now)
            return
        self._successes_wanted = max(0, self._successes_wanted - successes)
        if not self._successes_wanted:
            self._sound_since = now

    def _has_failed(self, now: float) -> bool:
        for name, reported_at in list(self._reporters.items()):
            if reported_at + REPORT_TTL_S < now:
                del self._reporters[name]
        return (
            len(self._reporters) >= MIN_REPORTERS
            and self._failures.total >= MIN_FAILURES
            and self._failures.mean >= MIN_FAILURE_SHARE
        )

    def _mark(self, now: float) -> None:
        is_repeated = self._successes_wanted or self._is_recent(now)
        self._backoff_s = (
            min(2 * self._backoff_s, MAX_BACKOFF_S)
            if is_repeated
            else FIRST_BACKOFF_S
        )
        self._failing_until = now + self._backoff_s
        self._successes_wanted = TRIAL_SUCCESSES
        self._reporters.clear()
        self._failures = _figure_estimate.DecayingSum(FAILURE_HALF_LIFE_S)
