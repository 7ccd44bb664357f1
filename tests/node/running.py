"""A leader's item runs with engines that answer when a test says so."""

import types
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _item_runs
import banyanbank_web as web
from returns import result
from twisted.internet import defer

SLOTS = 2


@attrs.define(eq=False)
class Sent:
    """A request that an engine has got."""

    item: jobs.ItemProgress
    """What it is to run."""
    engine: base.EndpointId
    """The engine."""
    answered: defer.Deferred[typing.Any]
    """Fires with the answer."""
    is_cancelled: bool = False
    """Whether the leader has given it up."""


class ManualEngines:
    """Stands for the wire, the HTTP client and the table of engines.

    Args:
        names: Names of the engines.
    """

    def __init__(self, *names: str) -> None:
        self.names = [base.EndpointId(name) for name in names]
        self.sent: list[Sent] = []

    def views(self) -> list[jobs.EngineView]:
        """Returns all engines as idle ones with every version."""
        return [
            jobs.EngineView(name, "engines", SLOTS, {"m": 99})
            for name in self.names
        ]

    def get(self, endpoint: base.EndpointId) -> typing.Any:
        """Returns what stands for an announcement."""
        return types.SimpleNamespace(endpoint=endpoint)

    def run_item(
        self, item: jobs.ItemProgress, to: typing.Any, *rest: float
    ) -> typing.Any:
        """Returns what stands for a request."""
        del rest
        return item, to.endpoint

    async def send(
        self, req: typing.Any
    ) -> result.Result[typing.Any, web.UpstreamError]:
        """Waits for the answer, as the HTTP client does."""
        item, engine = req
        sent = Sent(item, engine, defer.Deferred())
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
                web.UpstreamError(base.Outcome.MAY_HAVE_RUN, str(exc))
            )

    def waiting(self) -> list[Sent]:
        """Returns the requests that have no answer yet."""
        return [
            sent
            for sent in self.sent
            if not sent.answered.called and not sent.is_cancelled
        ]


class Leader:
    """Item runs over a ledger, without sockets.

    Args:
        engines: Engines that run items.
    """

    def __init__(self, engines: ManualEngines) -> None:
        self.engines = engines
        self.clock = base.ManualClock(10.0)
        self.ledger = jobs.Ledger()
        self.events: list[tuple[str, dict[str, typing.Any]]] = []
        stored = types.SimpleNamespace(
            ledger=self.ledger,
            leads=True,
            propose=self._propose,
            table=gateway.RouteTable(_document()),
        )
        self.stored = stored
        self.runs = _item_runs.ItemRuns(
            self.clock,
            _any(stored),
            gateway.TrueTime(self.clock),
            _any(engines),
            _any(engines),
            _any(engines),
            _any(None),
            _any(None),
            _any(types.SimpleNamespace(write=self._write)),
            _any(None),
        )

    def accept(self, job: jobs.Job) -> None:
        """Commits a job."""
        self._apply(jobs.AcceptJob(job))

    def end(self, job: jobs.Job) -> None:
        """Commits the end of a job."""
        self._apply(jobs.EndJob(job.job, job.account))

    def _apply(self, command: jobs.Command) -> None:
        self.ledger.apply(1, jobs.COMMAND_CODEC.encode(command))
        self.runs.committed(command)

    async def _propose(
        self, command: jobs.Command
    ) -> result.Result[jobs.Reply, typing.Any]:
        self._apply(command)
        return result.Success(jobs.Applied(is_new=True))

    def _write(self, event: str, **fields: typing.Any) -> None:
        self.events.append((event, fields))


def _document() -> gateway.Document:
    route = gateway.Route(
        name="rollouts",
        host="host.example",
        prefix="/route/",
        kind=gateway.RouteKind.ROLLOUT,
        targets=(gateway.Target("engines", 1.0),),
        timeout_s=10.0,
        objective_s=0.4,
        max_attempts=3,
        is_public=True,
    )
    return gateway.Document(1, (route,), {}, gateway.Limits(), None)


def _any(value: object) -> typing.Any:
    return value
