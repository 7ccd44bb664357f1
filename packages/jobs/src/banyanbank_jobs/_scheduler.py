"""Places items on engines; performs no I/O.

Items are placed by their latest start time, the time at which an item has to
start to be complete when its job is due. An item with a long text may thus
precede the short items of a job that is due earlier, since the engine limits
the rate of a stream. Items of one group share a prompt prefix and are placed on
the same engine while it has a free slot. If a trainer does not wait for all
groups, the groups that it is expected to finish without come last; under high
load these are a tenth of the work.
"""

import collections
import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_jobs import _engine_selection
from banyanbank_jobs import _engines
from banyanbank_jobs import _event_stream
from banyanbank_jobs import _groups
from banyanbank_jobs import _item_progress
from banyanbank_jobs import _ledger
from banyanbank_jobs import _lengths
from banyanbank_jobs import _records

MIN_RETRY_DELAY_S = 0.05
"""Delay before a rejected item is placed again; doubles with each rejection.

Also the delay before a result is proposed again.
"""

MAX_BACKOFF_REJECTIONS = 3
"""Consecutive rejections after which the retry delay stops growing."""

MAX_MOVE_INTERVAL_RATIO = 0.6
"""Maximum ratio of the event intervals of the new and the current engine.

A running item moves only to an engine that stays below this ratio.
"""

MIN_RUN_BEFORE_MOVE_S = 0.5
"""Minimum duration of a run before its item may move."""

PRIORITY_STEP_S = 0.5
"""Seconds by which each lower priority postpones the latest start time."""

FAILED_RETRY_DELAY_S = 0.2
"""Delay before an item whose run failed is placed again."""

UNROUTED_GRACE_S = 2.0
"""Time without a route after which an item is given up; an operator may replace
a route by two changes."""


@attrs.frozen
class Placement:
    """Decision to start an item on an engine."""

    item: _item_progress.ItemProgress
    """Item to start."""
    engine: base.EndpointId
    """Engine that runs the item."""
    discards_text: bool = False
    """Whether the text so far is discarded, since no engine can continue it."""


