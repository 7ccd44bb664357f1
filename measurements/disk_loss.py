"""Time from a lost disk to the vote of its new store, stage by stage.

    uv run --no-sync python -m measurements.disk_loss --mb 16 --led

Stores and an entry run as processes on loopback. Batch jobs fill the state,
then a disk is lost and its machine is back at once. Each store gets a share of
a core as a quota: it runs at full speed until the share of a tenth of a second
is used up, and not at all for the rest.
"""

import base64
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import threading
import time

import fire

from tests import support
from tests.platform import deployment
from tests.platform import disk_losses
from tests.platform import stores

QUOTA_S = 0.1
"""Time to which the share of a core applies."""
POLL_S = 0.003
JOB_BYTES = 600_000
"""Bodies of one job; a command of the log is at most 1 MiB."""
ITEMS = 20
VOTE_S = 20.0
"""Time that a new store may take to vote."""
MB = 1 << 20
NS = 1e-9


class Quota:
    """Stops and resumes processes so that each gets a share of a core.

    Args:
        there: The stores; those that are started later are included.
        share: Share of a core that each may use.
    """

    def __init__(self, there: stores.Stores, share: float) -> None:
        self._there = there
        self._share = share
        self._is_running = True
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """Lets all processes run."""
        self._is_running = False
        self._thread.join()

    def _run(self) -> None:
        while self._is_running:
            until = time.monotonic() + QUOTA_S
            pids = [
                store.process.pid
                for store in self._there.all
                if store.process is not None and store.is_up
            ]
            begun = {pid: _read_cpu_s(pid) for pid in pids}
            stopped: set[int] = set()
            while time.monotonic() < until:
                for pid in set(pids) - stopped:
                    used_s = _read_cpu_s(pid) - begun[pid]
                    if used_s >= self._share * QUOTA_S:
                        _signal(pid, signal.SIGSTOP)
                        stopped.add(pid)
                time.sleep(POLL_S)
            for pid in stopped:
                _signal(pid, signal.SIGCONT)


def _read_cpu_s(pid: int) -> float:
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[0]) * NS


def _signal(pid: int, number: signal.Signals) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def make_large_job(job: int) -> bytes:
    """Returns a batch job of `JOB_BYTES`."""
    body = base64.b64encode(bytes(JOB_BYTES // ITEMS)).decode()
    return json.dumps(
        {
            "step": 0,
            "model": "model",
            "min-version": 1,
            "desired-count": 1,
            "requests": [
                {
                    "id": f"item-{job}-{number}",
                    "path": f"/jobs/x/{number}",
                    "headers": {"X-Banyanbank-Model": "model"},
                    "body": body,
                    "tokens": 100,
                    "group": "g1",
                }
                for number in range(ITEMS)
            ],
        }
    ).encode()


async def fill(there: stores.Stores, megabytes: int) -> None:
    """Submits batch jobs until the state has a size."""
    url = there.front_url(there.add_entry()) + "/jobs/x"
    count = megabytes * MB // JOB_BYTES
    for number in range(count):
        status = None
        while status != 202:
            reply = await there.call(
                "POST",
                url,
                make_large_job(number),
                x_banyanbank_request_id=f"large-{number}",
                **deployment.CALLER_HEADERS,
            )
            status = None if reply is None else reply.status
            if status != 202:
                await support.next_turn(0.1)


async def measure(
    there: stores.Stores, megabytes: int, led: bool, share: float
) -> disk_losses.Loss:
    """Loses a disk and returns the stages until its store votes."""
    await fill(there, megabytes)
    await support.next_turn(3.0)
    quota = Quota(there, share)
    try:
        await support.next_turn(1.0)
        lost = there.find_leader() if led else there.find_followers()[0]
        loss = disk_losses.lose_disk(there, lost)
        until = there.reactor.seconds() + VOTE_S
        while there.reactor.seconds() < until:
            await support.next_turn(0.2)
            loss.stages = disk_losses.read_stages(there, loss, float("inf"))
            if "voted" in loss.stages:
                break
    finally:
        quota.stop()
    return loss


def main(
    mb: int = 16,
    led: bool = False,
    share: float = 0.645,
    repeat: int = 3,
    keep: str = "",
) -> None:
    """Prints the stages of some losses, each in a deployment of its own.

    Args:
        mb: Size of the state, in MiB.
        led: Whether the lost store led.
        share: Share of a core of each store.
        repeat: Number of losses.
        keep: Folder in which the logs are kept.
    """
    for _ in range(repeat):
        folder = tempfile.mkdtemp(prefix=f"loss-{mb}-", dir=keep or None)

        async def run(folder: str = folder) -> disk_losses.Loss:
            there = stores.Stores(pathlib.Path(folder))
            try:
                await there.start()
                return await measure(there, mb, led, share)
            finally:
                await there.stop()

        loss = support.run_async(run, 10 * support.TEST_LIMIT_S)
        sys.stdout.write(f"{mb} MB, share {share}: {loss} ({folder})\n")
        sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(main)
