"""Stores as processes that are stopped, replaced and lose their disks."""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import typing

import attrs
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from tests import support
from tests.platform import deployment

SERVE = pathlib.Path(__file__).parents[2] / "platform" / "serve.py"
FIRST_STORES = 3
ENTRY_HOSTS = 100
"""Last number of the IP addresses after which those of entries come."""
GRACE_S = 8.0
"""`grace-s` of the users' sheets."""
CALL_TIMEOUT_S = 1.5
FAILURES = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.ConnectionLost,
    client.ResponseNeverReceived,
    client.ResponseFailed,
    defer.TimeoutError,
)
"""How a call to a store fails that is down or stops."""


@attrs.define(eq=False)
class Store:
    """A machine with a store, or with an entry."""

    name: str
    host: str
    folder: pathlib.Path
    settings: dict[str, typing.Any]
    role: str = "store"
    process: "subprocess.Popen[bytes] | None" = None
    started_at: float = 0.0
    """When the process was started last, in Unix time as its log has it."""

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Starts the process with the disk that the machine has."""
        path = self.folder / "boot.json"
        path.write_text(json.dumps(self.settings))
        self.started_at = time.time()
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(SERVE), self.role],
                env=os.environ | {"BANYANBANK_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Ends the process without warning."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Ends the process and empties the disk."""
        self.kill()
        shutil.rmtree(self.folder / "data")
        self.settings["bootstrap"] = False

    async def terminate(self) -> None:
        """Sends SIGTERM and waits for the end.

        Raises:
            AssertionError: It did not end within `grace-s`.
        """
        assert self.process is not None
        from twisted.internet import reactor

        clock: typing.Any = reactor
        until = clock.seconds() + GRACE_S
        self.process.send_signal(signal.SIGTERM)
        while self.is_up:
            if clock.seconds() > until:
                raise AssertionError(f"{self.name} runs on after SIGTERM")
            await support.next_turn(0.01)

    def read_events(self, *kinds: str) -> list[dict[str, typing.Any]]:
        """Returns the logged events of these kinds."""
        path = self.folder / "log.txt"
        lines = path.read_text(errors="replace").splitlines()
        events = [json.loads(line) for line in lines if line[:1] == "{"]
        return [event for event in events if event.get("event") in kinds]


