"""Fake parties and what must be true of every batch that they get."""

import itertools
import json

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

BOUND = 1
GROUPS = 2
SAMPLES = 2


@attrs.define
class FakeEngine:
    """Generates tokens and remembers which version made each."""

    endpoint: base.EndpointId
    version: int = 0
    tokens: dict[str, list[int]] = attrs.field(factory=dict)
    gone_at: float | None = None


@attrs.define
class FakeTrainer:
    """What one trainer has asked for, received and used."""

    name: base.TrainerId
    model: base.ModelName
    newest: int = 0
    steps: dict[int, list[rollout.SubmitGroup]] = attrs.field(factory=dict)
    received: dict[int, rollout.BatchFetched] = attrs.field(factory=dict)
    rejected: set[str] = attrs.field(factory=set)
    used: set[int] = attrs.field(factory=set)


def stretches_of(
    versions: list[int],
) -> tuple[rollout.VersionStretch, ...]:
    """Returns the run lengths of versions, as an engine reports them."""
    return tuple(
        cases.stretch(version, len(list(run)))
        for version, run in itertools.groupby(versions)
    )


def check_batch(
    ledger: rollout.Ledger,
    trainer: FakeTrainer,
    step: int,
    batch: rollout.BatchFetched,
    first: bool,
) -> None:
    """Checks a batch that was handed out against what truly happened.

    Args:
        ledger: Holds the bodies.
        trainer: Trainer that fetched.
        step: Step that it fetched.
        batch: What it was given.
        first: Whether this is the first hand-out, which the bound is for.

    Raises:
        AssertionError: A promise was broken.
    """
    assert step not in trainer.used, "delivered after its end"
    assert batch.batch_id not in trainer.rejected, "rejected batch again"
    slots = [entry.slot for entry in batch.entries]
    assert len(slots) == len(set(slots)), "a slot stands twice"
    counts = [sum(s.group == g for s in slots) for g in range(GROUPS)]
    assert counts == [SAMPLES] * GROUPS, f"groups not whole: {counts}"
    for entry in batch.entries:
        assert (entry.slot.trainer, entry.slot.step) == (
            trainer.name,
            step,
        )
        _check_entry(ledger, entry)
        oldest = min(s.version for s in entry.stretches)
        if first:
            lag = trainer.newest - oldest
            assert lag <= BOUND, f"{entry.slot} lags by {lag}"


def _check_entry(ledger: rollout.Ledger, entry: rollout.BatchEntry) -> None:
    body = ledger.body(entry.slot)
    assert body is not None and body.data is not None
    assert body.digest == entry.digest
    truth = json.loads(body.data)
    assert truth["slot"] == str(entry.slot), "body of another slot"
    assert truth["attempt"] == entry.attempt_id
    assert stretches_of(truth["versions"]) == entry.stretches
