"""Simulated voters, leader, entry instances, operators and clock."""

import collections

import attrs
import banyanbank_control as control

from tests.control.stateful import config_oracle
from tests.control.stateful import effect_oracle

RETENTION_S = 90.0
KEYS = tuple(range(5))


@attrs.define
class Attempt:
    """A non-idempotent request at an entry instance."""

    cmd: control.BeginIntent
    retained_until: float
    phase: str = "begin"
    answer: bytes = b""


@attrs.define
class Entry:
    """One incarnation of an entry instance, with clocks of its own.

    `offset` shifts its monotonic clock and `skew` its wall clock, in seconds.
    """

    name: str
    incarnation: int
    offset: float
    skew: float
    sync: control.EntrySync
    usage: control.UsageBuffer
    linked: bool = True
    revision: int = 0
    buffered: collections.Counter[str] = attrs.Factory(collections.Counter)
    flushed: collections.Counter[str] = attrs.Factory(collections.Counter)
    attempts: list[Attempt] = attrs.Factory(list)
    queued: list[control.Principal] = attrs.Factory(list)


def new_entry(name: str, incarnation: int) -> Entry:
    """Returns a new incarnation of an entry instance."""
    member = control.Member(name, incarnation, f"{name}:1", "z")
    position = ord(name) - ord("x")
    return Entry(
        name,
        incarnation,
        offset=1e6 * (position + 1) + 1e4 * incarnation,
        skew=(-50.0, 50.0)[position],
        sync=control.EntrySync(member),
        usage=control.UsageBuffer(name, incarnation),
    )


