"""Measures step times with and without the scheduler's tail policies.

A fake clock, engines that share their rate between streams by priority, one
of them slow and one that crashes, and heavy-tailed lengths fixed by slot.

Run: python -m measurements.tails [--seeds N]
"""

import argparse
import json
import math
import random
import statistics
import sys
import zlib

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

TICK_S = 1.0
ENGINES = 6
STREAMS = 24
STREAM_RATE = 50.0
ENGINE_RATE = 800.0
GROUPS, SAMPLES = 24, 8
STEPS = 12
TRAIN_S = 40.0
TRAINERS = (base.TrainerId("a"), base.TrainerId("b"))
GRADE_S = 1.0
MIN_TOKENS, MAX_TOKENS, ALPHA = 200.0, 6_000.0, 1.3
"""Lengths follow a Pareto law, cut off."""


@attrs.define
class Stream:
    """One attempt on an engine."""

    start: rollout.StartAttempt
    length: float
    made: float
    done_versions: list[rollout.VersionStretch]
    started_at: float
    version: int


class Simulation:
    """Two trainers before shared engines.

    Args:
        seed: Fixes lengths and faults.
        cfg: The scheduler's budgets.
        honour: Whether engines honour priorities.
        ahead: Steps that a trainer submits before it has the last batch.
    """

    def __init__(
        self, seed: int, cfg: rollout.SchedulerCfg, honour: bool, ahead: int
    ) -> None:
        self.seed = seed
        self.honour = honour
        self.ahead = ahead
        self.rng = random.Random(seed)
        self.now = 0.0
        self.ledger = rollout.Ledger()
        self.scheduler = rollout.SampleScheduler(random.Random(seed), cfg)
        self.engines: list[dict[str, Stream]] = [{} for _ in range(ENGINES)]
        self.views: dict[str, rollout.AttemptView] = {}
        self.grading: list[tuple[float, rollout.RecordSample]] = []
        self.step = dict.fromkeys(TRAINERS, 0)
        self.busy_until = dict.fromkeys(TRAINERS, 0.0)
        self.version = dict.fromkeys(TRAINERS, 0)
        self.submitted = dict.fromkeys(TRAINERS, 0)
        self.submitted_at: dict[tuple[str, int], float] = {}
        self.step_s: list[float] = []
        self.idle_s = 0.0
        self.made = self.useful = 0.0
        self.discarded = 0

    def run(self) -> dict[str, float]:
        """Runs until both trainers have had their steps."""
        while min(self.step.values()) < STEPS:
            self.now += TICK_S
            self._train()
            self._decide()
            self._generate()
            self._record()
            assert self.now < 100_000.0, "the simulation does not end"
        return {
            "step_s": statistics.mean(self.step_s),
            "worst_step_s": max(self.step_s),
            "idle_share": self.idle_s / (self.now * len(TRAINERS)),
            "wasted_share": 1 - self.useful / self.made,
            "discarded": float(self.discarded),
        }

    def apply(self, command: rollout.LedgerCommand) -> rollout.LedgerReply:
        """Commits a command at once."""
        self.ledger, reply = self.ledger.apply(command)
        self.discarded += len(getattr(reply, "discarded", ()))
        return reply

    def _train(self) -> None:
        for trainer in TRAINERS:
            self._submit(trainer)
            if self.busy_until[trainer] > self.now:
                continue
            if self.busy_until[trainer] > self.now - TICK_S:
                self._publish(trainer)
            step = self.step[trainer]
            if step >= STEPS:
                continue
            reply = self.apply(
                rollout.FetchBatch(trainer, step, self.version[trainer])
            )
            if not isinstance(reply, rollout.BatchFetched):
                self.idle_s += TICK_S
                continue
            self.useful += sum(e.token_count for e in reply.entries)
            taken = self.now - self.submitted_at[trainer, step]
            self.step_s.append(taken)
            self.apply(rollout.AcknowledgeBatch(trainer, reply.batch_id))
            self.step[trainer] += 1
            self.busy_until[trainer] = self.now + TRAIN_S

    def _submit(self, trainer: base.TrainerId) -> None:
        while self.submitted[trainer] <= min(
            self.step[trainer] + self.ahead, STEPS - 1
        ):
            step = self.submitted[trainer]
            self.submitted[trainer] += 1
            self.submitted_at[trainer, step] = self.now
            for number in range(GROUPS):
                reply = self.apply(
                    cases.group(
                        number,
                        trainer=trainer,
                        step=step,
                        model=base.ModelName(trainer),
                        samples=SAMPLES,
                        groups_in_step=GROUPS,
                    )
                )
                assert isinstance(reply, rollout.GroupSubmitted), reply

    def _publish(self, trainer: base.TrainerId) -> None:
        self.version[trainer] += 1
        self.apply(
            cases.publish(
                self.version[trainer],
                model=base.ModelName(trainer),
                trainer=trainer,
            )
        )

    def _decide(self) -> None:
        engines = [
            rollout.EngineView(
                endpoint=base.EndpointId(f"e{number}"),
                models=tuple(base.ModelName(t) for t in TRAINERS),
                versions=tuple(self.version.values()),
                slots=STREAMS,
            )
            for number in range(ENGINES)
        ]
        effects = self.scheduler.decide(
            self.ledger, list(self.views.values()), engines, self.now
        )
        for effect in effects:
            match effect:
                case rollout.StartAttempt():
                    self._start(effect)
                case rollout.CancelAttempt():
                    self.views.pop(effect.attempt_id)
                    for engine in self.engines:
                        engine.pop(effect.attempt_id, None)
                case rollout.ProposeBatch():
                    self.apply(
                        rollout.FormBatch(effect.trainer, effect.step, 0)
                    )

    def _start(self, start: rollout.StartAttempt) -> None:
        names = [f"e{number}" for number in range(ENGINES)]
        number = min(
            range(ENGINES),
            key=lambda n: (names[n] in start.avoid, len(self.engines[n])),
        )
        unit = random.Random(self.seed * 7_919 + start.seed).random()
        length = min(MAX_TOKENS, MIN_TOKENS * (1 - unit) ** (-1 / ALPHA))
        resumed = start.resume_from
        stretches = [] if resumed is None else list(resumed.stretches)
        made = 0.0 if resumed is None else float(resumed.token_count)
        version = self.version[start.slot.trainer]
        self.engines[number][start.attempt_id] = Stream(
            start, length, made, stretches, self.now, version
        )
        self.views[start.attempt_id] = rollout.AttemptView(
            slot=start.slot,
            attempt_id=start.attempt_id,
            started_at=self.now,
            engine=base.EndpointId(names[number]),
            progress=resumed,
            supersedes=start.supersedes,
        )

    def _rate(self, number: int) -> float:
        # One engine is slow in phases, as a throttled machine is.
        phase = zlib.crc32(f"{self.seed}/{int(self.now / 120)}".encode())
        return ENGINE_RATE * (0.2 if number == phase % ENGINES else 1.0)

    def _generate(self) -> None:
        for number, engine in enumerate(self.engines):
            if engine and self.rng.random() < 0.0005:
                self._crash(engine)
            left = self._rate(number) * TICK_S
            limit = left * STREAM_RATE / ENGINE_RATE
            ordered = list(engine.values())
            if self.honour:
                ordered.sort(key=lambda s: -s.start.priority)
            else:
                limit = min(limit, left / max(1, len(ordered)))
            for stream in ordered:
                tokens = min(limit, left, stream.length - stream.made)
                left -= tokens
                self._advance(engine, stream, max(0.0, tokens))

    def _crash(self, engine: dict[str, Stream]) -> None:
        for attempt_id in list(engine):
            attempt = self.views.pop(attempt_id)
            self.scheduler.record_attempt_end(attempt, self.now, failed=True)
        engine.clear()

    def _advance(
        self, engine: dict[str, Stream], stream: Stream, tokens: float
    ) -> None:
        start = stream.start
        before = int(stream.made)
        stream.made += tokens
        self.made += tokens
        new = int(stream.made) - before
        finished = stream.made >= stream.length
        if new > 0:
            version = self.version[start.slot.trainer]
            stream.done_versions = _extend(stream.done_versions, version, new)
        attempt = self.views[start.attempt_id]
        if stream.done_versions:
            progress = rollout.ResumePoint(tuple(stream.done_versions))
            attempt = attrs.evolve(attempt, progress=progress)
        if finished:
            del engine[start.attempt_id]
            attempt = attrs.evolve(
                attempt, phase=rollout.AttemptPhase.RECORDING
            )
            self.grading.append((self.now + GRADE_S, self._result(stream)))
        self.views[start.attempt_id] = attempt

    def _result(self, stream: Stream) -> rollout.RecordSample:
        stretches = tuple(stream.done_versions)
        return rollout.RecordSample(
            slot=stream.start.slot,
            attempt_id=stream.start.attempt_id,
            model=stream.start.model,
            body=rollout.SampleBody.inline(b""),
            token_count=sum(s.token_count for s in stretches),
            stretches=stretches,
            grade=0.0,
            engine=base.EndpointId(""),
            supersedes=stream.start.supersedes,
        )

    def _record(self) -> None:
        due = [result for at, result in self.grading if at <= self.now]
        self.grading = [g for g in self.grading if g[0] > self.now]
        for result in due:
            self.apply(result)
            self.views.pop(result.attempt_id, None)


