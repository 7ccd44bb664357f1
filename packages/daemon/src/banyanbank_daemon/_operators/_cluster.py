"""Calls about instances: status, metrics, time line, drain, voters."""

import json
import typing

import banyanbank_base as base
import banyanbank_web as web
from banyanbank_web import metrics
from twisted.internet import task

from banyanbank_daemon import _timeline_calls
from banyanbank_daemon import _voters
from banyanbank_daemon._operators import _desk

OK = 200
GATHER_S = 10.0

StatusSource = typing.Callable[
    [list[base.InstanceId]],
    typing.Coroutine[typing.Any, typing.Any, dict[str, typing.Any]],
]
Peers = typing.Callable[[], list[base.InstanceId]]
Drain = typing.Callable[
    [base.InstanceId], typing.Coroutine[typing.Any, typing.Any, bool]
]


class ClusterCalls:
    """Shows and steers instances.

    Args:
        clock: Clock that deadlines are told on.
        desk: Admits operators.
        metrics: Metrics of this instance.
        refresh: Brings metrics up to date that are counted elsewhere.
        status: Returns the status document, with the figures of the
            instances given besides this one.
        timeline: Gathers time line events.
        peers: Returns all instances known.
        drain: Asks an instance to shut down gracefully.
        voters: Changes the voters of the log.
    """

    def __init__(
        self,
        clock: base.Clock,
        desk: _desk.Desk,
        metrics: metrics.MetricsRegistry,
        refresh: typing.Callable[[], None],
        status: StatusSource,
        timeline: _timeline_calls.TimelineCalls,
        peers: Peers,
        drain: Drain,
        voters: _voters.VoterChanges,
    ) -> None:
        self._clock = clock
        self._desk = desk
        self._metrics = metrics
        self._refresh = refresh
        self._status = status
        self._timeline = timeline
        self._peers = peers
        self._drain = drain
        self._voters = voters

    def routes(self) -> list[web.Route]:
        """Returns the routes of these calls."""
        voters = "/operator/voters/{instance}"
        return [
            web.Route("GET", "/metrics", self.metrics),
            web.Route("GET", "/operator/status", self.status),
            web.Route("GET", "/operator/timeline", self.timeline),
            web.Route("POST", "/operator/drain/{instance}", self.drain),
            web.Route("POST", f"{voters}/add", self.add_voter),
            web.Route("POST", f"{voters}/remove", self.remove_voter),
        ]

    async def metrics(self, exchange: web.Exchange) -> None:
        """Shows the metrics in the text exposition format."""
        self._refresh()
        lines: list[str] = []
        # Quantiles take time; the loop turns between the lines.
        await task.cooperate(_gather(self._metrics.lines(), lines)).whenDone()
        text = "".join(lines).encode()
        exchange.respond(OK, text, b"text/plain; version=0.0.4")

    async def status(self, exchange: web.Exchange) -> None:
        """Shows instances, roles, leases, revisions, endpoints, queues.

        With `scope=instance` no other instance is asked for its figures, so
        that a silent one delays nothing.
        """
        if not self._desk.admits(exchange):
            return
        peers = [] if exchange.query("scope") == "instance" else self._peers()
        exchange.respond_json(OK, await self._status(peers))

    async def timeline(self, exchange: web.Exchange) -> None:
        """Shows events, filtered by the query; `scope=all` asks everybody."""
        if not self._desk.admits(exchange):
            return
        fields = {
            name: exchange.query(name) for name in _timeline_calls.QUERY_FIELDS
        }
        peers = self._peers() if exchange.query("scope") == "all" else []
        gathered = await self._timeline.gather(
            _timeline_calls.read_query(fields),
            peers,
            self._clock.now() + GATHER_S,
        )
        body = json.dumps(gathered.to_document()).encode()
        exchange.respond(OK, body)

    async def drain(self, exchange: web.Exchange) -> None:
        """Asks an instance to shut down gracefully."""
        if not self._desk.admits(exchange):
            return
        instance = base.InstanceId(exchange.parameters["instance"])
        if await self._drain(instance):
            exchange.respond_json(OK, {"instance": instance})
        else:
            exchange.refuse(
                base.Refusal(
                    base.RefusalReason.NOT_FOUND,
                    base.Outcome.NOT_RUN,
                    f"Instance {instance!r} could not be reached.",
                )
            )

    async def add_voter(self, exchange: web.Exchange) -> None:
        """Makes an instance with a data folder a voter, once caught up."""
        await self._change_voter(exchange, is_added=True)

    async def remove_voter(self, exchange: web.Exchange) -> None:
        """Takes an instance out of the voters."""
        await self._change_voter(exchange, is_added=False)

    async def _change_voter(
        self, exchange: web.Exchange, is_added: bool
    ) -> None:
        if not self._desk.admits(exchange):
            return
        instance = exchange.parameters["instance"]
        change = _voters.VoterChange(instance, is_added)
        answer = await self._voters.change(change)
        if answer.is_accepted:
            exchange.respond_json(OK, {"instance": instance})
        else:
            exchange.refuse(
                base.Refusal(
                    base.RefusalReason.CONFLICT,
                    base.Outcome.MAY_HAVE_RUN,
                    f"The voters were not changed: {answer.detail}",
                )
            )


def _gather(
    source: typing.Iterator[str], lines: list[str]
) -> typing.Iterator[None]:
    """Moves one line at each step."""
    for line in source:
        lines.append(line)
        yield None