class World:
    """System under test: real state machines on simulated links and time."""

    def __init__(self) -> None:
        self.now = 10_000.0
        self.voters = [control.ControlMachine(), control.ControlMachine()]
        self.index = 0
        self.requests: list[tuple[str, control.SyncRequest]] = []
        self.replies: list[tuple[str, bytes]] = []
        self.committed: list[control.Command] = []
        self.entries = {name: new_entry(name, 1) for name in "xy"}
        self.config = config_oracle.ConfigOracle()
        self.usage = effect_oracle.UsageOracle()
        self.runs = effect_oracle.RunOracle()
        self.orders = effect_oracle.OrderOracle()
        self.epoch = 0
        self.elect()

    @property
    def state(self) -> control.ControlState:
        """Control state at the leader."""
        return self.voters[0].state

    def elect(self) -> None:
        """Elects a new leader with empty soft state."""
        self.epoch += 1
        self.leader = control.LeaderSync(self.epoch, self.now)
        self.reporter = control.UsageReporter(self.epoch)
        self.planner = control.OrderPlanner(self.epoch)

    def commit(
        self,
        cmd: control.Command,
        base_config: control.ConfigState | None = None,
    ) -> control.Reply:
        """Commits a command at all voters and checks the reply.

        Args:
            cmd: The command.
            base_config: Configuration that the leader compacts the command
                against; None to commit it unchanged.
        """
        self.index += 1
        sent = cmd
        if base_config is not None and isinstance(
            cmd, control.ApplyDeclarations
        ):
            sent = control.derive_changes(base_config, cmd)
        payload = control.COMMAND_CODEC.encode(sent)
        replies = {voter.apply(self.index, payload) for voter in self.voters}
        assert len(replies) == 1, "Voters differ."
        reply = control.REPLY_CODEC.decode(replies.pop())
        if isinstance(reply, control.Rejected):
            assert reply.reason is not control.RejectReason.DEFECT, cmd
        match cmd:
            case (
                control.ApplyDeclarations()
                | control.CreateKey()
                | control.WithdrawKey()
            ):
                self.config.check(cmd, reply, self.now)
            case control.AddUsage():
                self.usage.record_flush(cmd, reply)
        self.committed.append(cmd)
        return reply

    def restart_voter(self, number: int) -> None:
        """Restores the first voter from the snapshot of a voter."""
        data = self.voters[number].snapshot()
        restored = control.ControlMachine()
        restored.restore(data)
        assert restored.snapshot() == data, "A restored snapshot differs."
        self.voters[0] = restored
        assert self.voters[1].snapshot() == data, "Voters differ."

    def clock(self, entry: Entry) -> float:
        """Returns the monotonic time of an entry instance."""
        return self.now + entry.offset

    def crash(self, name: str) -> None:
        """Crashes an entry instance and restarts it."""
        entry = self.entries[name]
        self.usage.at_risk.update(entry.buffered)
        self.entries[name] = new_entry(name, entry.incarnation + 1)

    def poll(self, name: str) -> None:
        """Sends a poll of an entry instance; lost if it is not linked."""
        entry = self.entries[name]
        request = entry.sync.request(self.clock(entry))
        if entry.linked:
            self.requests.append((name, request))

    def answer(self, number: int) -> None:
        """Answers a poll in flight at the leader."""
        name, request = self.requests.pop(number % len(self.requests))
        config = self.state.config
        reply = self.leader.answer(request, config, self.now)
        self.replies.append((name, control.SYNC_CODEC.encode(reply)))

    def deliver(self, number: int, again: bool) -> None:
        """Delivers an answer to the current incarnation of its receiver."""
        number %= len(self.replies)
        name, data = self.replies[number]
        if not again:
            del self.replies[number]
        entry = self.entries[name]
        reply = control.SYNC_CODEC.decode(data)
        update = entry.sync.apply_reply(reply, self.clock(entry))
        for key_id in update.withdrawn:
            assert key_id in self.config.withdrawn_at

    def exchange(self, name: str) -> None:
        """Polls and delivers the answer; every key in force must then work."""
        entry = self.entries[name]
        if not entry.linked:
            return
        self.poll(name)
        self.answer(len(self.requests) - 1)
        self.deliver(len(self.replies) - 1, again=False)
        assert entry.sync.view.revision == self.config.revision
        for number in KEYS:
            granted = self.authenticate(entry, number)
            held = any(
                item.secret_sha256 == config_oracle.key(number).secret_sha256
                for item in self.config.keys.values()
            )
            assert (granted is not None) == held, "Wrong authentication result."
            if granted is not None:
                entry.queued.append(granted)

    def authenticate(
        self, entry: Entry, number: int
    ) -> control.Principal | None:
        """Authenticates with the secret of a key at an entry instance."""
        found = entry.sync.authenticator.authenticate(
            f"secret-{number}", self.clock(entry)
        )
        return found.value_or(None)

    def serve(self, name: str, account: str) -> None:
        """Counts one answered request at an entry instance."""
        entry = self.entries[name]
        entry.usage.count(account, control.UsageFigures(calls=1))
        entry.buffered[account] += 1
        self.usage.served[account] += 1

    def flush(self, name: str, answered: bool) -> None:
        """Flushes the counts of an entry instance; the reply may be lost."""
        entry = self.entries[name]
        cmd = entry.usage.flush()
        if cmd is None:
            return
        self.commit(cmd)
        if answered:
            entry.usage.acknowledge(cmd)
            for delta in cmd.deltas:
                entry.buffered[delta.account] -= delta.figures.calls

    def report(self, answered: bool) -> None:
        """Closes and reports windows at the leader; replies may be lost."""
        effects = self.reporter.decide(self.state.usage, self.now, self.now)
        for effect in effects:
            if isinstance(effect, control.Propose):
                self.commit(effect.command)
                continue
            self.usage.accept_report(effect.report)
            if answered:
                self.commit(
                    self.reporter.build_delivery_proposal(effect.report).command
                )

    def begin(self, name: str, key: str, request_id: str) -> None:
        """Starts a non-idempotent request at an entry instance."""
        entry = self.entries[name]
        wall_time = self.now + entry.skew
        cmd = control.BeginIntent(
            "a",
            key,
            b"digest",
            request_id,
            name,
            entry.incarnation,
            "e",
            wall_time,
            wall_time + RETENTION_S,
        )
        entry.attempts.append(Attempt(cmd, self.now + RETENTION_S))

    def _begin_and_claim(
        self, name: str, key: str, request_id: str
    ) -> Attempt | None:
        self.begin(name, key, request_id)
        attempt = self.entries[name].attempts[-1]
        self._claim(self.entries[name], attempt, answered=True)
        return attempt if attempt.phase == "granted" else None

    def run_request(self, name: str, key: str, request_id: str) -> None:
        """Claims and runs a request without storing its response."""
        if self._begin_and_claim(name, key, request_id) is not None:
            self.step_attempt(name, -1, choice=1)

    def abandon_request(
        self, name: str, key: str, request_id: str
    ) -> control.AbandonIntent | None:
        """Claims and abandons a request; a duplicate claim has no effect.

        Returns:
            The abandonment; None if the claim was not granted.
        """
        attempt = self._begin_and_claim(name, key, request_id)
        if attempt is None:
            return None
        cmd = attempt.cmd
        self._close_attempt(self.entries[name], attempt, control.AbandonIntent)
        self.commit(cmd)
        held = self.state.intents.intents
        assert (cmd.account, cmd.idempotency_key) not in held, "Still claimed."
        return control.AbandonIntent(
            cmd.account, cmd.idempotency_key, cmd.request_id
        )

    def step_attempt(self, name: str, number: int, choice: int) -> None:
        """Advances one request at an entry instance by one step."""
        entry = self.entries[name]
        attempt = entry.attempts[number % len(entry.attempts)]
        if self.now >= attempt.retained_until - 1.0:
            entry.attempts.remove(attempt)
        elif attempt.phase == "begin":
            self._claim(entry, attempt, answered=choice > 0)
        elif attempt.phase == "granted" and choice == 0:
            self._close_attempt(entry, attempt, control.AbandonIntent)
        elif attempt.phase == "granted":
            attempt.phase = "ran"
            attempt.answer = self.runs.run(
                attempt.cmd, attempt.retained_until, self.now
            )
        elif choice == 0:
            self.crash(name)
        else:
            self._close_attempt(
                entry, attempt, control.CompleteIntent, attempt.answer
            )

    def _claim(self, entry: Entry, attempt: Attempt, answered: bool) -> None:
        reply = self.commit(attempt.cmd)
        if not answered:
            return
        if isinstance(reply, control.IntentBegun):
            attempt.phase = "granted"
            return
        if isinstance(reply, control.IntentReplay):
            self.runs.check_replay(attempt.cmd, reply)
        entry.attempts.remove(attempt)

    def _close_attempt(
        self, entry: Entry, attempt: Attempt, kind: type, *answer_args: bytes
    ) -> None:
        cmd = attempt.cmd
        name = (cmd.account, cmd.idempotency_key, cmd.request_id)
        reply = self.commit(kind(*name, *answer_args))
        assert isinstance(reply, control.IntentClosed), reply
        entry.attempts.remove(attempt)

    def order(self, needs: list[str], accept: bool, answered: bool) -> None:
        """Orders endpoints at the leader and advances its live orders."""
        requests = [
            control.OrderRequest(
                need,
                control.Action.START,
                "m",
                "z",
                control.Supply.SAFE,
                1,
                float(self.epoch),
            )
            for need in needs
        ]
        orders = self.state.orders
        # Every endpoint that the platform has named is ready immediately.
        ready_endpoints = {f"e{number}" for number in range(1, orders.next)}
        effects = self.planner.decide(
            orders, requests, ready_endpoints, self.now
        )
        for effect in effects:
            if isinstance(effect, control.Propose):
                self.commit(effect.command)
            elif isinstance(effect, control.SendOrder):
                accepted = self.orders.accept_order(effect, accept)
                number = effect.order.number
                result = control.OrderResult(number, accepted, (f"e{number}",))
                if answered:
                    self.commit(
                        self.planner.build_result_proposal(result).command
                    )
        for need in list(self.orders.live):
            if need not in self.state.orders.needs:
                self.orders.close(need)

    def check(self) -> None:
        """Checks the invariants that must hold after every step."""
        config = self.state.config
        assert config.revision == self.config.revision
        assert config.declared() == self.config.contents[-1], "Content differs."
        buffered: collections.Counter[str] = collections.Counter()
        for entry in self.entries.values():
            self._check_entry(entry)
            buffered.update(entry.buffered)
        self.usage.check(self.state.usage, buffered)

    def _check_entry(self, entry: Entry) -> None:
        view = entry.sync.view
        assert view.revision >= entry.revision, "A view's revision decreased."
        entry.revision = view.revision
        content = self.config.contents[view.revision]
        assert set(view.key_ids.values()) == set(content.keys)
        assert set(view.items) == {
            item.ref
            for item in content.items()
            if not isinstance(item, control.Key)
        }
        for number in KEYS:
            self._check_principal(self.authenticate(entry, number))
        for principal in entry.queued:
            refused = entry.sync.authenticator.recheck(
                principal, self.clock(entry)
            )
            if refused is None:
                self._check_principal(principal)

    def _check_principal(self, granted: control.Principal | None) -> None:
        if granted is None:
            return
        withdrawn_time = self.config.withdrawn_at.get(
            granted.key_id, float("inf")
        )
        delay_s = self.now - withdrawn_time
        assert delay_s < control.FRESHNESS_S, (
            f"A key is accepted {delay_s} s after its withdrawal."
        )
        assert granted.account == "ab"[int(granted.key_id[1]) % 2]
