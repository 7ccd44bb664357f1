"""Weighted deficit round robin over client accounts."""

import collections
import math

import attrs
import banyanbank_base as base

from banyanbank_dispatch import _work

QUANTUM_TOKENS = 256.0
"""Tokens that a round grants to an account of weight 1 by default."""
MAX_DEBT_TOKENS = 65_536.0
"""Maximum debt, that is negative deficit, of an account."""


@attrs.define
class _Flow:
    """Waiting work of one account and its deficit counter in tokens."""

    weight: float
    waiting: collections.OrderedDict[base.RequestId, _work.Work]
    deficit: float = 0.0

    def rounds_to_serve(self, quantum: float) -> int:
        """Returns the rounds until the deficit covers the first work."""
        head = next(iter(self.waiting.values()))
        missing = head.cost_tokens - self.deficit
        return max(0, math.ceil(missing / (quantum * self.weight)))


class FairQueue:
    """Serves accounts in proportion to their weights, measured in tokens.

    A round grants `quantum * weight` tokens to every account with waiting
    work. The account whose deficit covers its first work after the fewest
    rounds is served next; rounds in which no account is served are granted in
    one step. `settle` corrects the estimated cost of work, also when its
    account has no waiting work left.

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
        """Estimated cost of the waiting work, in tokens."""

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
        """Removes waiting work without charging its account.

        Raises:
            KeyError: The work is not waiting in this queue.
        """
        del self._flows[work.account].waiting[work.request_id]
        self._size -= 1
        self.tokens -= work.cost_tokens
        self._drop_if_idle(work.account)

    def peek(self) -> _work.Work | None:
        """Returns the work that `pop` would return, without removing it."""
        account = self._next_account()
        if account is None:
            return None
        return next(iter(self._flows[account].waiting.values()))

    def pop(self) -> _work.Work | None:
        """Removes the next work and charges its estimate to its account."""
        account = self._next_account()
        if account is None:
            return None
        flow = self._flows[account]
        self._grant_rounds(flow.rounds_to_serve(self._quantum))
        _, work = flow.waiting.popitem(last=False)
        self._size -= 1
        self.tokens -= work.cost_tokens
        flow.deficit -= work.cost_tokens
        if flow.deficit < self._quantum * flow.weight:
            self._flows.move_to_end(account)
        self._drop_if_idle(account)
        return work

    def settle(self, work: _work.Work, used_tokens: float) -> None:
        """Credits the account with the estimated minus the used tokens.

        The resulting debt is limited to `MAX_DEBT_TOKENS`.
        """
        overestimate = work.cost_tokens - used_tokens
        flow = self._flows.get(work.account)
        if flow is None:
            flow = _Flow(work.weight, collections.OrderedDict())
            self._flows[work.account] = flow
        flow.deficit = max(flow.deficit + overestimate, -MAX_DEBT_TOKENS)
        self._drop_if_idle(work.account)

    def _next_account(self) -> base.AccountId | None:
        best_account: base.AccountId | None = None
        best_rounds = 0
        for account, flow in self._flows.items():
            if not flow.waiting:
                continue
            rounds = flow.rounds_to_serve(self._quantum)
            if best_account is None or rounds < best_rounds:
                best_account, best_rounds = account, rounds
        return best_account

    def _grant_rounds(self, rounds: int) -> None:
        """Grants rounds; accounts without waiting work only repay debt."""
        if rounds == 0:
            return
        for account, flow in list(self._flows.items()):
            flow.deficit += rounds * self._quantum * flow.weight
            if not flow.waiting:
                flow.deficit = min(flow.deficit, 0.0)
                self._drop_if_idle(account)

    def _drop_if_idle(self, account: base.AccountId) -> None:
        """Removes the account if it has no waiting work and no debt."""
        flow = self._flows[account]
        if not flow.waiting and flow.deficit >= 0:
            del self._flows[account]
