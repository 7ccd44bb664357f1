"""Authenticates requests, with a bounded wait for a fresh configuration."""

import typing

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web
from returns import result
from twisted.internet import task

STALE_CONFIGURATION_TIMEOUT_S = 1.5
STALE_CONFIGURATION_POLL_S = 0.05
BEARER_PREFIX = "bearer "


def bearer_secret(exchange: web.Exchange) -> str | None:
    """Returns the API key of the Authorization header, or None."""
    value = exchange.header("authorization")
    if value.lower().startswith(BEARER_PREFIX):
        return value[len(BEARER_PREFIX) :].strip()
    return None


class Admission:
    """Authenticates the requests that this instance receives.

    While the configuration is stale, a request waits for the next poll, within
    a time limit, before it is refused, so that a change of leader delays
    requests instead of failing them.

    Args:
        reactor: Twisted reactor for timers.
        clock: Monotonic clock of the deadlines.
        authenticator: Checks keys and routes against the configuration.
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
        """Authenticates a request by its API key.

        Returns:
            The client account and key, or the reason for the refusal.
        """
        secret = bearer_secret(exchange)
        return await self._retry_while_stale(
            lambda: self.authenticator.authenticate(secret, self._clock.now()),
            deadline,
        )

    async def admit_route(
        self, exchange: web.Exchange, path: str, deadline: float
    ) -> result.Result[control.Admission, base.Refusal]:
        """Finds the route of a service request and checks access to it."""
        secret = bearer_secret(exchange)
        return await self._retry_while_stale(
            lambda: self.authenticator.admit(path, secret, self._clock.now()),
            deadline,
        )

    async def _retry_while_stale(
        self,
        decide: typing.Callable[[], result.Result[typing.Any, base.Refusal]],
        deadline: float,
    ) -> result.Result[typing.Any, base.Refusal]:
        give_up_at = min(
            deadline, self._clock.now() + STALE_CONFIGURATION_TIMEOUT_S
        )
        while True:
            decision = decide()
            if not _is_stale(decision) or self._clock.now() >= give_up_at:
                return decision
            await task.deferLater(self._reactor, STALE_CONFIGURATION_POLL_S)


def _is_stale(decision: result.Result[typing.Any, base.Refusal]) -> bool:
    if isinstance(decision, result.Success):
        return False
    stale = base.RefusalReason.CONFIGURATION_STALE
    return decision.failure().reason is stale
