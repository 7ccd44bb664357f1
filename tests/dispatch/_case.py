"""Shared base class of the dispatch tests."""

import itertools
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch
from returns import result

Kind = dispatch.WorkKind
ACCEPTED: result.Result[None, base.Refusal] = result.Success(None)


class DispatchCase(unittest.TestCase):
    """Helpers that build work and queues with default values."""

    def setUp(self) -> None:
        self._numbers = itertools.count(1)

    def work(
        self,
        account: str = "a",
        kind: Kind = Kind.ROLLOUT,
        **fields: typing.Any,
    ) -> dispatch.Work:
        return dispatch.Work(
            request_id=base.RequestId(
                fields.pop("rid", f"r{next(self._numbers)}")
            ),
            account=base.AccountId(account),
            key_id=base.KeyId(fields.pop("key", f"key-{account}")),
            kind=kind,
            cost_tokens=fields.pop("cost", 100.0),
            deadline=fields.pop("deadline", 1e9),
            **fields,
        )

    def queue(
        self, slots: int = 1, **fields: typing.Any
    ) -> dispatch.EngineQueue:
        return dispatch.EngineQueue(
            base.EndpointId("e1"), dispatch.QueueSettings(slots, **fields)
        )

    def offer_all(
        self, queue: dispatch.EngineQueue, *works: dispatch.Work
    ) -> None:
        for work in works:
            self.assertEqual(queue.offer(work, 0.0), result.Success(None))

    def drain(
        self,
        queue: dispatch.EngineQueue,
        count: int,
        used: typing.Callable[[dispatch.Work], float] | None = None,
        now: float = 0.0,
    ) -> list[dispatch.Work]:
        """Dispatches and finishes up to `count` requests, one at a time."""
        served = []
        for _ in range(count):
            work = queue.next(now)
            if work is None:
                break
            served.append(work)
            cost = work.cost_tokens if used is None else used(work)
            queue.finish(work.request_id, cost, now)
        return served

    def assert_refused(
        self,
        answer: result.Result[typing.Any, base.Refusal],
        reason: base.RefusalReason,
        outcome: base.Outcome = base.Outcome.NOT_RUN,
    ) -> base.Refusal:
        refusal = answer.failure()
        self.assertEqual((refusal.reason, refusal.outcome), (reason, outcome))
        return refusal


def candidate(name: str, **fields: typing.Any) -> dispatch.Candidate:
    """Returns a candidate endpoint in failure domain `z1`, with 8 slots."""
    default = dispatch.Candidate(
        base.EndpointId(name), base.FailureDomain("z1"), slots=8
    )
    return attrs.evolve(default, **fields)
