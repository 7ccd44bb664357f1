"""Faults put into the code on purpose, to show that the checks see them."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from unittest import mock

import attrs
import banyanbank_consensus as consensus
from banyanbank_consensus import _election
from banyanbank_consensus import _formation
from banyanbank_consensus import _lease
from banyanbank_consensus import _membership
from banyanbank_consensus import _output
from banyanbank_consensus import _progress
from banyanbank_consensus import _replica
from banyanbank_consensus import _replication
from banyanbank_consensus import _snapshot
from banyanbank_consensus import _state
from banyanbank_consensus import _store

from tests.consensus import fuzz
from tests.consensus import oracle
from tests.consensus import scenarios

SEEDS = range(1, 13)
BROKEN = (
    AssertionError,
    consensus.StorageError,
    consensus.ConsensusDefectError,
)
"""What a broken promise is seen as."""


@attrs.frozen
class Catch:
    """How a mutant was seen."""

    check: str
    """Check of the oracle, or the class of the error."""
    initial: str
    """Initial voters."""
    seed: int
    """Seed of the simulation."""


@attrs.frozen
class Mutant:
    """One fault."""

    name: str
    """What the code no longer does."""
    scenario: str
    """Start of the name of the scenario that shows it."""
    patches: tuple[tuple[object, str, Callable[..., object]], ...]
    """Module or class, its function, and what stands in its place."""

    @contextlib.contextmanager
    def applied(self) -> Iterator[None]:
        """Puts the fault in place for a while."""
        with contextlib.ExitStack() as stack:
            for target, attribute, replacement in self.patches:
                patch = mock.patch.object(target, attribute, replacement)
                stack.enter_context(patch)
            yield


def _store_sync(self: _store.LogStore) -> None:
    if self._buffer:
        self.files.append(_store.LOG_NAME, b"".join(self._buffer))
        self._buffer.clear()


def _replace_without_folder_sync(
    self: _store.LogStore, name: str, content: bytes
) -> None:
    temporary = name + _store.TEMPORARY_SUFFIX
    self.files.append(temporary, content)
    self.files.sync(temporary)
    self.files.replace(temporary, name)


def _replace_without_file_sync(
    self: _store.LogStore, name: str, content: bytes
) -> None:
    temporary = name + _store.TEMPORARY_SUFFIX
    self.files.append(temporary, content)
    self.files.replace(temporary, name)
    self.files.sync_folder()


_SYNC_ONCE = _store.LogStore.sync.__wrapped__  # type: ignore[attr-defined]


def _retry_sync(self: _store.LogStore) -> None:
    try:
        _SYNC_ONCE(self)
    except OSError:
        _SYNC_ONCE(self)


def _campaign_at_once(state: _state.State, now: float) -> None:
    _election._campaign(state, now)


def _send_early(self: _output.Output, effect: object) -> None:
    self._transmit(effect.peer, effect.message)


def _forget_vote(state: _state.State, sender: str, msg: object) -> bool:
    return _election._log_is_as_new(state.log, msg) and (
        msg.head.epoch >= state.epoch
    )


def _count_learners(state: _state.State) -> None:
    lead = _state.leading(state)
    matches = [lead.synced if state.is_voter else 0]
    for member in state.members.members:
        if member.instance != state.me:
            matches.append(_progress.match_of(lead, member))
    matches.sort(reverse=True)
    index = matches[min(state.members.quorum, len(matches)) - 1]
    if index > state.commit and state.log.epoch_at(index) == state.epoch:
        state.commit = index


def _confirm_at_receipt(
    original: Callable[..., object],
) -> Callable[..., object]:
    def of_answer(state, sender, head, sent_at, now):
        return original(state, sender, head, now, now)

    return of_answer


def _truncate_anything(state: _state.State, index: int) -> None:
    state.log.truncate_from(index)
    state.effects.append(_replication._effects.TruncateLog(index))


def _append_over(state: _state.State, entries: tuple) -> None:
    """Replaces the whole rest of the log, also where it agrees."""
    if entries:
        if entries[0].index <= state.log.last_index:
            state.log.truncate_from(entries[0].index)
            state.effects.append(
                _replication._effects.TruncateLog(entries[0].index)
            )
        state.log.append(entries)
        state.effects.append(_replication._effects.AppendLog(entries))


def _no_skip(state: _state.State, msg: object) -> tuple:
    return msg.prev_index, msg.prev_epoch, msg.entries


def _confirmed_by_anyone(state: _state.State, now: float) -> float:
    return now


def _always(*_: object) -> bool:
    return True


def _one(
    name: str,
    scenario: str,
    target: object,
    attribute: str,
    replacement: Callable[..., object],
) -> Mutant:
    return Mutant(name, scenario, ((target, attribute, replacement),))


MUTANTS = (
    _one(
        "skip the sync of the log",
        "a voter restarts",
        _store.LogStore,
        "sync",
        _store_sync,
    ),
    _one(
        "skip the sync of the folder",
        "a voter crashes after",
        _store.LogStore,
        "_replace",
        _replace_without_folder_sync,
    ),
    _one(
        "skip the sync of a new file",
        "a voter crashes after",
        _store.LogStore,
        "_replace",
        _replace_without_file_sync,
    ),
    _one(
        "try a failed sync again",
        "a sync fails",
        _store.LogStore,
        "sync",
        _retry_sync,
    ),
    _one(
        "answer before the sync",
        "a sync fails",
        _output.Output,
        "send",
        _send_early,
    ),
    _one(
        "skip the pre-vote",
        "an hour of isolation",
        _election,
        "_pre_campaign",
        _campaign_at_once,
    ),
    _one(
        "vote without looking at the log",
        "a disk is lost",
        _election,
        "_log_is_as_new",
        _always,
    ),
    _one(
        "vote twice in an epoch",
        "a voter long cut off",
        _election,
        "_may_grant",
        _forget_vote,
    ),
    _one(
        "vote in spite of a leader",
        "a voter that is cut off",
        _election,
        "_promised",
        lambda state, now: state.leadership is not None,
    ),
    _one(
        "forget the promise at a restart",
        "a voter long cut off",
        _replica,
        "promise_at_start",
        lambda cfg, now: now,
    ),
    _one(
        "take the lease at once",
        "a voter restarts",
        _lease,
        "first_lease_at",
        lambda state, now: now,
    ),
    _one(
        "hold the lease without a quorum",
        "a voter restarts",
        _lease,
        "confirmed_at",
        _confirmed_by_anyone,
    ),
    _one(
        "count the lease from receipt",
        "the leader is stopped",
        _progress,
        "of_answer",
        _confirm_at_receipt(_progress.of_answer),
    ),
    _one(
        "serve reads before the own epoch commits",
        "reads are asked",
        _lease,
        "may_serve_reads",
        lambda state: state.leadership is not None,
    ),
    _one(
        "count the acknowledgements of learners",
        "entries that stand on learners",
        _replication,
        "advance_commit",
        _count_learners,
    ),
    Mutant(
        "forget the identity of stores",
        "a disk is lost",
        (
            (_formation, "_is_for_store", _always),
            (_progress, "_is_of_store", _always),
            (
                _election,
                "_is_counted_voter",
                lambda members, instance, store: True,
            ),
        ),
    ),
    _one(
        "commit entries of old epochs by counting",
        "an entry of an old epoch",
        _replication,
        "_may_commit",
        _always,
    ),
    _one(
        "truncate without comparing",
        "old entries come again",
        _replication,
        "_take_entries",
        _append_over,
    ),
    _one(
        "accept entries without log matching",
        "a voter restarts",
        _replication,
        "_matches",
        lambda state, index, epoch: index <= state.log.last_index,
    ),
    _one(
        "take stale snapshots",
        "a snapshot comes again",
        _snapshot,
        "_is_stale",
        lambda state, msg: False,
    ),
    _one(
        "change members while a change is open",
        "a leader in a minority",
        _membership,
        "why_not_now",
        lambda state: "",
    ),
)


def find_catch(mutant: Mutant) -> Catch | None:
    """Runs the scenario of a mutant until a check sees the fault."""
    [scenario] = [
        s for s in scenarios.SCENARIOS if s.name.startswith(mutant.scenario)
    ]
    for seed in SEEDS:
        for initial in scenarios.INITIAL:
            try:
                with mutant.applied():
                    fuzz.run_trace(seed, scenario.trace, initial)
            except BROKEN as exc:
                return Catch(_name_check(exc), initial, seed)
    return None


def _name_check(exc: BaseException) -> str:
    if isinstance(exc, oracle.OracleError):
        return exc.check
    if type(exc) is AssertionError:
        return "works once all faults end"
    return type(exc).__name__


def main() -> None:
    """Prints which check catches which mutant."""
    for mutant in MUTANTS:
        catch = find_catch(mutant)
        seen = "NOT SEEN"
        if catch is not None:
            seen = f"{catch.check} | {catch.initial}, seed {catch.seed}"
        print(f"| {mutant.name} | {mutant.scenario} … | {seen} |")  # noqa: T201


if __name__ == "__main__":
    main()
