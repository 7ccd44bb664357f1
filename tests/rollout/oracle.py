"""Fake trainers and engines, and the invariants of delivered batches."""

import itertools
import json

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

STALENESS_BOUND = 1
GROUPS_PER_STEP = 2
SAMPLES_PER_GROUP = 2


@attrs.define
class FakeEngine:
    """Engine that records the weight version of every generated token."""

    endpoint: base.EndpointId
    version: int = 0
    tokens: dict[str, list[int]] = attrs.field(factory=dict)
    gone_at: float | None = None


@attrs.define
class FakeTrainer:
    """Trainer with its submitted, received, rejected and ended steps."""

    name: base.TrainerId
    model: base.ModelName
    newest_version: int = 0
    steps: dict[int, list[rollout.SubmitGroup]] = attrs.field(factory=dict)
    received: dict[int, rollout.BatchFetched] = attrs.field(factory=dict)
    rejected_batch_ids: set[str] = attrs.field(factory=set)
    ended_steps: set[int] = attrs.field(factory=set)


def stretches_of(
    versions: list[int],
) -> tuple[rollout.VersionStretch, ...]:
    """Returns the run-length encoding of versions, as an engine reports it."""
    return tuple(
        cases.stretch(version, len(list(run)))
        for version, run in itertools.groupby(versions)
    )


def check_batch(
    ledger: rollout.Ledger,
    trainer: FakeTrainer,
    step: int,
    batch: rollout.BatchFetched,
    is_first_handout: bool,
) -> None:
    """Checks a handed-out batch against the tokens that engines generated.

    Args:
        ledger: Ledger that holds the bodies.
        trainer: Trainer that fetched the batch.
        step: Fetched step.
        batch: Fetched batch.
        is_first_handout: Whether to check the staleness bound, which applies
            to the first hand-out only.

    Raises:
        AssertionError: An invariant is violated.
    """
    assert step not in trainer.ended_steps, "delivered after the step ended"
    assert batch.batch_id not in trainer.rejected_batch_ids, (
        "rejected batch was handed out again"
    )
    slots = [entry.slot for entry in batch.entries]
    assert len(slots) == len(set(slots)), "duplicate slot in a batch"
    counts = [sum(s.group == g for s in slots) for g in range(GROUPS_PER_STEP)]
    assert counts == [SAMPLES_PER_GROUP] * GROUPS_PER_STEP, (
        f"incomplete groups: {counts}"
    )
    for entry in batch.entries:
        assert (entry.slot.trainer, entry.slot.step) == (
            trainer.name,
            step,
        )
        _check_entry(ledger, entry)
        oldest = min(s.version for s in entry.stretches)
        if is_first_handout:
            lag = trainer.newest_version - oldest
            assert lag <= STALENESS_BOUND, (
                f"{entry.slot} lags by {lag} versions"
            )


def _check_entry(ledger: rollout.Ledger, entry: rollout.BatchEntry) -> None:
    body = ledger.body(entry.slot)
    assert body is not None and body.data is not None
    assert body.digest == entry.digest
    generated = json.loads(body.data)
    assert generated["slot"] == str(entry.slot), "body belongs to another slot"
    assert generated["attempt"] == entry.attempt_id
    assert stretches_of(generated["versions"]) == entry.stretches
