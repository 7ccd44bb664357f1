"""Costs of the sync exchange and of commands."""

from collections.abc import Iterator
import functools
import time

import banyanbank_base as base
import banyanbank_control as control

from banyanbank_bench.slopes import _meter
from banyanbank_bench.slopes import _target

NOW = 1.0
CODEC = control.SYNC_CODEC


def _member(number: int) -> control.Member:
    return control.Member(
        base.InstanceId(f"instance-{number:03d}"),
        base.Incarnation(1),
        f"10.0.{number // 250}.{number % 250}:8701",
        base.FailureDomain(f"zone-{number % _target.DOMAINS}"),
    )


def _announcement(number: int, sequence: int = 1) -> control.Announcement:
    return control.Announcement(
        base.EndpointId(f"engine-{number:03d}"),
        base.Incarnation(1),
        sequence,
        control.EndpointKind.ENGINE,
        f"10.1.{number // 250}.{number % 250}:8000",
        base.FailureDomain(f"zone-{number % _target.DOMAINS}"),
        models=(
            control.ServedModel(base.ModelName("coach"), base.WeightVersion(1)),
        ),
        slots=64,
    )


def _key(number: int) -> control.CreateKey:
    account = base.AccountId(f"account-{number % _target.ACCOUNTS}")
    secret = control.hash_secret(str(number))
    key = control.Key(base.KeyId(f"key-{number}"), account, secret)
    return control.CreateKey(base.RequestId(f"r-{number}"), "operator", key)


def send(machine: control.ControlMachine, cmd: control.Command) -> None:
    """Applies a command as the log would."""
    machine.apply(machine.applied + 1, control.COMMAND_CODEC.encode(cmd))


def machine_with(keys: int) -> control.ControlMachine:
    """Returns a state machine with accounts and keys in force."""
    machine = control.ControlMachine()
    items = [
        control.Account(base.AccountId(f"account-{number}"))
        for number in range(_target.ACCOUNTS)
    ]
    declared = control.Declarations.from_items(items)
    send(
        machine,
        control.ApplyDeclarations(base.RequestId("a"), "operator", 0, declared),
    )
    for number in range(keys):
        send(machine, _key(number))
    return machine


class _Exchange:
    """A leader that has heard of a cluster, and one entry."""

    def __init__(self, members: int, endpoints: int, keys: int) -> None:
        self.machine = machine_with(keys)
        self.leader = control.LeaderSync(1, 0.0)
        self.config = self.machine.state.config
        self.entry = control.EntrySync(_member(999))
        for number in range(members):
            other = control.EntrySync(_member(number))
            self.leader.answer(other.request(NOW), self.config, NOW)
        for number in range(endpoints):
            self.leader.record_announcement(_announcement(number), NOW)

    def poll(self) -> bytes:
        """Returns the entry's next poll."""
        return CODEC.encode(self.entry.request(NOW))

    def answer(self, poll: bytes) -> bytes:
        """Returns the leader's answer."""
        req = CODEC.decode(poll)
        assert isinstance(req, control.SyncRequest)
        config = self.machine.state.config
        return CODEC.encode(self.leader.answer(req, config, NOW))

    def exchange(self, answer: bytes) -> None:
        """Has the entry poll and take an answer in."""
        self.poll()
        self.apply_reply(answer)

    def apply_reply(self, answer: bytes) -> None:
        """Has the entry take an answer in."""
        reply = CODEC.decode(answer)
        assert isinstance(reply, control.SyncReply)
        self.entry.apply_reply(reply, NOW)


