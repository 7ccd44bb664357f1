"""The leader's duties towards the platform and the log's upkeep."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control
from loguru import logger
from returns import result

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane
from banyanbank_daemon import _platform

DECIDE_S = 0.25
COMMIT_S = 5.0

Members = typing.Callable[[], typing.Iterable[control.Member]]
Reports = typing.Callable[[], control.EngineReports]
Announced = typing.Callable[[], tuple[control.Announcement, ...]]
Drain = typing.Callable[[frozenset[base.EndpointId]], None]


@attrs.frozen
class PlatformUrls:
    """Where the platform's services are; None where there is none."""

    orders: str | None
    """Takes endpoint orders."""
    usage: str | None
    """Takes usage reports."""


@attrs.frozen
class _Office:
    """Decisions of one epoch; a new epoch starts with new ones."""

    epoch: int
    reporter: control.UsageReporter
    planner: control.OrderPlanner
    losses: control.LossRecorder
    expirer: control.IntentExpirer
    endpoints: control.EndpointPlanner


class OfficeDuty:
    """Closes windows, reports, orders, notes losses, forgets intents.

    Args:
        clock: Source of time.
        node: The log here.
        machine: State machine here.
        plane: Commits commands.
        platform: Sends orders and reports.
        urls: Where to.
        members: Instances heard by the leader.
        announced: Endpoints that announce themselves.
        drain: Takes the endpoints that get no new work.
        lower_after_s: Seconds before endpoints are given back.
        reports: Loads of the engines.
        recorder: Takes time line events.
    """

    def __init__(
        self,
        clock: base.Clock,
        node: consensus.LogNode,
        machine: control.ControlMachine,
        plane: _control_plane.ControlPlane,
        platform: _platform.PlatformClient,
        urls: PlatformUrls,
        members: Members,
        announced: Announced,
        drain: Drain,
        lower_after_s: float,
        reports: Reports,
        recorder: base.Recorder,
    ) -> None:
        self._clock = clock
        self._node = node
        self._machine = machine
        self._plane = plane
        self._platform = platform
        self._urls = urls
        self._members = members
        self._announced = announced
        self._drain = drain
        self._lower_after_s = lower_after_s
        self._reports = reports
        self._recorder = recorder
        self._office: _Office | None = None
        self._due_at = 0.0

    def tick(self) -> None:
        """Does what is due."""
        now = self._clock.now()
        if now < self._due_at:
            return
        self._due_at = now + DECIDE_S
        office = self._current(now)
        state = self._machine.state
        wall = self._clock.wall()
        effects = [
            *office.reporter.decide(state.usage, now, wall),
            *office.losses.decide(state, self._members(), now),
            *office.expirer.decide(state.intents, now, wall),
            *self._decide_orders(office, state, now),
        ]
        for effect in effects:
            self._perform(office, effect)

    def stop(self) -> None:
        """Ends the office."""
        self._office = None

    def _current(self, now: float) -> _Office:
        epoch = self._node.epoch
        if self._office is None or self._office.epoch != epoch:
            self._office = _Office(
                epoch,
                control.UsageReporter(epoch),
                control.OrderPlanner(epoch),
                control.LossRecorder(now),
                control.IntentExpirer(),
                control.EndpointPlanner(now, self._lower_after_s),
            )
        return self._office

    def _decide_orders(
        self, office: _Office, state: control.ControlState, now: float
    ) -> tuple[control.Effect, ...]:
        if self._urls.orders is None:
            return ()
        announced = self._announced()
        reports = self._reports()
        around = control.PlanInputs(
            capacities=state.config.capacities(),
            offers=state.config.offers(),
            announced=announced,
            live=tuple(state.orders.live.values()),
            reports=reports,
            ledger=state.rollouts,
            avoided=office.planner.avoided(now),
        )
        plan = office.endpoints.plan(around, now)
        self._drain(plan.draining)
        known = {one.endpoint for one in announced}
        reports.keep(known, now)
        serving = {
            one.endpoint
            for one in announced
            if one.phase is control.Phase.SERVING
        }
        return office.planner.decide(state.orders, plan.requests, serving, now)

    def _perform(self, office: _Office, effect: control.Effect) -> None:
        match effect:
            case control.Propose():
                self._spawn(self._propose(effect))
            case control.SendReport() if self._urls.usage is not None:
                self._spawn(self._report(office, effect, self._urls.usage))
            case control.SendOrder() if self._urls.orders is not None:
                self._spawn(self._order(office, effect, self._urls.orders))

    async def _propose(self, effect: control.Propose) -> None:
        await self._plane.propose(effect.command, self._clock.now() + COMMIT_S)

    async def _report(
        self, office: _Office, effect: control.SendReport, url: str
    ) -> None:
        sent = await self._platform.send_report(url, effect)
        if isinstance(sent, result.Failure):
            logger.warning("usage report: {}", sent.failure().detail)
            return
        self._recorder.record(
            "usage.reported",
            epoch=effect.fencing_token,
            detail=f"window={effect.report.window}",
        )
        await self._propose(office.reporter.on_reported(effect.report))

    async def _order(
        self, office: _Office, effect: control.SendOrder, url: str
    ) -> None:
        sent = await self._platform.send_order(url, effect)
        if isinstance(sent, result.Failure):
            logger.warning("endpoint order: {}", sent.failure().detail)
            return
        self._recorder.record(
            "order.sent",
            epoch=effect.fencing_token,
            detail=f"order={effect.order.number}",
        )
        await self._propose(office.planner.on_result(sent.unwrap()))

    def _spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        _background.start(coroutine, "a duty of the leader")