class Stores:
    """First stores, further ones, and an operator that changes all the time.

    Args:
        folder: For settings, data and logs.
        count: Number of stores that form the log.
        tolerated: Number of disks that may be lost at the same time.

    Attributes:
        acknowledged: Latest version whose change was acknowledged.
        faults: What the operator read that it must not.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        count: int = FIRST_STORES,
        tolerated: int = 1,
    ) -> None:
        from twisted.internet import reactor

        self.reactor: typing.Any = reactor
        self._folder = folder
        self._count = count
        self._tolerated = tolerated
        self._mesh_port, self._control_port = support.free_ports(2)
        self._front_port, self._ready_port = support.free_ports(2)
        # The metrics port is fixed, so each test process has its addresses.
        self._net = f"127.{192 + os.getpid() % 62}.{os.getpid() // 62 % 256}"
        self.all: list[Store] = []
        self.entries: list[Store] = []
        self.acknowledged = 0
        self.faults: list[str] = []
        self._version = 0
        self._is_operated = True
        self._operator: defer.Deferred[None] | None = None

    async def start(self) -> None:
        """Starts the first stores and waits until they acknowledge a change."""
        for _ in range(self._count):
            self.add()
        self._operator = defer.ensureDeferred(self._operate())
        await support.until(lambda: self.acknowledged)

    async def stop(self) -> None:
        """Ends all processes, and the operator."""
        self._is_operated = False
        for machine in (*self.all, *self.entries):
            machine.kill()
        if self._operator is not None:
            await self._operator

    def add(self) -> Store:
        """Starts a further store on a machine with an empty disk."""
        number = len(self.all) + 1
        store = self._make_machine("store", number)
        self.all.append(store)
        store.start()
        return store

    def add_entry(self) -> Store:
        """Starts an entry."""
        entry = self._make_machine("entry", len(self.entries) + 1)
        self.entries.append(entry)
        entry.start()
        return entry

    def _make_machine(self, role: str, number: int) -> Store:
        host = f"{self._net}.{number + (role == 'entry') * ENTRY_HOSTS}"
        folder = self._folder / f"{role}-{number}"
        folder.mkdir()
        settings = {
            "node": folder.name,
            "zone": f"zone-{number % 3}",
            "ip": host,
            "listen": {
                "control": f"{host}:{self._control_port}",
                "front": f"{host}:{self._front_port}",
                "ready": f"{host}:{self._ready_port}",
            },
            "internal-ports": [self._mesh_port, self._mesh_port],
            "seeds": [
                f"{self._net}.{n + 1}:{self._control_port}"
                for n in range(self._count)
            ],
            "bootstrap": number <= self._count,
            "data-dir": str(folder / "data"),
            "fault-tolerance": {"machines": self._tolerated},
            "bounds": {"grace-s": GRACE_S, "window-s": 1},
        }
        return Store(folder.name, host, folder, settings, role)

    async def add_caught_up(self) -> Store:
        """Starts a further store and waits until it holds the whole log."""
        store = self.add()
        await support.until(
            lambda: any(
                event["store"].startswith(f"{store.host}:")
                and event["outcome"] == "done"
                for other in self.all
                for event in other.read_events("members.change")
            )
        )
        await support.next_turn(1.0)
        return store

    def find_leader(self) -> Store:
        """Returns the store that acquired the lease last."""
        return max(
            (store for store in self.all if store.is_up),
            key=lambda store: max(
                (e["epoch"] for e in store.read_events("lease.acquired")),
                default=0,
            ),
        )

    def find_followers(self) -> list[Store]:
        """Returns the running stores that do not lead."""
        leader = self.find_leader()
        return [s for s in self.all if s.is_up and s is not leader]

    def read_members(self) -> set[str]:
        """Returns the latest member set, each as `host:port` and role."""
        changes = [
            (event["epoch"], position, event["detail"])
            for store in self.all
            for position, event in enumerate(
                store.read_events("members.changing")
            )
        ]
        members = max(changes)[2].split()
        return {
            f"{member.partition('=')[0]}/{member.rpartition('/')[2]}"
            for member in members
        }

    def count_voters(self) -> int:
        """Returns the number of voters of the latest member set."""
        return sum(m.endswith("/voter") for m in self.read_members())

    def front_url(self, entry: Store) -> str:
        """Base URL of an entry for callers."""
        return f"http://{entry.host}:{self._front_port}"

    async def read_version(self) -> int | None:
        """Returns the version that some store reads; None if none answers."""
        for store in self.all:
            version = await self.read_version_of(store)
            if version is not None:
                return version
        return None

    async def read_version_of(self, store: Store) -> int | None:
        """Returns the version that a store reads; None if it has no answer."""
        reply = await self._call(store, "GET")
        if reply is None or reply.status != 200:
            return None
        return int(reply.json()["version"])

    async def _operate(self) -> None:
        """Changes the configuration and reads back what was acknowledged."""
        while self._is_operated:
            self._version += 1
            version = self._version
            document = deployment.DOCUMENT | {"version": version}
            body = json.dumps(document).encode()
            while self._is_operated and self.acknowledged < version:
                for store in self.all:
                    reply = await self._call(store, "PUT", body)
                    if reply is not None and reply.status == 200:
                        self.acknowledged = version
                        break
                await support.next_turn(0.02)
            read = await self.read_version()
            if read is not None and read < version:
                self.faults.append(f"{read} was read after {version}")

    async def _call(
        self, store: Store, method: str, body: bytes = b""
    ) -> deployment.Reply | None:
        url = f"http://{store.host}:{self._control_port}/-/config"
        return await self.call(method, url, body)

    async def call(
        self, method: str, url: str, body: bytes = b"", **headers: str
    ) -> deployment.Reply | None:
        """Makes a call; returns None if it is not answered in time."""
        calling = defer.ensureDeferred(
            deployment.call(self.reactor, method, url, body, **headers)
        )
        try:
            return await calling.addTimeout(CALL_TIMEOUT_S, self.reactor)
        except FAILURES:
            return None
