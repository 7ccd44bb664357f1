"""Simulates steps of items on unequal, noisy engines under the job scheduler.

Run: python -m measurements.placement [--seeds 3] [--steps 25]

Eighteen engines with 6 slots run at 0.7 to 1.7 of the nominal event interval.
A stream pauses for 0.6 s now and then, and every ten seconds or so one engine
is 2 to 4 times slower for 5 to 8 s. A step of 64 to 232 items in groups of 8
arrives every 4 s and ends once nine tenths of its groups are complete; 8% of
the texts are five times as long. Prints one JSON object for each kind of fleet.
"""

import argparse
import collections.abc
import heapq
import itertools
import json
import math
import random
import statistics
import sys

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs

ENGINES = 18
SLOTS = 6
EVENT_INTERVAL_S = 0.037
STEP_S = 4.0
DUE_S = 7.5
GROUP = 8
EVENTS = 26
TOKENS_PER_EVENT = 10
PROMPT_TOKENS = 450
READ_TOKENS_PER_S = 10_000.0
TICK_S = 0.05
GAP_S = 0.6


@attrs.frozen
class Fleet:
    """What is simulated besides the load that all kinds of fleets have."""

    name: str
    slowest: float = 1.7
    fastest: float = 0.7
    gap_share: float = 0.003
    slow_every_s: float = 10.0
    events: int = EVENTS


FLEETS = (
    Fleet("equal", 1.0, 1.0, 0.0, math.inf),
    Fleet("gaps only", 1.0, 1.0, 0.003, math.inf),
    Fleet("unequal", slow_every_s=math.inf),
    Fleet("unequal, some become slow"),
    Fleet("the same, texts 35% longer", events=35),
)


@attrs.define(eq=False)
class Engine:
    """Engine whose streams do not slow each other down."""

    view: jobs.EngineView
    pace: float
    slow_until: float = 0.0
    slow_factor: float = 1.0
    prefixes: set[str] = attrs.Factory(set)


