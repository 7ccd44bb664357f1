"""The listeners of an instance: callers and endpoints, and operators."""

import typing

import banyanbank_base as base
import banyanbank_web as web
from twisted.internet import defer
from twisted.internet import task

from banyanbank_daemon import _announcements
from banyanbank_daemon import _entry
from banyanbank_daemon import _health
from banyanbank_daemon import _settings

HANDSHAKE_S = 0.25
"""Seconds in which a handshake that has begun ends."""


def caller_routes(
    health: _health.HealthCalls,
    models: _entry.ModelCalls,
    trainers: _entry.RolloutCalls,
    endpoints: _announcements.EndpointCalls,
    services: _entry.ServiceCalls,
) -> list[web.Route]:
    """Returns the routes of the callers' listener.

    Paths that are no own route go to the declared plain services.
    """
    rollouts = "/v1/rollouts/{trainer}"
    return [
        web.Route("GET", "/healthz", health.healthz),
        web.Route("GET", "/readyz", health.readyz),
        web.Route("GET", "/v1/models", models.models),
        web.Route("POST", "/v1/chat/completions", models.chat_completions),
        web.Route("POST", "/v1/completions", models.completions),
        web.Route("POST", f"{rollouts}/groups", trainers.submit),
        web.Route("GET", f"{rollouts}/steps/{{step}}/batch", trainers.fetch),
        web.Route("POST", f"{rollouts}/steps/{{step}}/cancel", trainers.cancel),
        web.Route(
            "POST",
            f"{rollouts}/batches/{{batch...}}/acknowledge",
            trainers.acknowledge,
        ),
        web.Route(
            "POST",
            f"{rollouts}/batches/{{batch...}}/reject",
            trainers.reject,
        ),
        web.Route("POST", f"{rollouts}/versions", trainers.publish),
        web.Route("POST", "/endpoint/announce", endpoints.announce),
        web.Route("POST", "/endpoint/leave", endpoints.leave),
        web.Route("POST", "/endpoint/report", endpoints.report),
        web.Route("POST", "/endpoint/reclaim-notice", endpoints.reclaim_notice),
        web.Route("*", "/{path...}", services.serve),
    ]


class Listeners:
    """Opens and closes the listeners.

    Args:
        settings: Addresses and limits.
        reactor: Carries sockets.
        callers: Routes for callers and endpoints.
        operators: Routes for operators.
        new_request_id: Draws ids.
        caller_tls: TLS context factory of both listeners; None for plain HTTP.
        observe: Told of each request's route, status and seconds.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        reactor: typing.Any,
        callers: list[web.Route],
        operators: list[web.Route],
        new_request_id: typing.Callable[[], base.RequestId],
        caller_tls: typing.Any,
        observe: typing.Callable[[str, int, float], None],
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._tls = caller_tls
        limits = web.HttpLimits(max_body_bytes=settings.max_body_bytes)
        self._callers = web.LimitedSite(
            web.RouteTable(callers), limits, reactor, new_request_id, observe
        )
        self._operators = web.LimitedSite(
            web.RouteTable(operators),
            limits,
            reactor,
            new_request_id,
            observe,
        )
        self._ports: list[typing.Any] = []
        self.caller_port = 0
        self.operator_port = 0

    @property
    def exchanges(self) -> int:
        """Requests of callers in progress."""
        return self._callers.exchanges

    def start(self) -> None:
        """Opens both listeners."""
        settings = self._settings
        callers = self._open(settings.caller_port, self._callers)
        operators = self._open(settings.operator_port, self._operators)
        self.caller_port = callers.getHost().port
        self.operator_port = operators.getHost().port
        self._ports = [callers, operators]

    def _open(self, port: int, site: web.LimitedSite) -> typing.Any:
        host = self._settings.listen_host
        if self._tls is None:
            return self._reactor.listenTCP(port, site, interface=host)
        return self._reactor.listenSSL(port, site, self._tls, interface=host)

    def begin_closing(self) -> None:
        """Lets callers go elsewhere: each answer ends its connection."""
        self._callers.begin_closing()
        self._operators.begin_closing()

    async def stop_listening(self) -> None:
        """Takes no new connection; loses none that is being made."""
        ports, self._ports = self._ports, []
        for port in ports:
            web.keep_new_out(port.socket)
        if ports:
            # Handshakes that have begun end, and the loop accepts them.
            await task.deferLater(self._reactor, HANDSHAKE_S)
        for port in ports:
            await defer.maybeDeferred(port.stopListening)

    @property
    def connections(self) -> int:
        """Connections that are open on both listeners."""
        return self._callers.connections + self._operators.connections

    def close_idle(self) -> None:
        """Closes connections that have long been idle."""
        self._callers.close_idle()
        self._operators.close_idle()

    def close_connections(self) -> None:
        """Cuts every connection."""
        self._callers.abort_all()
        self._operators.abort_all()
