"""Measures control on this machine: `python -m measurements.control`.

Prints processor time a command, snapshots by what they hold, and sync
messages by what they carry. Every slope is the difference of two sizes.
"""

import collections.abc
import time
import tracemalloc

import attrs
import banyanbank_control as control

from tests.control import samples
from tests.control import test_duties
from tests.control import test_intents
from tests.control.sync import test_exchange


def show(name: str, value: float, unit: str) -> None:
    """Prints one figure."""
    print(f"{name:52} {value:12,.1f} {unit}")  # noqa: T201


def filled(
    keys: int = 0, intents: int = 0, accounts: int = 0
) -> control.ControlMachine:
    """Returns a machine that holds some of each."""
    machine = samples.make_configured_machine()
    more = [control.Account(f"x{n}") for n in range(accounts)]
    items = [*samples.DECLARED.items(), *more]
    declared = control.Declarations.from_items(items)
    samples.send(machine, samples.make_apply_declarations("a", 1, declared))
    for number in range(keys):
        samples.send(machine, create_key(number))
    for number in range(intents):
        begin, complete = intent(number)
        samples.send(machine, begin)
        samples.send(machine, complete)
    return machine


def create_key(number: int) -> control.CreateKey:
    """Returns a command that makes a key."""
    key = control.Key(f"k{number}", "acme", control.hash_secret(str(number)))
    return control.CreateKey(f"ck{number}", "ann", key)


def intent(number: int) -> tuple[control.Command, control.Command]:
    """Returns a claim and its answer of 200 bytes."""
    name = f"0190b2c3-{number:08d}"
    begin = attrs.evolve(
        test_intents.BEGIN,
        idempotency_key=name,
        request_id=f"{name}-r",
        request_digest=b"d" * 32,
        retain_until=2000.0 + number % 1000,
    )
    complete = attrs.evolve(
        test_intents.COMPLETE,
        idempotency_key=name,
        request_id=f"{name}-r",
        answer=b"a" * 200,
    )
    return begin, complete


def usage(number: int) -> control.AddUsage:
    """Returns a flush of eight accounts."""
    figures = control.UsageFigures(10, 10_000, 5_000, 4_000, 9_000_000)
    deltas = tuple(
        control.UsageDelta(f"account-{n}", figures) for n in range(8)
    )
    return control.AddUsage("instance-1", 1, number + 1, deltas)


def order(number: int) -> control.DecideOrder:
    """Returns a decision for a need of its own."""
    request = attrs.evolve(test_duties.REQUEST, need=f"n{number}")
    return control.DecideOrder(request, 1)


def rate(
    machine: control.ControlMachine,
    commands: collections.abc.Iterable[control.Command],
) -> tuple[float, float]:
    """Returns microseconds and payload bytes a command."""
    payloads = [control.COMMAND_CODEC.encode(cmd) for cmd in commands]
    began = time.process_time()
    for payload in payloads:
        machine.apply(machine.applied + 1, payload)
    seconds = time.process_time() - began
    size = sum(map(len, payloads)) / len(payloads)
    return seconds / len(payloads) * 1e6, size


def batches(number: int) -> dict[str, list[control.Command]]:
    """Returns 1,000 new commands of each kind."""
    numbers = range(number * 1000, (number + 1) * 1000)
    pairs = [intent(10**6 + n) for n in numbers]
    return {
        "CreateKey": [create_key(10**6 + n) for n in numbers],
        "AddUsage, 8 accounts": [usage(n) for n in numbers],
        "BeginIntent": [begin for begin, _ in pairs],
        "CompleteIntent, 200 B": [complete for _, complete in pairs],
        "DecideOrder": [order(n) for n in numbers],
    }


def measure_commands() -> None:
    """Prints the cost of commands over an empty and over a full state.

    Both are measured in turn, and the least of five counts: other work on the
    machine only ever adds.
    """
    states = {
        "empty": filled(),
        "5,000 keys, 15,000 intents": filled(keys=5000, intents=15_000),
    }
    best: dict[tuple[str, str], float] = {}
    for number in range(5):
        for kind, batch in batches(number).items():
            for name, machine in states.items():
                microseconds, size = rate(machine, batch)
                known = best.get((kind, name), microseconds)
                best[kind, name] = min(known, microseconds)
            if number == 0:
                show(kind, size, "B in the log")
    for (kind, name), microseconds in best.items():
        show(f"{kind}; {name}", microseconds, "us a command")


def measure_large_set() -> None:
    """Prints a change of one key in a sheet of 5,000, whole and compacted."""
    machine = filled(keys=5000)
    in_force = machine.state.config
    declared = in_force.declared()
    declared = declared.with_keys((*declared.keys, create_key(10**8).key))
    whole = samples.make_apply_declarations("w", in_force.revision, declared)
    began = time.process_time()
    compacted = control.derive_changes(in_force, whole)
    seconds = time.process_time() - began
    show("compacting a sheet of 5,000 keys", seconds * 1e6, "us")
    for name, cmd in (("compacted", compacted), ("whole", whole)):
        copy = control.ControlMachine()
        copy.restore(machine.snapshot())
        microseconds, size = rate(copy, [cmd])
        show(f"one key in a sheet of 5,000, {name}", microseconds, "us")
        show(f"one key in a sheet of 5,000, {name}", size, "B in the log")


