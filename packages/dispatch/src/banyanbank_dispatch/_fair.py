"""Weighted deficit round robin between client accounts."""

import collections
import math

import attrs
import banyanbank_base as base

from banyanbank_dispatch import _work

QUANTUM_TOKENS = 256.0
MAX_DEBT_TOKENS = 65_536.0


@attrs.define
class _Flow:
    """Waiting work and balance of one account."""

    weight: float
    waiting: collections.OrderedDict[base.RequestId, _work.Work]
    deficit: float = 0.0

    def rounds_to_serve(self, quantum: float) -> int:
        """Returns how many more rounds its first work has to wait."""
        head = next(iter(self.waiting.values()))
        missing = head.cost_tokens - self.deficit
        return max(0, math.ceil(missing / (quantum * self.weight)))


class FairQueue:
    """Serves accounts in proportion to their weights, counted in tokens.

    A round grants every waiting account `quantum * weight` tokens. The
    account that can pay for its first work in the fewest rounds goes next, so
    empty rounds are skipped in one step. An estimate that proves wrong is
    settled with `settle`, also after the account has nothing left to wait.

    Args:
        quantum: Tokens that a round grants to an account of weight 1.
    """

    def __init__(self, quantum: float = QUANTUM_TOKENS) -> None:
        self._quantum = quantum
        self._flows: collections.OrderedDict[base.AccountId, _Flow] = (
            collections.OrderedDict()
        )
        self._size = 0
        self.tokens = 0.0
        """Estimated tokens that wait."""

    def __len__(self) -> int:
        return self._size

    def push(self, work: _work.Work) -> None:
        """Appends work to its account's queue."""
        flow = self._flows.get(work.account)
        if flow is None:
            flow = _Flow(work.weight, collections.OrderedDict())
            self._flows[work.account] = flow
        flow.weight = work.weight
        flow.waiting[work.request_id] = work
        self._size += 1
        self.tokens += work.cost_tokens

    def remove(self, work: _work.Work) -> None:
        """Takes out work that waits here."""
        del self._flows[work.account].waiting[work.request_id]
        self._size -= 1
        self.tokens -= work.cost_tokens
        self._forget_if_idle(work.account)

    def peek(self) -> _work.Work | None:
        """Returns the work that `pop` would return."""
        account = self._next_account()
        if account is None:
            return None
        return next(iter(self._flows[account].waiting.values()))

    def pop(self) -> _work.Work | None:
        """Takes the next work and charges its account the estimate."""
        account = self._next_account()
        if account is None:
            return None
        flow = self._flows[account]
        self._grant(flow.rounds_to_serve(self._quantum))
        _, work = flow.waiting.popitem(last=False)
        self._size -= 1
        self.tokens -= work.cost_tokens
        flow.deficit -= work.cost_tokens
        if flow.deficit < self._quantum * flow.weight:
            self._flows.move_to_end(account)
        self._forget_if_idle(account)
        return work

    def settle(self, work: _work.Work, used_tokens: float) -> None:
        """Corrects an account by the difference of estimate and use."""
        difference = work.cost_tokens - used_tokens
        flow = self._flows.get(work.account)
        if flow is None:
            flow = _Flow(work.weight, collections.OrderedDict())
            self._flows[work.account] = flow
        flow.deficit = max(flow.deficit + difference, -MAX_DEBT_TOKENS)
        self._forget_if_idle(work.account)

    def _next_account(self) -> base.AccountId | None:
        best: base.AccountId | None = None
        best_rounds = 0
        for account, flow in self._flows.items():
            if not flow.waiting:
                continue
            rounds = flow.rounds_to_serve(self._quantum)
            if best is None or rounds < best_rounds:
                best, best_rounds = account, rounds
        return best

    def _grant(self, rounds: int) -> None:
        """Grants rounds; an idle account only works off its debt."""
        if rounds == 0:
            return
        for account, flow in list(self._flows.items()):
            flow.deficit += rounds * self._quantum * flow.weight
            if not flow.waiting:
                flow.deficit = min(flow.deficit, 0.0)
                self._forget_if_idle(account)

    def _forget_if_idle(self, account: base.AccountId) -> None:
        """Drops an account without waiting work and without debt."""
        flow = self._flows[account]
        if not flow.waiting and flow.deficit >= 0:
            del self._flows[account]
