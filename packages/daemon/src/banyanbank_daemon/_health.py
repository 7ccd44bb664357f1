"""Liveness for supervisors and readiness for balancers."""

import enum
import math
import typing

import attrs
import banyanbank_base as base
import banyanbank_web as web

OK = 200
UNAVAILABLE = 503
STALE_GRACE_S = 3.0
"""Seconds past freshness in which an instance stays ready.

A change of leader makes all instances stale at once for a moment, in which
requests wait; a balancer must not take them all out for that.
"""


class Scope(enum.Enum):
    """Which routes a balancer sends to the instance."""

    ALL = "all"
    """Keyed ones too: they need a fresh configuration."""
    OPEN = "open"
    """Only routes open to all, which go on without a leader."""


class Unready(enum.Enum):
    """Why an instance should get no request."""

    DRAINING = "draining"
    """It shuts down gracefully."""
    STARTING = "starting"
    """It has learned no configuration yet."""
    CONFIGURATION_STALE = "configuration-stale"
    """It has lost the leader: keyed requests are refused."""


@attrs.frozen
class Readiness:
    """Whether an instance should get requests."""

    reason: Unready | None
    """Why not; None when it is ready."""
    stale_for_s: float = 0.0
    """Seconds since the configuration was last surely in force."""

    @classmethod
    def of(
        cls, scope: Scope, is_draining: bool, fresh_until: float, now: float
    ) -> "Readiness":
        """Decides.

        Args:
            scope: What the balancer sends here.
            is_draining: Whether the instance shuts down.
            fresh_until: Monotonic seconds up to which the configuration is
                fresh; minus infinity before there is one.
            now: Monotonic seconds.
        """
        if is_draining:
            return cls(Unready.DRAINING)
        if math.isinf(fresh_until):
            return cls(Unready.STARTING)
        stale_for_s = max(0.0, now - fresh_until)
        if scope is Scope.ALL and stale_for_s > STALE_GRACE_S:
            return cls(Unready.CONFIGURATION_STALE, stale_for_s)
        return cls(None, stale_for_s)

    def to_document(self) -> dict[str, typing.Any]:
        """Returns the body of the answer."""
        return {
            "status": "ready" if self.reason is None else "unready",
            "reason": None if self.reason is None else self.reason.value,
            "stale_for_s": round(self.stale_for_s, 3),
        }


class HealthCalls:
    """Serves the checks of supervisors and balancers.

    Args:
        clock: Source of time.
        is_draining: Tells whether the instance shuts down.
        fresh_until: Gives the deadline of the configuration's freshness.
    """

    def __init__(
        self,
        clock: base.Clock,
        is_draining: typing.Callable[[], bool],
        fresh_until: typing.Callable[[], float],
    ) -> None:
        self._clock = clock
        self._is_draining = is_draining
        self._fresh_until = fresh_until

    async def healthz(self, exchange: web.Exchange) -> None:
        """Tells that the process works, also while it drains."""
        exchange.respond_json(OK, {"status": "ok"})

    async def readyz(self, exchange: web.Exchange) -> None:
        """Tells whether a balancer should send requests here."""
        try:
            scope = Scope(exchange.query("scope") or Scope.ALL.value)
        except ValueError:
            detail = "Parameter scope is all or open."
            exchange.refuse(
                base.Refusal(
                    base.RefusalReason.BAD_REQUEST, base.Outcome.NOT_RUN, detail
                )
            )
            return
        ready = Readiness.of(
            scope, self._is_draining(), self._fresh_until(), self._clock.now()
        )
        status = OK if ready.reason is None else UNAVAILABLE
        exchange.respond_json(status, ready.to_document())
