"""Leader duty that reports usage, orders endpoints and cleans up state."""

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

DECISION_INTERVAL_S = 0.25
COMMIT_TIMEOUT_S = 5.0

Members = typing.Callable[[], typing.Iterable[control.Member]]
Reports = typing.Callable[[], control.EngineReports]
Announcements = typing.Callable[[], tuple[control.Announcement, ...]]
Drain = typing.Callable[[frozenset[base.EndpointId]], None]


@attrs.frozen
class PlatformUrls:
    """URLs of the platform services; None for a service not configured."""

    orders: str | None
    """URL that endpoint orders are sent to."""
    usage: str | None
    """URL that usage reports are sent to."""


@attrs.frozen
class _EpochState:
    """Planners of one leader epoch; each new epoch starts with new ones."""

    epoch: int
    usage_reporter: control.UsageReporter
    order_planner: control.OrderPlanner
    loss_recorder: control.LossRecorder
    intent_expirer: control.IntentExpirer
    endpoints: control.EndpointPlanner


class OfficeDuty:
    """Runs the periodic platform and clean-up work of the leader.

    Closes and reports usage windows, orders endpoints, records lost instances
    and expires intents.

    Args:
        clock: Source of monotonic and Unix time.
        node: Consensus log of this instance.
        machine: State machine of this instance.
        plane: Proposes commands.
        platform: Client for endpoint orders and usage reports.
        urls: Destinations of orders and reports.
        members: Returns the instances that the leader hears from.
        announcements: Returns the current endpoint announcements.
        drain: Called with the endpoints that get no new work.
        scale_down_after_s: Seconds that a lower need lasts before endpoints
            are released.
        reports: Returns the loads of the engines.
        recorder: Recorder of timeline events.
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
        announcements: Announcements,
        drain: Drain,
        scale_down_after_s: float,
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
        self._announcements = announcements
        self._drain_endpoints = drain
        self._scale_down_after_s = scale_down_after_s
        self._reports = reports
        self._recorder = recorder
        self._epoch_state: _EpochState | None = None
        self._due_at = 0.0

    def tick(self) -> None:
        """Performs due work, at most once per decision interval."""
        now = self._clock.now()
        if now < self._due_at:
            return
        self._due_at = now + DECISION_INTERVAL_S
        epoch_state = self._ensure_epoch_state(now)
        state = self._machine.state
        wall = self._clock.wall()
        effects = [
            *epoch_state.usage_reporter.decide(state.usage, now, wall),
            *epoch_state.loss_recorder.decide(state, self._members(), now),
            *epoch_state.intent_expirer.decide(state.intents, now, wall),
            *self._decide_orders(epoch_state, state, now),
        ]
        for effect in effects:
            self._perform(epoch_state, effect)

    def stop(self) -> None:
        """Discards the planners of the epoch."""
        self._epoch_state = None

    def _ensure_epoch_state(self, now: float) -> _EpochState:
        epoch = self._node.epoch
        if self._epoch_state is None or self._epoch_state.epoch != epoch:
            self._epoch_state = _EpochState(
                epoch,
                control.UsageReporter(epoch),
                control.OrderPlanner(epoch),
                control.LossRecorder(now),
                control.IntentExpirer(),
                control.EndpointPlanner(now, self._scale_down_after_s),
            )
        return self._epoch_state

    def _decide_orders(
        self, epoch_state: _EpochState, state: control.ControlState, now: float
    ) -> tuple[control.Effect, ...]:
        if self._urls.orders is None:
            return ()
        announcements = self._announcements()
        reports = self._reports()
        inputs = control.PlanInputs(
            capacities=state.config.capacities(),
            offers=state.config.offers(),
            announced=announcements,
            live=tuple(state.orders.live.values()),
            reports=reports,
            ledger=state.rollouts,
            avoided=epoch_state.order_planner.avoided(now),
        )
        plan = epoch_state.endpoints.plan(inputs, now)
        self._drain_endpoints(plan.draining)
        announced_endpoints = {
            announcement.endpoint for announcement in announcements
        }
        reports.retain(announced_endpoints, now)
        serving = {
            announcement.endpoint
            for announcement in announcements
            if announcement.phase is control.Phase.SERVING
        }
        return epoch_state.order_planner.decide(
            state.orders, plan.requests, serving, now
        )

    def _perform(
        self, epoch_state: _EpochState, effect: control.Effect
    ) -> None:
        match effect:
            case control.Propose():
                self._spawn(self._propose(effect))
            case control.SendReport() if self._urls.usage is not None:
                self._spawn(
                    self._send_report(epoch_state, effect, self._urls.usage)
                )
            case control.SendOrder() if self._urls.orders is not None:
                self._spawn(
                    self._send_order(epoch_state, effect, self._urls.orders)
                )

    async def _propose(self, effect: control.Propose) -> None:
        await self._plane.propose(
            effect.command, self._clock.now() + COMMIT_TIMEOUT_S
        )

    async def _send_report(
        self, epoch_state: _EpochState, effect: control.SendReport, url: str
    ) -> None:
        sent = await self._platform.send_report(url, effect)
        if isinstance(sent, result.Failure):
            logger.warning(
                "sending a usage report failed: {}", sent.failure().detail
            )
            return
        self._recorder.record(
            "usage.reported",
            epoch=effect.fencing_token,
            detail=f"window={effect.report.window}",
        )
        await self._propose(
            epoch_state.usage_reporter.build_delivery_proposal(effect.report)
        )

    async def _send_order(
        self, epoch_state: _EpochState, effect: control.SendOrder, url: str
    ) -> None:
        sent = await self._platform.send_order(url, effect)
        if isinstance(sent, result.Failure):
            logger.warning(
                "sending an endpoint order failed: {}", sent.failure().detail
            )
            return
        self._recorder.record(
            "order.sent",
            epoch=effect.fencing_token,
            detail=f"order={effect.order.number}",
        )
        await self._propose(
            epoch_state.order_planner.build_result_proposal(sent.unwrap())
        )

    def _spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        _background.start(coroutine, "platform duty of the leader")
