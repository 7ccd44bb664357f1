"""Measures commands, memory and snapshots of a full sample ledger.

Run: python -m measurements.ledger [--stored] [--samples N]
"""

import argparse
import json
import pathlib
import random
import resource
import sys
import tempfile
import time

import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

GROUP_SIZE = 8


def rss_mb() -> float:
    """Returns the resident memory of this process in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:  # noqa: PTH123
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / 1e6


def groups(trainer: str, samples: int) -> list[rollout.SubmitGroup]:
    """Returns the submissions of one step."""
    count = samples // GROUP_SIZE
    return [
        cases.group(
            number,
            trainer=base.TrainerId(trainer),
            model=base.ModelName(trainer),
            samples=GROUP_SIZE,
            groups_in_step=count,
            prompt=bytes(2_000),
        )
        for number in range(count)
    ]


def results(
    trainer: str, samples: int, body_bytes: int, stored: bool
) -> list[rollout.RecordSample]:
    """Returns the results of one step, each with a body of its own."""
    rng = random.Random(trainer)
    make = rollout.SampleBody.stored if stored else rollout.SampleBody.inline
    return [
        cases.sample(
            number,
            slot=rollout.SampleSlot(
                base.TrainerId(trainer),
                0,
                number // GROUP_SIZE,
                number % GROUP_SIZE,
            ),
            attempt_id=f"{trainer}-{rng.getrandbits(64):016x}-{number}",
            model=base.ModelName(trainer),
            body=make(rng.randbytes(body_bytes)),
        )
        for number in range(samples)
    ]


def timed_apply(
    ledger: rollout.Ledger,
    codec: base.Codec[rollout.LedgerCommand],
    commands: list[rollout.LedgerCommand],
) -> tuple[rollout.Ledger, float, int]:
    """Applies commands as decoded from bytes; returns rate and bytes each."""
    encoded = [codec.encode(command) for command in commands]
    commands.clear()
    size = sum(map(len, encoded)) // len(encoded)
    start = time.process_time()
    for data in encoded:
        ledger, reply = ledger.apply(codec.decode(data))
        assert not isinstance(reply, rollout.LedgerRefused), reply
    spent = time.process_time() - start
    return ledger, len(encoded) / spent, size


def measure_store(samples: int, body_bytes: int) -> dict[str, float]:
    """Returns bodies per second, synced one by one, and a restart's time."""
    rng = random.Random(1)
    trainer = base.TrainerId("a")
    with tempfile.TemporaryDirectory() as folder:
        store = rollout.FileBodyStore(pathlib.Path(folder))
        start = time.perf_counter()
        for number in range(samples):
            slot = rollout.SampleSlot(trainer, 0, number, 0)
            store.put(slot, rng.randbytes(body_bytes))
            store.sync()
        rate = samples / (time.perf_counter() - start)
        store.close()
        start = time.perf_counter()
        rollout.FileBodyStore(pathlib.Path(folder)).close()
        reopened = time.perf_counter() - start
    return {"stored_per_s": rate, "reopen_ms": 1e3 * reopened}


def main() -> None:
    """Prints one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stored", action="store_true")
    parser.add_argument("--samples", type=int, default=1_024)
    parser.add_argument("--body-bytes", type=int, default=30_000)
    args = parser.parse_args()
    codec: base.Codec[rollout.LedgerCommand] = base.Codec(
        *rollout.LEDGER_COMMANDS
    )
    figures: dict[str, float] = {"rss_start_mb": rss_mb()}
    ledger = rollout.Ledger()
    for trainer in ("a", "b"):
        ledger, rate, size = timed_apply(
            ledger, codec, groups(trainer, args.samples)
        )
        figures["submit_per_s"], figures["submit_bytes"] = rate, size
        ledger, rate, size = timed_apply(
            ledger,
            codec,
            results(trainer, args.samples, args.body_bytes, args.stored),
        )
        figures["record_per_s"], figures["record_bytes"] = rate, size
    figures["rss_full_mb"] = rss_mb()
    start = time.process_time()
    snapshot = ledger.to_snapshot()
    data = base.Codec(rollout.LedgerSnapshot).encode(snapshot)
    figures["snapshot_ms"] = 1e3 * (time.process_time() - start)
    figures["snapshot_mb"] = len(data) / 1e6
    figures["rss_snapshot_mb"] = rss_mb()
    start = time.process_time()
    restored = rollout.Ledger.from_snapshot(
        base.Codec(rollout.LedgerSnapshot).decode(data)
    )
    figures["restore_ms"] = 1e3 * (time.process_time() - start)
    assert restored == ledger
    for name, command in (
        ("form_ms", rollout.FormBatch(base.TrainerId("a"), 0, 0)),
        ("fetch_ms", rollout.FetchBatch(base.TrainerId("a"), 0, 0)),
    ):
        start = time.process_time()
        ledger, reply = ledger.apply(command)
        figures[name] = 1e3 * (time.process_time() - start)
    reply_codec: base.Codec[rollout.LedgerReply] = base.Codec(
        *rollout.LEDGER_REPLIES
    )
    figures["manifest_bytes"] = len(reply_codec.encode(reply))
    figures["peak_rss_mb"] = (
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1e3
    )
    if args.stored:
        figures |= measure_store(2 * args.samples, args.body_bytes)
    rounded = {name: round(value, 1) for name, value in figures.items()}
    sys.stdout.write(json.dumps(rounded, indent=1) + "\n")


if __name__ == "__main__":
    main()
