"""Decides which item runs where, and when; knows no sockets.

The item goes first that must begin soonest to be whole when its job is due: one
of a long text before the short ones of an earlier job, since a stream cannot be
made faster than its engine. Items of one group
share the beginning of their prompt and go to the same engine while it has a
free slot. Where a trainer goes on before all groups are complete, the groups
that it is not expected to wait for go last: on a loaded day that is a tenth of
the work.
"""

import collections
import collections.abc
import enum

import attrs
import banyanbank_base as base

from banyanbank_jobs import _engines
from banyanbank_jobs import _event_stream
from banyanbank_jobs import _groups
from banyanbank_jobs import _ledger
from banyanbank_jobs import _lengths
from banyanbank_jobs import _records

LOAD_COST = 0.5
"""Cost of a full engine, in multiples of the pace of an idle one."""

COLD_COST = 0.25
"""Cost of reading a prompt that another engine holds, in the same unit."""

RETRY_S = 0.05
"""Seconds before an item that was refused is placed again; doubles."""

MOST_REFUSALS = 3
"""Refusals in a row after which the pause grows no more."""

MOVE_GAIN = 0.6
"""An item moves to an engine whose pace is below this share of its own's."""

SETTLE_RUN_S = 0.5
"""Seconds that a run goes on before it may move."""

RANK_S = 0.5
"""Seconds by which an item of a more urgent route goes before another."""

RETRY_FAILED_S = 0.2
"""Seconds before an item that failed is placed again."""

ItemKey = tuple[str, str]
"""Ids of the job and of the item."""


class Stage(enum.Enum):
    """Where an item is."""

    WAITING = "waiting"
    """It waits for an engine."""
    RUNNING = "running"
    """An engine generates its text."""
    GRADING = "grading"
    """The text is whole; its scorer is asked."""
    LISTING = "listing"
    """Its result is being committed."""


@attrs.define(eq=False)
class ItemProgress:
    """An item that has no result yet."""

    job: _records.Job
    """Its job."""
    spec: _records.JobItem
    """What to run."""
    text: _event_stream.ItemText = attrs.Factory(_event_stream.ItemText)
    """Text so far."""
    stage: Stage = Stage.WAITING
    """Where it is."""
    engine: base.EndpointId | None = None
    """Engine that runs it."""
    not_before: float = 0.0
    """When it may be placed again."""
    failures: int = 0
    """Runs that the engine answered with a failure of its own."""
    scorer_failures: int = 0
    """Answers of the scorer that were failures."""
    kept_events: int = 0
    """Events of its text that are durable."""
    refusals: int = 0
    """Times in a row that an engine said it did not run it."""
    began_at: float = 0.0
    """When its present run began."""
    is_spare: bool = False
    """Whether its trainer is expected to go on without its group."""

    @property
    def key(self) -> ItemKey:
        """Names the item among all jobs."""
        return (self.job.job, self.spec.item)


@attrs.frozen
class Placement:
    """An item that is to be started."""

    item: ItemProgress
    """The item."""
    engine: base.EndpointId
    """Where to start it."""