def _extend(
    stretches: list[rollout.VersionStretch], version: int, tokens: int
) -> list[rollout.VersionStretch]:
    if stretches and stretches[-1].version == version:
        last = stretches[-1].token_count
        return [*stretches[:-1], cases.stretch(version, last + tokens)]
    return [*stretches, cases.stretch(version, tokens)]


def no_duplicates(cfg: rollout.SchedulerCfg) -> rollout.SchedulerCfg:
    """Returns limits under which nothing counts as slow."""
    speculation = attrs.evolve(cfg.speculation, slow_ratio=0.0)
    return attrs.evolve(cfg, speculation=speculation)


def main() -> None:
    """Prints one JSON object for each variant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    args = parser.parse_args()
    full = rollout.SchedulerCfg()
    bare = attrs.evolve(no_duplicates(full), use_forecasts=False)
    variants = (
        ("bare, priorities ignored", bare, False),
        ("bare", bare, True),
        ("forecasts only", no_duplicates(full), True),
        ("duplicates only", attrs.evolve(full, use_forecasts=False), True),
        ("full", full, True),
    )
    for ahead in (0, 1):
        for name, cfg, honour in variants:
            runs = [
                Simulation(seed, cfg, honour, ahead).run()
                for seed in range(args.seeds)
            ]
            row: dict[str, object] = {"ahead": ahead, "variant": name}
            for key in runs[0]:
                mean = statistics.mean(run[key] for run in runs)
                row[key] = round(mean, 3) if math.isfinite(mean) else mean
            sys.stdout.write(json.dumps(row) + "\n")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
