"""Mutants of the decisions that the fuzz has to catch.

Each row breaks one decision; the run of the named check must then fail. With
`python -m unittest tests.dispatch.test_mutants -v` each row is a line.
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
QUICK = hypothesis.settings(
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
    handed_back = _retire(self)
    self._retired = False
    return handed_back


def _retire_hands_back_running(self: Queue) -> tuple[dispatch.Work, ...]:
    return _retire(self) + self.running()


def _cancel_keeps(self: Queue, rid: base.RequestId) -> dispatch.CancelOutcome:
    known = rid in self._waiting
    return dispatch.CancelOutcome.DROPPED if known else _cancel(self, rid)


_cancel = Queue.cancel


def _withdraw_half(self: Queue, key_id: base.KeyId) -> dispatch.Withdrawal:
    found = _withdraw(self, key_id)
    return attrs.evolve(found, running=found.running[:-1])


def _withdraw_keeps(self: Queue, key_id: base.KeyId) -> dispatch.Withdrawal:
    running = tuple(w for w in self._running.values() if w.key_id == key_id)
    return dispatch.Withdrawal((), running)


def _takes_twice(
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


def _no_leaving(
    self: dispatch.Router, query: dispatch.RouteQuery, view: dispatch.Candidate
) -> bool:
    return True


def _nothing(self: object, *args: object, **kwargs: object) -> None:
    """Stands in for a step that the mutant leaves out."""


def _first_account(self: Fair) -> base.AccountId | None:
    return min((a for a, f in self._flows.items() if f.waiting), default=None)


MUTANTS: list[tuple[str, type, str, Patch]] = [
    ("expired work stays", Queue, "_collect_expired", _nothing),
    ("retire forgets work", Queue, "retire", _retire_forgets),
    ("retire stays open", Queue, "retire", _retire_stays_open),
    ("retire repeats", Queue, "retire", _retire_hands_back_running),
    ("cancel keeps work", Queue, "cancel", _cancel_keeps),
    ("withdrawal keeps waiting", Queue, "withdraw_key", _withdraw_keeps),
    ("withdrawal misses one", Queue, "withdraw_key", _withdraw_half),
    ("takes a request twice", Queue, "_check_offer", _takes_twice),
    ("finish keeps the slot", Queue, "finish", _nothing),
    ("adopt is not counted", Queue, "adopt", _nothing),
    ("promote copies", Queue, "promote", _promote_copies),
    ("leaving gets work", dispatch.Router, "_fits", _no_leaving),
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
    ("use is not settled", Fair, "settle", _nothing),
    ("serves one account first", Fair, "_next_account", _first_account),
]


def _run_checks() -> None:
    test_fuzz.check_fairness([(900, 900, 900)] * 40)
    test_fuzz.check_fairness([(10, 10, 900)] + [(10, 10, 1)] * 40)
    uneven = [(10, 2000, 2000 if n % 2 else 10) for n in range(60)]
    test_fuzz.check_fairness(uneven)
    stateful.run_state_machine_as_test(
        test_fuzz.DispatchMachine, settings=QUICK
    )


class MutantTest(unittest.TestCase):
    """Every mutant is caught."""

    def test_code_as_it_is_passes(self) -> None:
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
