"""Pending proposals and leadership confirmations."""

from collections.abc import Callable
import typing

import attrs
from returns import result
from twisted.internet import defer

from banyanbank_consensus import _errors
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _state

Reply = result.Result[bytes, _errors.ProposeError]
"""Reply of the state machine, or why there is none."""

Confirmation = result.Result[None, _errors.ProposeError]
"""Confirmation of leadership, or why there is none."""

MembersPlanner = Callable[[_state.State], _members.Members | str]
"""Returns the new member set, or why it cannot change now."""


@attrs.define(eq=False)
class Proposal:
    """A pending command or membership change."""

    payload: bytes
    """The command; empty for a membership change."""
    deadline: float
    """Time at which the proposal fails if it is not committed."""
    plan_members: MembersPlanner | None = None
    """Computes the new member set; None for a command."""
    epoch: int = 0
    """Epoch of its entry; 0 until it is appended."""
    deferred: "defer.Deferred[Reply]" = attrs.field(factory=defer.Deferred)
    """Fires with the reply."""


@attrs.define(eq=False)
class PendingConfirmation:
    """A pending confirmation of leadership."""

    asked_at: float
    """Time of the request; a round sent no earlier confirms it."""
    deadline: float
    """Time at which it fails."""
    deferred: "defer.Deferred[Confirmation]" = attrs.field(
        factory=defer.Deferred
    )
    """Fires with the outcome."""


class PendingOperations:
    """Tracks pending operations, and fires their deferreds on request only.

    A caller may propose again as soon as its deferred fires; firing after the
    flush keeps such a call from reentering it.
    """

    def __init__(self) -> None:
        self.queued: list[Proposal] = []
        """Proposals that are not appended yet."""
        self.appended: dict[int, Proposal] = {}
        """Appended proposals by the index of their entry."""
        self.waiting: list[PendingConfirmation] = []
        """Pending confirmations."""
        self.pending_bytes = 0
        """Payload bytes of all pending proposals."""
        self._completed: list[tuple[typing.Any, typing.Any]] = []

    def enqueue(self, proposal: Proposal) -> None:
        """Adds a proposal for the next turn to append."""
        self.queued.append(proposal)
        self.pending_bytes += len(proposal.payload)

    def take_queued(self) -> list[Proposal]:
        """Returns the queued proposals and clears the queue."""
        queued = self.queued
        self.queued = []
        return queued

    def track_entry(self, proposal: Proposal, entry: _log.Entry) -> None:
        """Associates a proposal with its appended entry."""
        proposal.epoch = entry.epoch
        self.appended[entry.index] = proposal

    def complete(self, proposal: Proposal, reply: Reply) -> None:
        """Records the outcome of a proposal for `fire_deferreds`."""
        self.pending_bytes -= len(proposal.payload)
        self._completed.append((proposal.deferred, reply))

    def applied(
        self, entry: _log.Entry, reply: bytes, lost_error: _errors.ProposeError
    ) -> None:
        """Completes the proposal at the index of a committed entry, if any.

        Args:
            entry: The entry that was committed.
            reply: Reply of the state machine.
            lost_error: Failure if the entry is not the one proposed.
        """
        proposal = self.appended.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.epoch == entry.epoch:
            self.complete(proposal, result.Success(reply))
        else:
            self.complete(proposal, result.Failure(lost_error))

    def fail_all(
        self, queued: _errors.ProposeError, appended: _errors.ProposeError
    ) -> None:
        """Fails all pending operations."""
        for proposal in self.take_queued():
            self.complete(proposal, result.Failure(queued))
        for proposal in self.appended.values():
            self.complete(proposal, result.Failure(appended))
        self.appended.clear()
        for waiting in self.waiting:
            self._completed.append((waiting.deferred, result.Failure(queued)))
        self.waiting.clear()

    def expire(self, now: float, error: _errors.ProposeError) -> None:
        """Fails appended proposals and confirmations past their deadlines."""
        for index in [i for i, p in self.appended.items() if p.deadline <= now]:
            proposal = self.appended.pop(index)
            self.complete(proposal, result.Failure(error))
        expired = [w for w in self.waiting if w.deadline <= now]
        for waiting in expired:
            self.waiting.remove(waiting)
            failure = attrs.evolve(error, maybe_committed=False)
            self._completed.append((waiting.deferred, result.Failure(failure)))

    def confirm(self, confirmed_at: float) -> None:
        """Completes the confirmations requested by the time of a round."""
        covered = [w for w in self.waiting if w.asked_at <= confirmed_at]
        for waiting in covered:
            self.waiting.remove(waiting)
            self._completed.append((waiting.deferred, result.Success(None)))

    def fire_deferreds(self) -> None:
        """Fires the deferreds of all completed operations."""
        done = self._completed
        self._completed = []
        for deferred, outcome in done:
            deferred.callback(outcome)
