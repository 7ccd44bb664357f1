"""Invariants of a replicated log, checked after every event."""

import collections

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
from returns import result

from tests.consensus import cluster


class OracleError(AssertionError):
    """An invariant of the log is violated.

    Args:
        check: Short name of the invariant.
        detail: What was observed.
    """

    def __init__(self, check: str, detail: str) -> None:
        super().__init__(f"{check}: {detail}")
        self.check = check


@attrs.define
class _LeaseObservation:
    """Latest time at which a process was observed holding the lease."""

    holder: cluster.Process
    epoch: int
    last_seen: float


class Oracle:
    """Checks a world; raises `OracleError` if an invariant is violated.

    Args:
        world: Simulated cluster to check.
        min_handover_gap_s: Minimum seconds of global time between the leases
            of two processes.
    """

    def __init__(self, world: cluster.World, min_handover_gap_s: float) -> None:
        self.world = world
        self.committed: list[tuple[int, bytes]] = []
        self.not_committed: set[bytes] = set()
        self.successes = 0
        self.failures: collections.Counter[str] = collections.Counter()
        self.elections = 0
        self.installs = 0
        self._min_handover_gap_s = min_handover_gap_s
        self._leaders: dict[int, str] = {}
        self._checked: dict[cluster.Process, int] = {}
        self._last_lease: _LeaseObservation | None = None

    def check(self) -> None:
        for name, process in self.world.processes.items():
            self._check_leader(name, process)
            self._check_commands(name, process)
        self._check_leases()

    def on_reply(self, payload: bytes, outcome: object) -> None:
        """Checks the outcome of a proposal."""
        if isinstance(outcome, result.Success):
            self.successes += 1
            self._check_reply(payload, outcome.unwrap())
            return
        error = outcome.failure()  # type: ignore[attr-defined]
        self.failures[error.kind.value] += 1
        if not error.maybe_committed:
            self.not_committed.add(payload)
            if any(payload == command for _, command in self.committed):
                raise OracleError("reply", f"{payload!r} was committed")

    def on_confirmed(
        self, process: cluster.Process, known: int, outcome: object
    ) -> None:
        """Checks a confirmation requested after `known` commands committed."""
        if isinstance(outcome, result.Success):
            applied_count = len(process.machine.commands)
            if applied_count < known:
                raise OracleError(
                    "confirmation", f"{applied_count} of {known} known"
                )

    def _check_leader(
        self, name: base.InstanceId, process: cluster.Process
    ) -> None:
        if not process.node.is_leader:
            return
        epoch = process.node.epoch
        identity = f"{name}/{process.node.status().store}"
        known_leader = self._leaders.setdefault(epoch, identity)
        if known_leader != identity:
            raise OracleError(
                "one leader", f"epoch {epoch} has {known_leader} and {identity}"
            )
        self.elections = len(self._leaders)

    def _check_commands(
        self, name: base.InstanceId, process: cluster.Process
    ) -> None:
        commands = process.machine.commands
        checked = self._checked.get(process, 0)
        if process.machine.restores:
            process.machine.restores = 0
            self.installs += 1
            checked = 0
        if checked == len(commands):
            return
        if len(commands) < checked:
            raise OracleError("prefix", f"{name} lost applied commands")
        for position in range(checked, len(commands)):
            if position == len(self.committed):
                self._record_committed(commands[position])
            elif self.committed[position] != commands[position]:
                raise OracleError(
                    "committed",
                    f"{name} has {commands[position]} at {position}, but "
                    f"{self.committed[position]} was committed there",
                )
        self._checked[process] = len(commands)

    def _record_committed(self, command: tuple[int, bytes]) -> None:
        if self.committed and command[0] <= self.committed[-1][0]:
            raise OracleError(
                "committed", f"index of {command} does not increase"
            )
        if command[1] in self.not_committed:
            raise OracleError(
                "reply", f"{command} was reported as not committed"
            )
        self.committed.append(command)

    def _check_leases(self) -> None:
        now = self.world.now
        lease_holders = [
            process
            for process in self.world.processes.values()
            if process.node.lease_held()
        ]
        if len(lease_holders) > 1:
            names = sorted(str(p.node.status().instance) for p in lease_holders)
            raise OracleError("one lease", f"held by {names} at {now:.3f}")
        for holder in lease_holders:
            self._check_holder(holder, now)
            self._check_later_leaders(holder)

    def _check_holder(self, holder: cluster.Process, now: float) -> None:
        applied_count = len(holder.machine.commands)
        if applied_count < len(self.committed):
            raise OracleError(
                "lease reads",
                f"holder has applied {applied_count} of {len(self.committed)} "
                "commands",
            )
        epoch = holder.node.epoch
        previous = self._last_lease
        if previous is not None and previous.holder is not holder:
            gap = now - previous.last_seen
            if gap < self._min_handover_gap_s:
                raise OracleError("handover gap", f"only {gap:.3f} s")
        self._last_lease = _LeaseObservation(holder, epoch, now)

    def _check_later_leaders(self, holder: cluster.Process) -> None:
        """Checks that no later leader is elected while a lease is held."""
        for name, process in self.world.processes.items():
            has_later_epoch = process.node.epoch > holder.node.epoch
            if has_later_epoch and process.node.is_leader:
                raise OracleError(
                    "election in a lease",
                    f"{name} leads epoch {process.node.epoch} while the "
                    f"lease of epoch {holder.node.epoch} is held",
                )

    def check_isolated(self, name: str, seconds: float) -> None:
        """Checks that an instance isolated from all others starts no epoch."""
        process = self.world.processes.get(base.InstanceId(name))
        if process is None or len(process.node.status().voters) < 2:
            return
        self.world.run(1.0)
        epoch = process.node.epoch
        self.world.run(seconds)
        if process.node.epoch != epoch:
            raise OracleError("isolated epoch", f"{name} started an epoch")

    def _check_reply(self, payload: bytes, reply: bytes) -> None:
        index, count = reply.split(b":")
        command = (int(index), payload)
        position = int(count) - 1
        # The reply may precede this step's check of the applied commands.
        self.check()
        if (
            position >= len(self.committed)
            or self.committed[position] != command
        ):
            raise OracleError("reply", f"{command} is not at {position}")


def find_members(world: cluster.World) -> list[consensus.Members]:
    """Returns the newest member set of every running node."""
    found = []
    for process in world.processes.values():
        status = process.node.status()
        found.append(consensus.Members(status.voters + status.learners))
    return found
