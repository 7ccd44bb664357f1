"""Proposals and confirmations that wait, and how they end."""

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
"""Returns a member set, or why there can be none now."""


@attrs.define(eq=False)
class Proposal:
    """A command or change of members on its way."""

    payload: bytes
    """The command; empty for a change of members."""
    deadline: float
    """When it fails."""
    plan_members: MembersPlanner | None = None
    """Makes the member set; None for a command."""
    epoch: int = 0
    """Epoch of its entry; 0 before it is appended."""
    deferred: "defer.Deferred[Reply]" = attrs.field(factory=defer.Deferred)
    """Fires with the reply."""


@attrs.define(eq=False)
class PendingConfirmation:
    """A confirmation of leadership on its way."""

    asked_at: float
    """A round sent no earlier than this confirms it."""
    deadline: float
    """When it fails."""
    deferred: "defer.Deferred[Confirmation]" = attrs.field(
        factory=defer.Deferred
    )
    """Fires with the outcome."""


class PendingOperations:
    """Keeps what waits, and fires deferreds only when told to.

    Firing late keeps callers, who may propose again at once, out of the
    middle of a flush.
    """

    def __init__(self) -> None:
        self.queued: list[Proposal] = []
        """Not appended yet."""
        self.appended: dict[int, Proposal] = {}
        """By the index of their entry."""
        self.waiting: list[PendingConfirmation] = []
        """Confirmations."""
        self.pending_bytes = 0
        """Payload bytes of all proposals that wait."""
        self._completed: list[tuple[typing.Any, typing.Any]] = []

    def enqueue(self, proposal: Proposal) -> None:
        """Takes a proposal in."""
        self.queued.append(proposal)
        self.pending_bytes += len(proposal.payload)

    def take_queued(self) -> list[Proposal]:
        """Returns the proposals to append now."""
        queued = self.queued
        self.queued = []
        return queued

    def track_entry(self, proposal: Proposal, entry: _log.Entry) -> None:
        """Ties a proposal to its entry."""
        proposal.epoch = entry.epoch
        self.appended[entry.index] = proposal

    def complete(self, proposal: Proposal, reply: Reply) -> None:
        """Ends a proposal."""
        self.pending_bytes -= len(proposal.payload)
        self._completed.append((proposal.deferred, reply))

    def applied(
        self, entry: _log.Entry, reply: bytes, lost_error: _errors.ProposeError
    ) -> None:
        """Ends the proposal at the index of a committed entry, if any.

        Args:
            entry: The entry that was committed.
            reply: Reply of the state machine.
            lost_error: Failure if the proposal was for another entry.
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
        """Ends everything that waits."""
        for proposal in self.take_queued():
            self.complete(proposal, result.Failure(queued))
        for proposal in self.appended.values():
            self.complete(proposal, result.Failure(appended))
        self.appended.clear()
        for waiting in self.waiting:
            self._completed.append((waiting.deferred, result.Failure(queued)))
        self.waiting.clear()

    def expire(self, now: float, error: _errors.ProposeError) -> None:
        """Ends what has passed its deadline."""
        for index in [i for i, p in self.appended.items() if p.deadline <= now]:
            proposal = self.appended.pop(index)
            self.complete(proposal, result.Failure(error))
        expired = [w for w in self.waiting if w.deadline <= now]
        for waiting in expired:
            self.waiting.remove(waiting)
            failure = attrs.evolve(error, maybe_committed=False)
            self._completed.append((waiting.deferred, result.Failure(failure)))

    def confirm(self, confirmed_at: float) -> None:
        """Ends the confirmations that a round sent by then covers."""
        covered = [w for w in self.waiting if w.asked_at <= confirmed_at]
        for waiting in covered:
            self.waiting.remove(waiting)
            self._completed.append((waiting.deferred, result.Success(None)))

    def fire_deferreds(self) -> None:
        """Tells the callers of everything that has ended."""
        done = self._completed
        self._completed = []
        for deferred, outcome in done:
            deferred.callback(outcome)