class Scheduler:
    """Keeps the items without a result and places them on engines.

    Args:
        health: What is known of the engines' speed.
    """

    def __init__(self, health: _engines.EngineHealth) -> None:
        self._health = health
        self._items: dict[ItemKey, ItemProgress] = {}
        self._running: dict[base.EndpointId, set[ItemKey]] = (
            collections.defaultdict(set)
        )
        self._prefixes: dict[tuple[str, str], base.EndpointId] = {}
        self._unfinished: dict[str, frozenset[str]] = {}
        self._lengths = _lengths.LengthEstimate()

    def __len__(self) -> int:
        return len(self._items)

    def add_job(self, state: _ledger.JobState) -> None:
        """Takes in the items of a job that have no result."""
        if not state.is_open:
            return
        spare = _groups.spare_groups(
            state.job,
            state.listed,
            self._unfinished.get(state.job.model, frozenset()),
        )
        for spec in state.job.items:
            key = (state.job.job, spec.item)
            if spec.item in state.listed or key in self._items:
                continue
            item = ItemProgress(state.job, spec, is_spare=spec.group in spare)
            kept = state.kept.get(spec.item)
            if kept is not None and kept.pieces:
                item.text = _event_stream.ItemText.resume(
                    kept.first_event, kept.pieces, kept.versions
                )
                item.kept_events = len(kept.pieces)
            self._items[key] = item

    def end_job(self, job: str) -> list[ItemProgress]:
        """Drops the items of a job and returns them."""
        ended = [item for item in self._items.values() if item.job.job == job]
        if ended:
            # Its trainer may ask for these groups again in a later job.
            self._unfinished[ended[0].job.model] = frozenset(
                item.spec.group for item in ended
            )
        for item in ended:
            self.drop(item)
        return ended

    def clear(self) -> list[ItemProgress]:
        """Drops all items, since another store leads, and returns them."""
        items = list(self._items.values())
        self._items.clear()
        self._running.clear()
        self._prefixes.clear()
        return items

    def drop(self, item: ItemProgress) -> None:
        """Forgets an item that has a result or needs none."""
        self._leave_engine(item)
        self._items.pop(item.key, None)

    def holds(self, item: ItemProgress) -> bool:
        """Whether an item still needs a result."""
        return self._items.get(item.key) is item

    def items(self) -> collections.abc.Collection[ItemProgress]:
        """Returns all items without a result."""
        return self._items.values()

    def running_on(self, engine: base.EndpointId) -> int:
        """Returns how many items run on an engine."""
        return len(self._running.get(engine, ()))

    def started(self, placement: Placement) -> None:
        """Notes that an item was sent to an engine."""
        item = placement.item
        item.stage = Stage.RUNNING
        item.engine = placement.engine
        self._running[placement.engine].add(item.key)
        if item.spec.prefix:
            name = (item.job.model, item.spec.prefix)
            self._prefixes[name] = placement.engine

    def put_back(self, item: ItemProgress, not_before: float) -> None:
        """Lets an item wait for an engine again; its text is kept."""
        self._leave_engine(item)
        item.stage = Stage.WAITING
        item.not_before = not_before

    def generated(self, item: ItemProgress) -> None:
        """Notes that the text of an item is whole."""
        self._leave_engine(item)
        item.stage = Stage.GRADING
        self._lengths.note(item.spec.length_hint, len(item.text.pieces))

    def plan(
        self,
        engines: collections.abc.Sequence[_engines.EngineView],
        now: float,
    ) -> list[Placement]:
        """Returns the items to start now.

        The caller starts each of them and tells so by `started`.

        Args:
            engines: All engines that are believed to run.
            now: Present time.
        """
        free = {
            view.endpoint: view.slots - self.running_on(view.endpoint)
            for view in engines
        }
        placements = []
        for item in self._waiting(now):
            view = self._choose(item, engines, free, now)
            if view is None:
                continue
            free[view.endpoint] -= 1
            placements.append(Placement(item, view.endpoint))
            if item.spec.prefix:
                name = (item.job.model, item.spec.prefix)
                self._prefixes[name] = view.endpoint
        return placements

    def plan_moves(
        self,
        engines: collections.abc.Sequence[_engines.EngineView],
        now: float,
    ) -> list[ItemProgress]:
        """Returns running items that would end sooner on another engine.

        An engine that has turned slow holds up the steps of its stragglers;
        another one reads their texts in a few milliseconds and goes on.

        Args:
            engines: All engines that are believed to run.
            now: Present time.
        """
        free = {
            view.endpoint: view.slots - self.running_on(view.endpoint)
            for view in engines
        }
        moves = []
        for item in self._items.values():
            if item.stage is not Stage.RUNNING or item.engine is None:
                continue
            if now - item.began_at < SETTLE_RUN_S:
                continue
            limit = self._health.pace(item.engine) * MOVE_GAIN
            better = [
                view
                for view in engines
                if free[view.endpoint] > 0
                and may_run(item, view)
                and not self._health.is_suspect(view.endpoint, now)
                and self._health.pace(view.endpoint) < limit
            ]
            if better:
                best = min(
                    better, key=lambda view: self._health.pace(view.endpoint)
                )
                free[best.endpoint] -= 1
                moves.append(item)
        return moves

    def _waiting(self, now: float) -> list[ItemProgress]:
        waiting = [
            item
            for item in self._items.values()
            if item.stage is Stage.WAITING and item.not_before <= now
        ]
        waiting.sort(key=lambda item: (item.is_spare, self._begin_by(item)))
        return waiting

    def _begin_by(self, item: ItemProgress) -> float:
        """Returns when an item must begin to be whole when its job is due."""
        hint = item.spec.length_hint or _records.TOKENS_WITHOUT_HINT
        left = max(0.0, self._lengths.events(hint) - len(item.text.pieces))
        rank_s = RANK_S * item.job.priority
        return item.job.due_at + rank_s - left * _engines.NORMAL_PACE_S

    def _choose(
        self,
        item: ItemProgress,
        engines: collections.abc.Sequence[_engines.EngineView],
        free: dict[base.EndpointId, int],
        now: float,
    ) -> _engines.EngineView | None:
        usable = [
            view
            for view in engines
            if free[view.endpoint] > 0 and may_run(item, view)
        ]
        trusted = [
            view
            for view in usable
            if not self._health.is_suspect(view.endpoint, now)
        ]
        if not trusted:
            return None
        fastest = min(self._health.pace(view.endpoint) for view in trusted)
        warm = self._prefixes.get((item.job.model, item.spec.prefix))

        def cost(view: _engines.EngineView) -> float:
            pace = self._health.pace(view.endpoint) / fastest
            used = 1 - free[view.endpoint] / max(1, view.slots)
            is_cold = view.endpoint != warm
            return pace + LOAD_COST * used + COLD_COST * is_cold

        return min(trusted, key=cost)

    def _leave_engine(self, item: ItemProgress) -> None:
        if item.engine is not None:
            self._running[item.engine].discard(item.key)
            item.engine = None


def may_run(item: ItemProgress, view: _engines.EngineView) -> bool:
    """Whether an engine would take an item and make what is wanted of it."""
    if not view.is_ready:
        return False
    model = item.job.model
    if not model:
        return True
    if model in view.loading:
        return False
    version = view.versions.get(model)
    if version is None or version < item.job.least_version:
        return False
    if item.job.is_single_version and item.text.versions:
        return item.text.versions == {version}
    return True
