"""Permits for the requests to one endpoint at one rate."""

import collections
import math

import attrs

STATED_WINDOW_S = 4.0
"""Time over which permits exceed a stated rate by less than one request."""

STATED_BURST_S = 1.0
"""Time whose unused permits are kept for a burst at a stated rate."""

COLD_WINDOW_S = 1.0
"""Time over which permits keep to the rate of a cold endpoint."""

COLD_BURST = 3.0
"""Permits for a cold endpoint that are kept for a burst.

Permits that are used up to `MAX_PERMIT_AGE_S` (0.5 s) after they were granted
arrive at most at 1.5 times the rate in a second, plus this burst. Of the 5
requests that the rule allows in addition, two are left to reports and orders,
which are never refused.
"""

MAX_PERMIT_AGE_S = 0.5
"""Time after which a permit for a cold endpoint may no longer be used."""

MAX_RETRY_AFTER_S = 5.0
"""Longest time after which a caller is told to return."""

MAX_COLD_RETRY_AFTER_S = 1.0
"""The same for a cold endpoint, which may be warm by then; counted from when
its permits begin to accrue."""


@attrs.frozen
class BucketShape:
    """Bounds on the permits of a bucket."""

    rate_per_s: float
    """Permits a second."""
    max_tokens: float
    """Permits that are kept for a burst."""
    window_s: float
    """Sliding time over which requests are counted."""
    max_in_window: int
    """Requests in that time after which there are no permits."""
    max_retry_after_s: float
    """Longest time after which a caller is told to return."""


def shape_stated(rate_per_s: float) -> BucketShape:
    """Returns the bounds for an endpoint that states a rate limit."""
    return BucketShape(
        rate_per_s,
        max(1.0, STATED_BURST_S * rate_per_s),
        STATED_WINDOW_S,
        max(1, math.ceil(STATED_WINDOW_S * rate_per_s)),
        MAX_RETRY_AFTER_S,
    )


def shape_cold(rate_per_s: float) -> BucketShape:
    """Returns the bounds for a cold endpoint."""
    return BucketShape(
        rate_per_s,
        max(1.0, min(COLD_BURST, rate_per_s)),
        COLD_WINDOW_S,
        max(1, math.floor(COLD_WINDOW_S * rate_per_s)),
        MAX_COLD_RETRY_AFTER_S,
    )


@attrs.define
class Bucket:
    """Permits of one incarnation of an endpoint."""

    born_ms: int
    """Start of the incarnation, as Unix time in milliseconds."""
    shape: BucketShape
    """Bounds on the permits."""
    refilled_at: float
    """Time from which permits accrue next; may lie ahead."""
    tokens: float = 0.0
    """Permits that may be granted; negative after requests without one."""
    sent_at: collections.deque[float] = attrs.Factory(collections.deque)
    """Times of the requests in the window."""
    promised_at: float = 0.0
    """Latest time at which a refused caller was told to return."""

    def refill(self, shape: BucketShape, now: float) -> None:
        """Adds the permits of the time since the last refill.

        Args:
            shape: Bounds from now on.
            now: Current time.
        """
        elapsed_s = now - self.refilled_at
        if elapsed_s > 0:
            self.refilled_at = now
            self.tokens += elapsed_s * self.shape.rate_per_s
        self.tokens = min(self.tokens, self.shape.max_tokens, shape.max_tokens)
        self.shape = shape
        while self.sent_at and self.sent_at[0] <= now - shape.window_s:
            self.sent_at.popleft()

    def count_room(self) -> int:
        """Returns how many requests may be sent now."""
        window_room = self.shape.max_in_window - len(self.sent_at)
        return max(0, min(math.floor(self.tokens), window_room))

    def find_next_room(self) -> float:
        """Returns when the next request may be sent, if none is sent before."""
        missing_tokens = max(0.0, 1.0 - self.tokens)
        refilled_at = self.refilled_at + missing_tokens / self.shape.rate_per_s
        surplus = len(self.sent_at) - self.shape.max_in_window
        if surplus < 0:
            return refilled_at
        return max(refilled_at, self.sent_at[surplus] + self.shape.window_s)

    def find_next_turn(self) -> float:
        """Returns when the next refused caller is to return."""
        return max(
            self.find_next_room(),
            min(
                self.promised_at + 1.0 / self.shape.rate_per_s,
                self.refilled_at + self.shape.max_retry_after_s,
            ),
        )

    def charge(self, now: float) -> None:
        """Counts a request that is sent."""
        self.tokens -= 1.0
        self.sent_at.append(now)
