"""Item runs of a leader, with engines whose answers a test controls."""

import types
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_sender
from banyanbank_node import _item_runs
from banyanbank_node import _result_committer
import banyanbank_web as web
from returns import result
from twisted.internet import defer

SLOTS = 2

STALE = "stale"
"""Detail of the loss of a kept connection that was idle before."""

WITHHELD = "withheld"
"""Detail of a request that the leader itself did not send."""


COMPOSER: typing.Any = types.SimpleNamespace(compose=lambda target, req: req)
"""Stands in for a `RequestComposer`: a fake client gets what a fake adapter
built."""


@attrs.define(eq=False)
class SentRequest:
    """Request that an engine has received."""

    item: jobs.ItemProgress
    """Item to run."""
    engine: base.EndpointId
    """Engine that received the request."""
    answered: defer.Deferred[typing.Any]
    """Fires with the answer."""
    is_cancelled: bool = False
    """Whether the leader cancelled the request."""


class FakeEngines:
    """Fake of the wire protocol, the HTTP client and the engine table.

    Args:
        names: Names of the engines.
        services: Service of each engine that is not in `engines`, by name.
    """

    def __init__(
        self, *names: str, services: dict[str, str] | None = None
    ) -> None:
        self.names = [base.EndpointId(name) for name in names]
        self._services = services or {}
        self.sent: list[SentRequest] = []

    def views(self) -> list[jobs.EngineView]:
        """Returns all engines as idle, with weight version 99 of the model."""
        return [
            jobs.EngineView(
                name,
                self._services.get(name, "engines"),
                SLOTS,
                {"m": 99},
            )
            for name in self.names
        ]

    def get(self, endpoint: base.EndpointId) -> typing.Any:
        """Returns a fake announcement of an endpoint."""
        return types.SimpleNamespace(
            endpoint=endpoint,
            born_ms=1,
            address="127.0.0.1:1",
            domain=base.FailureDomain("zone"),
            is_cold=False,
        )

    def build_item_request(
        self, item: jobs.ItemProgress, target: typing.Any, *rest: float
    ) -> typing.Any:
        """Returns a fake request: the item and its engine."""
        del rest
        return item, target.endpoint

    async def send(
        self, req: typing.Any
    ) -> result.Result[typing.Any, web.UpstreamError]:
        """Waits until the test answers or the leader cancels."""
        item, engine = req
        sent = SentRequest(item, engine, defer.Deferred())
        self.sent.append(sent)
        try:
            return result.Success(await sent.answered)
        except defer.CancelledError:
            sent.is_cancelled = True
            return result.Failure(
                web.UpstreamError(base.Outcome.MAY_HAVE_RUN, "cancelled")
            )
        except ConnectionError as exc:
            return result.Failure(
                web.UpstreamError(
                    base.Outcome.NOT_RUN
                    if str(exc) == WITHHELD
                    else base.Outcome.MAY_HAVE_RUN,
                    str(exc),
                    is_stale_connection=str(exc) == STALE,
                    is_withheld=str(exc) == WITHHELD,
                )
            )

    def close_idle(self, url: str) -> None:
        """Does nothing: the fake keeps no connections."""

    def waiting(self) -> list[SentRequest]:
        """Returns the requests that are in flight."""
        return [
            sent
            for sent in self.sent
            if not sent.answered.called and not sent.is_cancelled
        ]


class Leader:
    """Leader with item runs and a ledger, without sockets.

    Args:
        engines: Engines that run items.
    """

    def __init__(self, engines: FakeEngines) -> None:
        self.engines = engines
        self.clock = base.ManualClock(10.0)
        self.ledger = jobs.Ledger()
        self.events: list[tuple[str, dict[str, typing.Any]]] = []
        stored = types.SimpleNamespace(
            ledger=self.ledger,
            has_lease=True,
            propose=self._propose,
            table=gateway.RouteTable(
                make_document(gateway.Target("engines", 1.0))
            ),
        )
        self.stored = stored
        events = _as_any(types.SimpleNamespace(write=self._write))
        true_time = gateway.SyncedClock(self.clock)
        self.runs = _item_runs.ItemRuns(
            self.clock,
            _as_any(stored),
            true_time,
            _endpoint_sender.EndpointSender(
                _as_any(engines),
                lambda: self.ledger.evacuations,
                COMPOSER,
            ),
            _as_any(engines),
            _as_any(engines),
            _as_any(None),
            _result_committer.ResultCommitter(
                _as_any(None),
                self.clock,
                _as_any(stored),
                events,
                _as_any(
                    types.SimpleNamespace(
                        items=types.SimpleNamespace(record=lambda *rest: None)
                    )
                ),
            ),
            events,
            _as_any(None),
            _endpoint_limits.EndpointLimits(self.clock, true_time, events),
            _as_any(types.SimpleNamespace(charge=lambda target: None)),
            _as_any(types.SimpleNamespace(observe=lambda *rest: None)),
        )

    def configure(self, *targets: gateway.Target) -> None:
        """Puts a document in force whose route has the given targets."""
        self.stored.table = gateway.RouteTable(make_document(*targets))

    def accept(self, job: jobs.Job) -> None:
        """Commits a job."""
        self._apply(jobs.AcceptJob(job))

    def end(self, job: jobs.Job) -> None:
        """Commits the end of a job."""
        self._apply(jobs.EndJob(job.job, job.account))

    def order(self, command: jobs.Command) -> None:
        """Commits a command."""
        self._apply(command)

    def _apply(self, command: jobs.Command) -> None:
        self.ledger.apply(1, jobs.COMMAND_CODEC.encode(command))
        self.runs.handle_committed(command)

    async def _propose(
        self, command: jobs.Command
    ) -> result.Result[jobs.Reply, typing.Any]:
        self._apply(command)
        return result.Success(jobs.Applied(is_new=True))

    def _write(self, event: str, **fields: typing.Any) -> None:
        self.events.append((event, fields))


def make_rollout_route(
    *targets: gateway.Target, prefix: str = "/route/"
) -> gateway.Route:
    """Returns a rollout route; by default that of the sample jobs."""
    return gateway.Route(
        name=prefix.strip("/"),
        host="host.example",
        prefix=prefix,
        kind=gateway.RouteKind.ROLLOUT,
        targets=targets,
        timeout_s=10.0,
        objective_s=0.4,
        max_attempts=3,
        is_public=True,
    )


def make_document(*targets: gateway.Target) -> gateway.Document:
    """Returns a document with a route of the given targets and another one.

    The other route has engines of its own; without targets, it is the only one.
    """
    other_target = gateway.Target("other", 1.0)
    routes = [make_rollout_route(other_target, prefix="/other/")]
    if targets:
        routes.append(make_rollout_route(*targets))
    return gateway.Document(1, tuple(routes), {}, gateway.Limits(), None)


def _as_any(value: object) -> typing.Any:
    return value