class Scheduler:
    """Tracks the items without a result and places them on engines.

    Args:
        health: Speed and recent failures of the engines.
        find_services: Returns the services that may run an item.
    """

    def __init__(
        self,
        health: _engines.EngineHealth,
        find_services: _engine_selection.FindServices,
    ) -> None:
        self._health = health
        self._find_services = find_services
        self._items: dict[
            _item_progress.ItemKey, _item_progress.ItemProgress
        ] = {}
        self._running: dict[base.EndpointId, set[_item_progress.ItemKey]] = (
            collections.defaultdict(set)
        )
        self._engine_by_prefix: dict[tuple[str, str], base.EndpointId] = {}
        self._unfinished_groups: dict[str, frozenset[str]] = {}
        self._lengths = _lengths.LengthEstimate()

    def __len__(self) -> int:
        return len(self._items)

    def add_job(self, state: _ledger.JobState) -> None:
        """Adds the items of a job that have no result."""
        if not state.is_open:
            return
        spare = _groups.spare_groups(
            state.job,
            state.listed,
            self._unfinished_groups.get(state.job.model, frozenset()),
        )
        for spec in state.job.items:
            key = (state.job.job, spec.item)
            if spec.item in state.listed or key in self._items:
                continue
            item = _item_progress.ItemProgress(
                state.job, spec, is_spare=spec.group in spare
            )
            kept = state.kept.get(spec.item)
            if kept is not None and kept.pieces:
                item.text = _event_stream.ItemText.resume(
                    kept.first_event, kept.pieces, kept.versions
                )
            self._items[key] = item

    def end_job(self, job: str) -> list[_item_progress.ItemProgress]:
        """Removes and returns the items of a job."""
        ended = [item for item in self._items.values() if item.job.job == job]
        if ended:
            # The trainer may resubmit these groups in a later job.
            self._unfinished_groups[ended[0].job.model] = frozenset(
                item.spec.group for item in ended
            )
        for item in ended:
            self.remove(item)
        return ended

    def clear(self) -> list[_item_progress.ItemProgress]:
        """Removes and returns all items after a loss of leadership."""
        items = list(self._items.values())
        self._items.clear()
        self._running.clear()
        self._engine_by_prefix.clear()
        return items

    def remove(self, item: _item_progress.ItemProgress) -> None:
        """Removes an item that has a result or no longer needs one."""
        self._remove_from_engine(item)
        self._items.pop(item.key, None)

    def has_item(self, item: _item_progress.ItemProgress) -> bool:
        """Whether an item still needs a result."""
        return self._items.get(item.key) is item

    def items(self) -> collections.abc.Collection[_item_progress.ItemProgress]:
        """Returns all items without a result."""
        return self._items.values()

    def running_on(self, engine: base.EndpointId) -> int:
        """Returns the number of items that run on an engine."""
        return len(self._running.get(engine, ()))

    def mark_started(self, placement: Placement) -> None:
        """Records that an item was sent to an engine."""
        item = placement.item
        if placement.discards_text:
            item.discard_text()
        item.stage = _item_progress.Stage.RUNNING
        item.engine = placement.engine
        self._running[placement.engine].add(item.key)
        if item.spec.prefix:
            name = (item.job.model, item.spec.prefix)
            self._engine_by_prefix[name] = placement.engine

    def requeue(
        self, item: _item_progress.ItemProgress, not_before: float
    ) -> None:
        """Returns an item to the waiting items; keeps its text."""
        self._remove_from_engine(item)
        item.stage = _item_progress.Stage.WAITING
        item.not_before = not_before

    def mark_generated(self, item: _item_progress.ItemProgress) -> None:
        """Records that the text of an item is complete."""
        self._remove_from_engine(item)
        item.stage = _item_progress.Stage.GRADING
        self._lengths.record_text(item.spec.length_hint, len(item.text.pieces))

    def plan(
        self,
        engines: collections.abc.Sequence[_engines.EngineView],
        now: float,
    ) -> list[Placement]:
        """Returns the items to start now.

        The caller starts each item and reports it by `mark_started`.

        Args:
            engines: All engines that are considered alive.
            now: Current time.
        """
        for engine in engines:
            self._health.observe_incarnation(engine.endpoint, engine.born_ms)
        selection = self._make_selection(engines, now)
        placements = []
        for item in self._waiting_items(now):
            permitted = selection.permitted(item)
            discards_text = selection.must_restart(item, permitted)
            if discards_text:
                permitted = selection.permitted(item, continues_text=False)
            prefix = (item.job.model, item.spec.prefix)
            view = selection.choose(
                permitted, self._engine_by_prefix.get(prefix)
            )
            if view is None:
                continue
            selection.take_slot(view.endpoint)
            placements.append(Placement(item, view.endpoint, discards_text))
            if item.spec.prefix:
                self._engine_by_prefix[prefix] = view.endpoint
        return placements

    def plan_moves(
        self,
        engines: collections.abc.Sequence[_engines.EngineView],
        now: float,
    ) -> list[_item_progress.ItemProgress]:
        """Returns running items that would end sooner on another engine.

        A slow engine delays the training steps that wait for its items, while
        another engine processes the text so far in a few milliseconds and
        continues it.

        Args:
            engines: All engines that are considered alive.
            now: Current time.
        """
        selection = self._make_selection(engines, now)
        moves = []
        for item in self._items.values():
            if (
                item.stage is not _item_progress.Stage.RUNNING
                or item.engine is None
            ):
                continue
            if now - item.began_at < MIN_RUN_BEFORE_MOVE_S:
                continue
            max_interval_s = (
                self._health.mean_event_interval_s(item.engine)
                * MAX_MOVE_INTERVAL_RATIO
            )
            faster = selection.choose_faster(
                selection.permitted(item), max_interval_s
            )
            if faster is not None:
                selection.take_slot(faster.endpoint)
                moves.append(item)
        return moves

    def _make_selection(
        self,
        engines: collections.abc.Iterable[_engines.EngineView],
        now: float,
    ) -> _engine_selection.EngineSelection:
        return _engine_selection.EngineSelection(
            self._health, self._find_services, engines, self.running_on, now
        )

    def take_unrouted(self, now: float) -> list[_item_progress.ItemProgress]:
        """Returns the waiting items that have had no route for a while."""
        unrouted = []
        for item in self._items.values():
            if (
                item.stage is not _item_progress.Stage.WAITING
                or self._find_services(item)
            ):
                item.unrouted_until = None
                continue
            if item.unrouted_until is None:
                item.unrouted_until = now + UNROUTED_GRACE_S
            if now >= item.unrouted_until:
                unrouted.append(item)
        return unrouted

    def _waiting_items(self, now: float) -> list[_item_progress.ItemProgress]:
        waiting = [
            item
            for item in self._items.values()
            if item.stage is _item_progress.Stage.WAITING
            and item.not_before <= now
        ]
        waiting.sort(key=lambda item: (item.is_spare, self._latest_start(item)))
        return waiting

    def _latest_start(self, item: _item_progress.ItemProgress) -> float:
        """Returns when an item has to start to be complete when it is due.

        Lower priorities count as due later.
        """
        hint = item.spec.length_hint or _records.DEFAULT_OUTPUT_TOKENS
        remaining_events = max(
            0.0, self._lengths.events(hint) - len(item.text.pieces)
        )
        priority_s = PRIORITY_STEP_S * item.job.priority
        return (
            item.job.due_at
            + priority_s
            - remaining_events * _engines.NOMINAL_EVENT_INTERVAL_S
        )

    def _remove_from_engine(self, item: _item_progress.ItemProgress) -> None:
        if item.engine is not None:
            self._running[item.engine].discard(item.key)
            item.engine = None
