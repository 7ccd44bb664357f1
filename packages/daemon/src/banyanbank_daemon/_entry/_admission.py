"""Decides whose request it is; waits a little for a fresh configuration."""

import typing

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web
from returns import result
from twisted.internet import task

FRESHNESS_WAIT_S = 1.5
FRESHNESS_PAUSE_S = 0.05
BEARER = "bearer "


def bearer_secret(exchange: web.Exchange) -> str | None:
    """Returns the key that came with a request; None when none did."""
    value = exchange.header("authorization")
    if value.lower().startswith(BEARER):
        return value[len(BEARER) :].strip()
    return None


class Admission:
    """Authenticates requests at an entry.

    A request that meets a stale configuration waits for the next poll, within
    bounds, before it is refused: a change of leader then costs a delay and no
    refusal.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        authenticator: Holds the configuration.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        authenticator: control.Authenticator,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self.authenticator = authenticator

    async def authenticate(
        self, exchange: web.Exchange, deadline: float
    ) -> result.Result[control.Principal, base.Refusal]:
        """Finds the client account of a keyed request."""
        secret = bearer_secret(exchange)
        return await self._retry_stale(
            lambda: self.authenticator.authenticate(secret, self._clock.now()),
            deadline,
        )

    async def admit_route(
        self, exchange: web.Exchange, path: str, deadline: float
    ) -> result.Result[control.Admission, base.Refusal]:
        """Decides on a request to a plain service."""
        secret = bearer_secret(exchange)
        return await self._retry_stale(
            lambda: self.authenticator.admit(path, secret, self._clock.now()),
            deadline,
        )

    async def _retry_stale(
        self,
        decide: typing.Callable[[], result.Result[typing.Any, base.Refusal]],
        deadline: float,
    ) -> result.Result[typing.Any, base.Refusal]:
        give_up_at = min(deadline, self._clock.now() + FRESHNESS_WAIT_S)
        while True:
            decided = decide()
            if not _is_stale(decided) or self._clock.now() >= give_up_at:
                return decided
            await task.deferLater(self._reactor, FRESHNESS_PAUSE_S)


def _is_stale(decided: result.Result[typing.Any, base.Refusal]) -> bool:
    if isinstance(decided, result.Success):
        return False
    stale = base.RefusalReason.CONFIGURATION_STALE
    return decided.failure().reason is stale
