"""Builders and a base class that the rollout tests share."""

import unittest

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

TRAINER = base.TrainerId("coach")
MODEL = base.ModelName("folds")


def group(number: int = 0, **changes: object) -> rollout.SubmitGroup:
    """Returns a submission of step 0 with one group of two samples."""
    submission = rollout.SubmitGroup(
        trainer=TRAINER,
        step=0,
        group=number,
        request_id="r1",
        model=MODEL,
        prompt=b"fold",
        samples=2,
        groups_in_step=1,
        staleness_bound=1,
    )
    return attrs.evolve(submission, **changes)


def sample(index: int = 0, **changes: object) -> rollout.RecordSample:
    """Returns a full result of version 1 for step 0, group 0."""
    result = rollout.RecordSample(
        slot=rollout.SampleSlot(TRAINER, 0, 0, index),
        attempt_id=f"a{index}",
        model=MODEL,
        body=rollout.SampleBody.inline(b"body"),
        token_count=10,
        stretches=(stretch(1, 10),),
        grade=0.5,
        engine=base.EndpointId("e1"),
    )
    return attrs.evolve(result, **changes)


def stretch(version: int, tokens: int) -> rollout.VersionStretch:
    """Returns a stretch of tokens."""
    return rollout.VersionStretch(base.WeightVersion(version), tokens)


def publish(version: int, **changes: object) -> rollout.PublishVersion:
    """Returns a publication of whole weights."""
    publication = rollout.PublishVersion(
        model=MODEL,
        version=base.WeightVersion(version),
        trainer=TRAINER,
        location=f"store/{version}",
        size_bytes=1 << 30,
    )
    return attrs.evolve(publication, **changes)


def form(newest: int = 0, step: int = 0) -> rollout.FormBatch:
    """Returns a proposal to form the batch of a step."""
    return rollout.FormBatch(TRAINER, step, base.WeightVersion(newest))


def fetch(newest: int = 0, step: int = 0) -> rollout.FetchBatch:
    """Returns a fetch of the batch of a step."""
    return rollout.FetchBatch(TRAINER, step, base.WeightVersion(newest))


def acknowledge(batch_id: str) -> rollout.AcknowledgeBatch:
    """Returns an acknowledgement."""
    return rollout.AcknowledgeBatch(TRAINER, batch_id)


def reject(batch_id: str, newest: int = 0) -> rollout.RejectBatch:
    """Returns a rejection."""
    return rollout.RejectBatch(TRAINER, batch_id, base.WeightVersion(newest))


class LedgerCase(unittest.TestCase):
    """Holds a ledger to which commands are applied."""

    def setUp(self) -> None:
        self.ledger = rollout.Ledger()

    def run_all(
        self, *commands: rollout.LedgerCommand
    ) -> list[rollout.LedgerReply]:
        """Applies commands and returns their replies."""
        replies = []
        for command in commands:
            self.ledger, reply = self.ledger.apply(command)
            replies.append(reply)
        return replies

    def run_one(self, command: rollout.LedgerCommand) -> rollout.LedgerReply:
        """Applies one command and returns its reply."""
        return self.run_all(command)[0]

    def assert_refused(
        self,
        command: rollout.LedgerCommand,
        reason: rollout.LedgerRefusal,
    ) -> None:
        """Checks the refusal, and that it left no trace."""
        before = self.ledger
        reply = self.run_one(command)
        assert isinstance(reply, rollout.LedgerRefused), reply
        self.assertIs(reply.reason, reason)
        self.assertIs(self.ledger, before)
