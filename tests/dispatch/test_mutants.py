"""Mutation tests that check the fuzz tests.

Each mutant breaks one decision, which the checks of `test_fuzz` must detect.
"""

import contextlib
import typing
import unittest
from unittest import mock

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch
import hypothesis
from hypothesis import stateful

from tests.dispatch import test_fuzz

Queue = dispatch.EngineQueue
Fair = dispatch.FairQueue
Patch = typing.Callable[..., typing.Any]
MUTANT_SETTINGS = hypothesis.settings(
    test_fuzz.SETTINGS,
    max_examples=150,
    phases=(hypothesis.Phase.generate,),
)

_retire, _adopt, _withdraw = Queue.retire, Queue.adopt, Queue.withdraw_key
_check_offer, _finish, _decide = (
    Queue._check_offer,
    Queue.finish,
    dispatch.RetryPolicy.decide,
)


def _decide_as(**changes: typing.Any) -> Patch:
    def decide(self: dispatch.RetryPolicy, **fields: typing.Any) -> typing.Any:
        return _decide(self, **(fields | changes))

    return decide


def _retire_forgets(self: Queue) -> tuple[dispatch.Work, ...]:
    _retire(self)
    return ()


def _retire_stays_open(self: Queue) -> tuple[dispatch.Work, ...]:
    removed = _retire(self)
    self._retired = False
    return removed


def _retire_returns_running(self: Queue) -> tuple[dispatch.Work, ...]:
    return _retire(self) + self.running()


def _cancel_keeps(self: Queue, rid: base.RequestId) -> dispatch.CancelOutcome:
    is_waiting = rid in self._waiting
    return dispatch.CancelOutcome.DROPPED if is_waiting else _cancel(self, rid)


_cancel = Queue.cancel


def _withdraw_skips_last_running(
    self: Queue, key_id: base.KeyId
) -> dispatch.Withdrawal:
    withdrawal = _withdraw(self, key_id)
    return attrs.evolve(withdrawal, running=withdrawal.running[:-1])


def _withdraw_keeps_waiting(
    self: Queue, key_id: base.KeyId
) -> dispatch.Withdrawal:
    running = tuple(w for w in self._running.values() if w.key_id == key_id)
    return dispatch.Withdrawal((), running)


def _accept_duplicates(
    self: Queue, work: dispatch.Work, now: float
) -> base.Refusal | None:
    refusal = _check_offer(self, work, now)
    if refusal and refusal.reason is base.RefusalReason.CONFLICT:
        return None
    return refusal


def _promote_copies(self: Queue, rid: base.RequestId) -> bool:
    work = self._waiting.get(rid)
    if work is None or work.kind is not dispatch.WorkKind.ROLLOUT:
        return False
    self._insert(work.with_kind(dispatch.WorkKind.TAIL))
    return True


def _accept_any_candidate(
    self: dispatch.Router,
    query: dispatch.RouteQuery,
    candidate: dispatch.Candidate,
) -> bool:
    return True


def _no_op(self: object, *args: object, **kwargs: object) -> None:
    """Replaces a method that the mutant skips."""


def _lowest_account(self: Fair) -> base.AccountId | None:
    return min((a for a, f in self._flows.items() if f.waiting), default=None)


MUTANTS: list[tuple[str, type, str, Patch]] = [
    ("expired work stays", Queue, "_collect_expired", _no_op),
    ("retire forgets work", Queue, "retire", _retire_forgets),
    ("retire stays open", Queue, "retire", _retire_stays_open),
    ("retire returns running", Queue, "retire", _retire_returns_running),
    ("cancel keeps work", Queue, "cancel", _cancel_keeps),
    (
        "withdrawal keeps waiting",
        Queue,
        "withdraw_key",
        _withdraw_keeps_waiting,
    ),
    (
        "withdrawal misses one running",
        Queue,
        "withdraw_key",
        _withdraw_skips_last_running,
    ),
    ("accepts duplicates", Queue, "_check_offer", _accept_duplicates),
    ("finish keeps the slot", Queue, "finish", _no_op),
    ("adopt is not counted", Queue, "adopt", _no_op),
    ("promote copies", Queue, "promote", _promote_copies),
    ("leaving gets work", dispatch.Router, "_fits", _accept_any_candidate),
    (
        "retries what may have run",
        dispatch.RetryPolicy,
        "decide",
        _decide_as(idempotent=True),
    ),
    (
        "retries past the deadline",
        dispatch.RetryPolicy,
        "decide",
        _decide_as(deadline=1e9),
    ),
    ("use is not settled", Fair, "settle", _no_op),
    ("serves one account first", Fair, "_next_account", _lowest_account),
]


def _run_checks() -> None:
    test_fuzz.check_fairness([(900, 900, 900)] * 40)
    test_fuzz.check_fairness([(10, 10, 900)] + [(10, 10, 1)] * 40)
    uneven = [(10, 2000, 2000 if n % 2 else 10) for n in range(60)]
    test_fuzz.check_fairness(uneven)
    stateful.run_state_machine_as_test(
        test_fuzz.DispatchMachine, settings=MUTANT_SETTINGS
    )


class MutantTest(unittest.TestCase):
    """The checks pass on the original code and detect every mutant."""

    def test_unmodified_code_passes(self) -> None:
        _run_checks()

    def test_mutants(self) -> None:
        for name, owner, attribute, patch in MUTANTS:
            with (
                self.subTest(name),
                contextlib.redirect_stdout(None),
                mock.patch.object(owner, attribute, patch),
                self.assertRaises(Exception),  # noqa: B017
            ):
                _run_checks()