def snapshot_cost(machine: control.ControlMachine) -> tuple[float, int]:
    """Returns milliseconds and bytes of a snapshot."""
    began = time.process_time()
    data = machine.snapshot()
    return (time.process_time() - began) * 1e3, len(data)


def measure_snapshots() -> None:
    """Prints what snapshots cost by what they hold."""
    base_ms, base_size = snapshot_cost(filled())
    show("snapshot, 14 items", base_size, "B")
    cases = {
        "key (with its history and request)": (filled(keys=4000), 4000),
        "account": (filled(accounts=1000), 1000),
        "1,000 intents with 200 B answers": (filled(intents=20_000), 20),
    }
    for name, (machine, count) in cases.items():
        ms, size = snapshot_cost(machine)
        show(f"snapshot: {name}", (size - base_size) / count, "B")
        show(f"snapshot: {name}", (ms - base_ms) / count * 1e3, "us")
        data = machine.snapshot()
        began = time.process_time()
        control.ControlMachine().restore(data)
        seconds = time.process_time() - began
        show(f"restore: {name}", seconds / count * 1e6, "us")


def measure_tombstones() -> None:
    """Prints what a withdrawn key leaves in snapshots for ever."""
    machine, count = filled(keys=5000), 5000
    for number in range(count):
        cmd = control.WithdrawKey(f"w{number}", "ann", f"k{number}")
        samples.send(machine, cmd)
    held = machine.snapshot()
    none = control.ConfigState().tombstones
    config = attrs.evolve(machine.state.config, tombstones=none)
    machine.state = attrs.evolve(machine.state, config=config)
    size = (len(held) - len(machine.snapshot())) / count
    show("snapshot a withdrawn key", size, "B")


def measure_memory() -> None:
    """Prints allocated bytes by what a voter and an entry hold."""
    cases = {
        "key at a voter": (lambda: filled(keys=4000), 4000),
        "intent with a 200 B answer": (lambda: filled(intents=10_000), 10_000),
        "member and endpoint at the leader": (
            lambda: populated(4000, 4000),
            4000,
        ),
    }
    for name, (build, count) in cases.items():
        tracemalloc.start()
        held = build()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        show(f"memory: {name}", size / count, "B")
        del held


def reply_size(
    machine: control.ControlMachine,
    leader: control.LeaderSync,
    entry: control.EntrySync,
) -> int:
    """Polls once and returns the bytes of the answer."""
    reply = leader.answer(entry.request(1.0), machine.state.config, 1.0)
    entry.apply_reply(reply, 1.0)
    return len(control.SYNC_CODEC.encode(reply))


def populated(members: int, endpoints: int) -> control.LeaderSync:
    """Returns a leader that has heard of many."""
    leader = control.LeaderSync(1, 1e5)
    config = control.ControlMachine().state.config
    for number in range(members):
        member = test_exchange.member(f"instance-{number:03d}")
        other = control.EntrySync(member)
        leader.answer(other.request(1.0), config, 1.0)
    for number in range(endpoints):
        models = (control.ServedModel("coach", 1),)
        announcement = attrs.evolve(
            test_exchange.engine(f"endpoint-{number:03d}"), models=models
        )
        leader.record_announcement(announcement, 1.0)
    return leader


def measure_sync() -> None:
    """Prints what polls and answers cost by what they carry."""
    machine = filled()
    entry = control.EntrySync(test_exchange.member("instance-999"))
    sizes = {}
    for name, members, endpoints in (("", 0, 0), ("m", 100, 0), ("e", 0, 100)):
        fresh = control.EntrySync(test_exchange.member("instance-999"))
        leader = populated(members, endpoints)
        sizes[name] = reply_size(machine, leader, fresh)
    show("first answer a member", (sizes["m"] - sizes[""]) / 100, "B")
    show("first answer an endpoint", (sizes["e"] - sizes[""]) / 100, "B")
    leader = populated(360, 600)
    reply_size(machine, leader, entry)
    show(
        "idle answer, 360 members, 600 endpoints",
        reply_size(machine, leader, entry),
        "B",
    )
    request = control.SYNC_CODEC.encode(entry.request(1.0))
    show("idle poll", len(request), "B")
    idle = reply_size(machine, leader, entry)
    samples.send(machine, create_key(10**7))
    change = reply_size(machine, leader, entry)
    show("answer a change of one key, more than idle", change - idle, "B")
    measure_polls(machine, leader, entry)


def measure_polls(
    machine: control.ControlMachine,
    leader: control.LeaderSync,
    entry: control.EntrySync,
) -> None:
    """Prints the processor time of idle polls at both ends."""
    codec, rounds = control.SYNC_CODEC, 2000
    polls = [codec.encode(entry.request(1.0)) for _ in range(rounds)]
    began = time.process_time()
    answers = [
        codec.encode(
            leader.answer(codec.decode(poll), machine.state.config, 1.0)
        )
        for poll in polls
    ]
    leader_s = time.process_time() - began
    show("idle poll at the leader", leader_s / rounds * 1e6, "us")
    began = time.process_time()
    for answer in answers:
        codec.encode(entry.request(1.0))
        entry.apply_reply(codec.decode(answer), 1.0)
    entry_s = time.process_time() - began
    show("idle poll at an entry", entry_s / rounds * 1e6, "us")


def main() -> None:
    """Prints every figure."""
    measure_commands()
    measure_large_set()
    measure_snapshots()
    measure_tombstones()
    measure_memory()
    measure_sync()


if __name__ == "__main__":
    main()