class Simulation:
    """One run of the scheduler over a number of steps."""

    def __init__(self, fleet: Fleet, seed: int, steps: int) -> None:
        self._fleet = fleet
        # Load and engines must not depend on what the scheduler decides.
        self._load = random.Random(seed)
        self._faults = random.Random(seed + 1000)
        self._noise = random.Random(seed + 2000)
        self._steps = steps
        self._numbers = itertools.count()
        self._queue: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self.now = 0.0
        self._health = jobs.EngineHealth()
        self._scheduler = jobs.Scheduler(self._health, lambda item: ("s",))
        span = fleet.slowest - fleet.fastest
        self._engines = {
            base.EndpointId(f"e{n}"): Engine(
                jobs.EngineView(base.EndpointId(f"e{n}"), "s", SLOTS, {}),
                fleet.fastest + span * n / (ENGINES - 1),
            )
            for n in range(ENGINES)
        }
        self._lengths: dict[str, int] = {}
        self._generation: dict[jobs.ItemProgress, int] = {}
        self._undone: dict[str, dict[str, int]] = {}
        self._ends: dict[str, tuple[float, int]] = {}
        self.moves = 0
        self.prefix_misses = 0
        self.tokens_again = 0
        self.tokens = 0
        self.whole_s: list[float] = []
        self.item_late = 0
        self.items = 0

    def run(self) -> None:
        """Runs until all steps are complete."""
        self._tick()
        for number in range(self._steps):
            self._after(
                STEP_S * number, lambda number=number: self._submit(number)
            )
        if self._fleet.slow_every_s < math.inf:
            self._slow_one()
        while self._queue and (len(self.whole_s) < self._steps):
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def _after(
        self, seconds: float, action: collections.abc.Callable[[], None]
    ) -> None:
        entry = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._queue, entry)

    def _slow_one(self) -> None:
        engine = self._faults.choice(list(self._engines.values()))
        engine.slow_until = self.now + self._faults.uniform(5.0, 8.0)
        engine.slow_factor = self._faults.uniform(2.0, 4.0)
        self._after(
            self._faults.expovariate(1 / self._fleet.slow_every_s),
            self._slow_one,
        )

    def _submit(self, number: int) -> None:
        specs = []
        groups = self._load.randint(64 // GROUP, 232 // GROUP)
        for group, place in itertools.product(range(groups), range(GROUP)):
            name = f"{number}.{group}.{place}"
            is_long = self._load.random() < 0.08
            events = max(
                3.0,
                self._fleet.events
                * (5 if is_long else 1)
                * self._load.lognormvariate(-0.02, 0.2),
            )
            self._lengths[name] = round(events)
            hint = events * TOKENS_PER_EVENT * self._load.lognormvariate(0, 0.4)
            specs.append(
                jobs.JobItem(
                    name,
                    "/",
                    (),
                    b"",
                    PROMPT_TOKENS + round(1.5 * hint),
                    group=f"{number}.{group}",
                    prefix=f"{number}.{group}",
                    length_hint=round(hint),
                )
            )
        job = jobs.Job(
            job=str(number),
            account=base.AccountId("a"),
            host="h",
            route="/",
            items=tuple(specs),
            accepted_at=self.now,
            due_at=self.now + DUE_S,
            give_up_at=self.now + 1000.0,
            max_attempts=3,
            wanted_groups=math.ceil(0.9 * groups),
        )
        self._undone[job.job] = {
            f"{number}.{group}": GROUP for group in range(groups)
        }
        self._ends[job.job] = (self.now, groups - job.wanted_groups)
        self._scheduler.add_job(jobs.JobState(job, []))
        self._place()

    def _tick(self) -> None:
        views = [engine.view for engine in self._engines.values()]
        if self.now >= 2.0:
            for move in self._scheduler.plan_moves(views, self.now):
                self.moves += 1
                self._scheduler.mark_moved(move, self.now)
                self._start(move.item, move.engine)
        self._place()
        self._after(TICK_S, self._tick)

    def _place(self) -> None:
        views = [engine.view for engine in self._engines.values()]
        for placement in self._scheduler.plan(views, self.now):
            self._scheduler.mark_started(placement)
            self._start(placement.item, placement.engine)

    def _start(
        self, item: jobs.ItemProgress, endpoint: base.EndpointId
    ) -> None:
        engine = self._engines[endpoint]
        item.began_at = self.now
        generation = self._generation.get(item, 0) + 1
        self._generation[item] = generation
        text = len(item.text.pieces) * TOKENS_PER_EVENT
        if generation > 1:
            self.tokens_again += PROMPT_TOKENS + text
        self.tokens += PROMPT_TOKENS
        read = text
        if item.spec.prefix not in engine.prefixes:
            engine.prefixes.add(item.spec.prefix)
            self.prefix_misses += 1
            read += PROMPT_TOKENS
        self._after(
            read / READ_TOKENS_PER_S + self._interval_s(engine),
            lambda: self._generate(item, engine, generation, None),
        )

    def _interval_s(self, engine: Engine) -> float:
        interval_s = (
            EVENT_INTERVAL_S
            * engine.pace
            * self._noise.lognormvariate(-0.03, 0.25)
        )
        if self.now < engine.slow_until:
            interval_s *= engine.slow_factor
        if self._noise.random() < self._fleet.gap_share:
            interval_s += GAP_S
        return interval_s

    def _generate(
        self,
        item: jobs.ItemProgress,
        engine: Engine,
        generation: int,
        interval_s: float | None,
    ) -> None:
        if self._generation[item] != generation or not self._scheduler.has_item(
            item
        ):
            return
        number = len(item.text.pieces)
        item.text.append(jobs.StreamEvent(number, "x", None))
        if interval_s is None:
            self._health.record_first_event(engine.view.endpoint, item.began_at)
        else:
            self._health.record_event_interval(engine.view.endpoint, interval_s)
        if number + 1 >= self._lengths[item.spec.item]:
            self._finish(item)
            return
        after_s = self._interval_s(engine)
        self._after(
            after_s,
            lambda: self._generate(item, engine, generation, after_s),
        )

    def _finish(self, item: jobs.ItemProgress) -> None:
        self._scheduler.mark_generated(item)
        self._scheduler.remove(item)
        self.items += 1
        self.item_late += self.now > item.job.due_at
        undone = self._undone[item.job.job]
        undone[item.spec.group] -= 1
        if not undone[item.spec.group]:
            del undone[item.spec.group]
        began_at, spare = self._ends[item.job.job]
        if len(undone) <= spare and item.job.job in self._ends:
            self.whole_s.append(self.now - began_at)
            self._scheduler.end_job(item.job.job)
        self._place()


def main() -> None:
    """Prints the figures of each kind of fleet, over all seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--steps", type=int, default=25)
    args = parser.parse_args()
    for fleet in FLEETS:
        runs = [
            Simulation(fleet, seed, args.steps) for seed in range(args.seeds)
        ]
        for run in runs:
            run.run()
        whole_s = sorted(itertools.chain(*(run.whole_s for run in runs)))
        row = {
            "fleet": fleet.name,
            "steps": len(whole_s),
            "items": sum(run.items for run in runs),
            "moves": sum(run.moves for run in runs),
            "k_tokens": sum(run.tokens for run in runs) // 1000,
            "k_tokens_again": sum(run.tokens_again for run in runs) // 1000,
            "prefix_misses": sum(run.prefix_misses for run in runs),
            "late_items": sum(run.item_late for run in runs),
            "whole_mean_s": round(statistics.mean(whole_s), 2),
            "whole_p90_s": round(whole_s[len(whole_s) * 9 // 10], 2),
            "late_steps": sum(seconds > DUE_S for seconds in whole_s),
        }
        sys.stdout.write(json.dumps(row) + "\n")


if __name__ == "__main__":
    main()