def measure_sync() -> Iterator[_meter.Figure]:
    """Yields the costs of polls at the target size."""
    world = _Exchange(_target.DAEMONS, _target.SERVERS, _target.KEYS)
    poll = world.poll()
    answers = [world.answer(poll)]
    yield _meter.Figure("first answer", len(answers[0]), "B")
    taken = _meter.once_us(functools.partial(world.apply_reply, answers[0]))
    yield _meter.Figure("first answer taken by entry", taken, "us")
    answered = _meter.process_us(lambda: world.answer(poll), 3)
    yield _meter.Figure("first answer made by leader", answered, "us")
    idle = world.poll()
    reply = world.answer(idle)
    yield _meter.Figure("idle poll", len(idle), "B")
    yield _meter.Figure("idle answer", len(reply), "B")
    us = _meter.process_us(lambda: world.answer(idle))
    yield _meter.Figure("idle poll at leader", us, "us")
    us = _meter.process_us(lambda: world.exchange(reply))
    yield _meter.Figure("idle poll at entry", us, "us")
    us = _meter.process_us(lambda: world.leader.tick(NOW), 20)
    yield _meter.Figure("sync tick at leader", us, "us")
    yield from _measure_changes(world, idle, len(reply))


def _measure_changes(
    world: _Exchange, idle: bytes, idle_bytes: int
) -> Iterator[_meter.Figure]:
    idle_us = _meter.process_us(lambda: world.answer(idle))
    send(world.machine, _key(10**6))
    reply = world.answer(idle)
    yield _meter.Figure("one change in answer", len(reply) - idle_bytes, "B")
    us = _meter.process_us(lambda: world.answer(idle)) - idle_us
    yield _meter.Figure("one change in answer at leader", us, "us")
    us = _meter.once_us(functools.partial(world.apply_reply, reply))
    yield _meter.Figure("one change taken by entry", us, "us")
    yield from _measure_heard(world)
    small, large = (
        _meter.held_bytes(functools.partial(_Exchange, size, size, 0))
        for size in (100, 500)
    )
    held = (large - small) / 400
    yield _meter.Figure("leader memory, member and endpoint", held, "B")


def _measure_heard(world: _Exchange) -> Iterator[_meter.Figure]:
    """Yields what renewals cost that an entry passes on."""
    heard = control.EntrySync(_member(998))
    reply = CODEC.decode(world.answer(CODEC.encode(heard.request(NOW))))
    assert isinstance(reply, control.SyncReply)
    heard.apply_reply(reply, NOW)
    idle = CODEC.encode(heard.request(NOW))
    idle_us = _meter.process_us(lambda: world.answer(idle))
    for number in range(100):
        heard.endpoints.heard.merge_announcement(_announcement(number, 2), NOW)
    poll = CODEC.encode(heard.request(NOW))
    size = (len(poll) - len(idle)) / 100
    yield _meter.Figure("announcement in poll", size, "B")
    us = (_meter.process_us(lambda: world.answer(poll), 10) - idle_us) / 100
    yield _meter.Figure("announcement at leader", us, "us")


def measure_commands() -> Iterator[_meter.Figure]:
    """Yields the costs of commands and of the snapshot."""
    machine = machine_with(_target.KEYS)
    figures = control.UsageFigures(10, 10_000, 5_000, 4_000, 9_000_000)
    deltas = tuple(
        control.UsageDelta(base.AccountId(f"account-{n}"), figures)
        for n in range(8)
    )
    batches: dict[str, list[control.Command]] = {
        "CreateKey": [_key(10**7 + n) for n in range(500)],
        "AddUsage of 8 accounts": [
            control.AddUsage(
                base.InstanceId("instance-1"),
                base.Incarnation(1),
                n + 1,
                deltas,
            )
            for n in range(500)
        ],
    }
    for name, batch in batches.items():
        payloads = [control.COMMAND_CODEC.encode(cmd) for cmd in batch]
        began = time.process_time()
        for payload in payloads:
            machine.apply(machine.applied + 1, payload)
        spent = (time.process_time() - began) / len(batch) * _meter.US
        yield _meter.Figure(f"{name} applied", spent, "us")
        size = sum(map(len, payloads)) / len(batch)
        yield _meter.Figure(f"{name} in log", size, "B")
    whole = machine_with(_target.KEYS)
    yield _meter.Figure("snapshot, 1,000 keys", len(whole.snapshot()), "B")
    us = _meter.process_us(whole.snapshot, 1)
    yield _meter.Figure("snapshot taken, 1,000 keys", us, "us")
    data = whole.snapshot()
    us = _meter.process_us(lambda: control.ControlMachine().restore(data), 1)
    yield _meter.Figure("snapshot restored, 1,000 keys", us, "us")
