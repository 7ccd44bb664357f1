"""Faults injected into the code, to verify that the checks detect them."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from unittest import mock

import attrs
import banyanbank_consensus as consensus
from banyanbank_consensus import _disk
from banyanbank_consensus import _election
from banyanbank_consensus import _formation
from banyanbank_consensus import _lease
from banyanbank_consensus import _membership
from banyanbank_consensus import _messages
from banyanbank_consensus import _output
from banyanbank_consensus import _progress
from banyanbank_consensus import _promise
from banyanbank_consensus import _replica
from banyanbank_consensus import _replication
from banyanbank_consensus import _snapshot
from banyanbank_consensus import _state
from banyanbank_consensus import _store

from tests.consensus import fuzz
from tests.consensus import oracle
from tests.consensus import scenarios

SEEDS = range(1, 13)
DETECTED_ERRORS = (
    AssertionError,
    consensus.StorageError,
    consensus.ConsensusDefectError,
)
"""Errors that count as the detection of a fault."""


@attrs.frozen
class Detection:
    """How a fault was detected."""

    check: str
    """Violated check of the oracle, or the class of the error."""
    initial: str
    """Initial voters."""
    seed: int
    """Seed of the simulation."""


@attrs.frozen
class Mutant:
    """An injected fault."""

    name: str
    """What the code does wrong."""
    scenario: str
    """Prefix of the name of the scenario that reveals it."""
    patches: tuple[tuple[object, str, Callable[..., object]], ...]
    """Module or class, name of its function, and the replacement."""

    @contextlib.contextmanager
    def applied(self) -> Iterator[None]:
        """Injects the fault within a `with` block."""
        with contextlib.ExitStack() as stack:
            for target, attribute, replacement in self.patches:
                patch = mock.patch.object(target, attribute, replacement)
                stack.enter_context(patch)
            yield


def _write_without_fsync(self: _store.LogStore) -> None:
    if self._buffer:
        self.files.append(_store.LOG_FILE_NAME, b"".join(self._buffer))
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


def _save_log_first(
    self: _store.LogStore, pending: _disk.PendingSnapshot, image: object
) -> None:
    self._sync_snapshot(pending)
    self._write_log_file(image)
    name = _store._name_pending(pending.origin)
    self._move_file(name, _store.SNAPSHOT_FILE_NAME)
    self._state_offset = pending.state_offset


_UNGUARDED_SYNC = _store.LogStore.sync.__wrapped__  # type: ignore[attr-defined]


def _retry_sync(self: _store.LogStore) -> None:
    try:
        _UNGUARDED_SYNC(self)
    except OSError:
        _UNGUARDED_SYNC(self)


def _skip_pre_vote(state: _state.State, now: float) -> None:
    _election._start_election(state, now)


def _send_before_sync(self: _output.OutputQueue, effect: object) -> None:
    self._transmit(effect.peer, effect.message)


def _grant_second_vote(state: _state.State, sender: str, msg: object) -> bool:
    return _election._is_log_up_to_date(state.log, msg) and (
        msg.head.epoch >= state.epoch
    )


def _count_learner_matches(state: _state.State) -> None:
    leadership = _state.require_leadership(state)
    matches = [leadership.synced_index if state.is_voter else 0]
    for member in state.members.members:
        if member.instance != state.own_instance:
            matches.append(_progress.get_match_index(leadership, member))
    matches.sort(reverse=True)
    index = matches[min(state.members.quorum, len(matches)) - 1]
    if index > state.commit and state.log.epoch_at(index) == state.epoch:
        state.commit = index


def _confirm_at_receipt(
    original: Callable[..., object],
) -> Callable[..., object]:
    def record_response(state, sender, head, sent_at, now):
        return original(state, sender, head, now, now)

    return record_response


def _truncate_anything(state: _state.State, index: int) -> None:
    state.log.truncate_from(index)
    state.effects.append(_replication._effects.TruncateLog(index))


def _overwrite_tail(state: _state.State, entries: tuple) -> None:
    """Replaces the rest of the log, including entries that agree."""
    if entries:
        if entries[0].index <= state.log.last_index:
            state.log.truncate_from(entries[0].index)
            state.effects.append(
                _replication._effects.TruncateLog(entries[0].index)
            )
        state.log.append(entries)
        state.effects.append(_replication._effects.AppendLog(entries))


def _keep_committed(state: _state.State, msg: object) -> tuple:
    return msg.prev_index, msg.prev_epoch, msg.entries


def _confirm_without_quorum(state: _state.State, now: float) -> float:
    return now


def _return_true(*_: object) -> bool:
    return True


def _deny_leadership(state: _state.State, sender: str, msg: object) -> None:
    head = _state.make_header(state, msg.head.store)
    answer = _messages.LeadershipAnswer(head, msg.incarnation, False)
    _state.send(state, sender, answer)


def _may_campaign_as_follower(state: _state.State, now: float) -> bool:
    return state.role is not _state.Role.LEADER


def _make_mutant(
    name: str,
    scenario: str,
    target: object,
    attribute: str,
    replacement: Callable[..., object],
) -> Mutant:
    return Mutant(name, scenario, ((target, attribute, replacement),))


MUTANTS = (
    _make_mutant(
        "skip the sync of the log",
        "a voter restarts",
        _store.LogStore,
        "sync",
        _write_without_fsync,
    ),
    _make_mutant(
        "skip the sync of the folder",
        "a voter crashes after",
        _store.LogStore,
        "_replace_file",
        _replace_without_folder_sync,
    ),
    _make_mutant(
        "skip the sync of a new file",
        "a voter crashes after",
        _store.LogStore,
        "_replace_file",
        _replace_without_file_sync,
    ),
    _make_mutant(
        "skip the sync of a snapshot",
        "power is cut while a snapshot is installed",
        _store.LogStore,
        "_sync_snapshot",
        lambda self, pending: None,
    ),
    _make_mutant(
        "retry a failed sync",
        "a sync fails",
        _store.LogStore,
        "sync",
        _retry_sync,
    ),
    _make_mutant(
        "respond before the sync",
        "a sync fails",
        _output.OutputQueue,
        "send",
        _send_before_sync,
    ),
    _make_mutant(
        "skip the pre-vote",
        "an hour of isolation",
        _election,
        "_start_pre_vote",
        _skip_pre_vote,
    ),
    _make_mutant(
        "vote without comparing the logs",
        "a disk is lost",
        _election,
        "_is_log_up_to_date",
        _return_true,
    ),
    _make_mutant(
        "vote twice in an epoch",
        "a voter isolated for long",
        _election,
        "_may_grant_vote",
        _grant_second_vote,
    ),
    _make_mutant(
        "vote during the lease of a leader",
        "a voter that is cut off",
        _election,
        "_is_withholding_votes",
        lambda state, now: state.leadership is not None,
    ),
    _make_mutant(
        "vote right after a restart",
        "a voter isolated for long",
        _replica,
        "get_initial_vote_withholding_end",
        lambda cfg, now: now,
    ),
    _make_mutant(
        "release votes although the former leader leads",
        "neighbours of a leader",
        _promise,
        "on_query",
        _deny_leadership,
    ),
    _make_mutant(
        "campaign when asked although a leader is followed",
        "a former leader that follows",
        _promise,
        "_may_campaign_at_once",
        _may_campaign_as_follower,
    ),
    _make_mutant(
        "hold the lease right after the election",
        "a voter restarts",
        _lease,
        "get_first_lease_at",
        lambda state, now: now,
    ),
    _make_mutant(
        "hold the lease without a quorum",
        "a voter restarts",
        _lease,
        "get_confirmed_at",
        _confirm_without_quorum,
    ),
    _make_mutant(
        "count the lease from receipt",
        "the leader is stopped",
        _progress,
        "record_response",
        _confirm_at_receipt(_progress.record_response),
    ),
    _make_mutant(
        "serve reads before the own epoch commits",
        "reads are asked",
        _lease,
        "may_serve_reads",
        lambda state: state.leadership is not None,
    ),
    _make_mutant(
        "count the acknowledgements of learners",
        "entries replicated to learners",
        _replication,
        "advance_commit",
        _count_learner_matches,
    ),
    Mutant(
        "ignore the identity of stores",
        "a disk is lost",
        (
            (_formation, "_is_for_store", _return_true),
            (_progress, "_is_same_store", _return_true),
            (
                _election,
                "_is_voter_store",
                lambda members, instance, store: True,
            ),
        ),
    ),
    _make_mutant(
        "commit entries of old epochs by counting",
        "an entry of an old epoch",
        _replication,
        "_is_committable",
        _return_true,
    ),
    _make_mutant(
        "truncate without comparing",
        "stale entries arrive again",
        _replication,
        "_merge_entries",
        _overwrite_tail,
    ),
    _make_mutant(
        "accept entries without log matching",
        "a voter restarts",
        _replication,
        "_has_matching_entry",
        lambda state, index, epoch: index <= state.log.last_index,
    ),
    _make_mutant(
        "install stale snapshots",
        "a stale snapshot arrives again",
        _snapshot,
        "_is_stale",
        lambda state, msg: False,
    ),
    _make_mutant(
        "keep entries that a snapshot replaced",
        "power is cut while a snapshot is installed",
        _store.LogStore,
        "_drop_replaced_entries",
        lambda self, file_image, image: None,
    ),
    _make_mutant(
        "replace the log before the snapshot",
        "power is cut while a snapshot is taken",
        _store.LogStore,
        "finish_snapshot",
        _save_log_first,
    ),
    _make_mutant(
        "change members while a change is uncommitted",
        "a leader in a minority",
        _membership,
        "get_change_refusal",
        lambda state: "",
    ),
)


def find_detection(mutant: Mutant) -> Detection | None:
    """Runs the scenario of a mutant until a check detects the fault."""
    [scenario] = [
        s for s in scenarios.SCENARIOS if s.name.startswith(mutant.scenario)
    ]
    for seed in SEEDS:
        for initial in scenarios.INITIAL_VOTERS:
            try:
                with mutant.applied():
                    fuzz.run_trace(seed, scenario.trace, initial)
            except DETECTED_ERRORS as exc:
                return Detection(_name_check(exc), initial, seed)
    return None


def _name_check(exc: BaseException) -> str:
    if isinstance(exc, oracle.OracleError):
        return exc.check
    if type(exc) is AssertionError:
        return "works once all faults end"
    return type(exc).__name__


def main() -> None:
    """Prints the check that detects each mutant."""
    for mutant in MUTANTS:
        detection = find_detection(mutant)
        outcome = "NOT DETECTED"
        if detection is not None:
            outcome = (
                f"{detection.check} | {detection.initial}, "
                f"seed {detection.seed}"
            )
        print(f"| {mutant.name} | {mutant.scenario} … | {outcome} |")  # noqa: T201


if __name__ == "__main__":
    main()
