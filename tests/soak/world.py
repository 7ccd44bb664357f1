"""A deployment of processes on loopback, with relays between them."""

import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import time
import typing

import attrs

from tests import links
from tests import support
from tests.soak import arrivals
from tests.soak import role
from tests.soak import servers

STORES = 3
FIRST_STORES = [f"store-{n + 1}" for n in range(STORES)]
ENTRIES = 2
CLOCK_STEP_MS = 2500
INTERPRETER_S = 1.0
"""Seconds after which a process has its own handlers of signals: until its
interpreter runs, any signal ends it."""
GARBAGE = b"\x00torn"
"""Bytes that a write which power cut short left behind the log's end."""


@attrs.define(eq=False)
class Member:
    """One process of the deployment and its folder."""

    name: str
    """Name of its machine, and of its links."""
    role: str
    """`entry` or `store`."""
    host: str
    """IP number that it listens at."""
    folder: pathlib.Path
    """Holds its settings, its data and what it wrote."""
    settings: dict[str, typing.Any]
    """What its settings file says."""
    running: subprocess.Popen[bytes] | None = None
    """The process; None between two lives."""
    lives: int = 0
    """How often it was started."""
    started_at: float = 0.0
    """When it was started last, in steady seconds."""
    pauses: int = 0
    """How often it was suspended."""
    clock_ahead_ms: int = 0
    """How far its time of day is ahead from its next start on."""
    events_before_start: int = 0
    """Number of events that it had logged when it was started last."""
    changes_before_wipe: int = 0
    """Number of member sets that were logged before it lost its disk last."""

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self.running is not None and self.running.poll() is None

    @property
    def handles_signals(self) -> bool:
        """Whether a signal finds handlers."""
        return self.is_up and time.monotonic() > self.started_at + INTERPRETER_S

    @property
    def can_jump(self) -> bool:
        """Whether the process has its handler of SIGUSR1, the soak's own."""
        if not self.is_up:
            return False
        assert self.running is not None
        status = pathlib.Path(f"/proc/{self.running.pid}/status").read_text()
        caught = re.search(r"^SigCgt:\s*(\w+)$", status, re.MULTILINE)
        assert caught is not None
        return bool(int(caught[1], 16) >> (signal.SIGUSR1 - 1) & 1)

    def start(self) -> None:
        """Starts the process, unless it runs."""
        if self.is_up:
            return
        self.lives += 1
        self.started_at = time.monotonic()
        self.events_before_start = len(self.events())
        path = self.folder / "boot.json"
        path.write_text(json.dumps(self.settings))
        environment = os.environ | {
            "BANYANBANK_BOOT": str(path),
            "BANYANBANK_MESH_LISTEN_HOST": self.host,
            "BANYANBANK_MESH_SOURCE_HOST": self.host,
            role.SOURCE_VARIABLE: self.host,
            role.STEP_VARIABLE: str(CLOCK_STEP_MS),
            role.AHEAD_VARIABLE: str(self.clock_ahead_ms),
        }
        with (self.folder / "log.txt").open("ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, "-m", "tests.soak.role", self.role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.is_up:
            assert self.running is not None
            self.running.send_signal(number)

    def kill(self) -> None:
        """Ends the process without warning."""
        if self.running is not None:
            self.running.kill()
            self.running.wait()
            self.running = None

    @property
    def has_served(self) -> bool:
        """Whether it has begun to serve since its latest start."""
        return any(
            event["event"] == "process.started"
            for event in self.events()[self.events_before_start :]
        )

    def events(self) -> list[dict[str, typing.Any]]:
        """Reads the events that it has logged."""
        events = []
        path = self.folder / "log.txt"
        text = path.read_text(errors="replace") if path.exists() else ""
        for line in text.splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return [event for event in events if isinstance(event, dict)]

    def wipe(self) -> None:
        """Empties its disk; it comes back as a machine that lost it."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        self.settings["bootstrap"] = False

    def tear(self) -> None:
        """Leaves a part of a write that was never synced at the log's end."""
        log = self.folder / "data" / "log"
        if log.exists():
            with log.open("ab") as file:
                file.write(GARBAGE)


class World:
    """Stores and entries as processes; servers and the API as stand-ins.

    Args:
        folder: For settings, data and logs.
        entries: Number of entries.
        successors: Number of machines that may replace a store.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = ENTRIES,
        successors: int = 0,
    ) -> None:
        from twisted.internet import reactor

        self.reactor: typing.Any = reactor
        ports = support.free_ports(4 + servers.PORTS)
        self._mesh_port, self._control_port = ports[:2]
        self._front_port, self._ready_port = ports[2:4]
        self.farm = servers.Farm(reactor, ports[4:])
        self.records = arrivals.Records(reactor.seconds)
        # The metrics port is fixed, so each run has addresses of its own.
        net = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}"
        self._hosts = {
            name: f"{net}.{index + 1}"
            for index, name in enumerate(
                FIRST_STORES
                + [f"entry-{n + 1}" for n in range(entries)]
                + [f"store-{STORES + n + 1}" for n in range(successors)]
            )
        }
        self._folder = folder
        self.links = links.Links(self._hosts, self._mesh_port)
        names = list(self._hosts)
        self.members = {
            name: self._member(name) for name in names[: STORES + entries]
        }
        self.unused = names[STORES + entries :]
        """Machines that may still replace a store."""
        self.removed: list[Member] = []
        """Stores that were replaced."""

    @property
    def stores(self) -> list[Member]:
        """Members that keep the log."""
        return [m for m in self.members.values() if m.role == "store"]

    @property
    def entries(self) -> list[Member]:
        """Members that take callers' requests."""
        return [m for m in self.members.values() if m.role == "entry"]

    def add_successor(self) -> Member:
        """Starts a store on an unused machine, whose disk is empty."""
        successor = self._member(self.unused.pop(0))
        successor.settings["bootstrap"] = False
        self.members[successor.name] = successor
        successor.start()
        return successor

    def remove(self, store: Member, successor: Member) -> None:
        """Takes a machine away with its disk; settings name its successor."""
        store.kill()
        store.wipe()
        del self.members[store.name]
        self.removed.append(store)
        old, new = (one.settings["ip"] for one in (store, successor))
        for member in self.members.values():
            member.settings["seeds"] = [
                seed.replace(f"{old}:", f"{new}:")
                for seed in member.settings["seeds"]
            ]

    def changes(self) -> list[list[str]]:
        """Returns the member sets that leaders logged, as `ip:port=store/role`.

        Epochs order them, since a time of day may have jumped.
        """
        logged = [
            (event["epoch"], position, event["detail"].split())
            for store in (*self.stores, *self.removed)
            for position, event in enumerate(store.events())
            if event["event"] == "members.changing"
        ]
        return [members for _, _, members in sorted(logged)]

    def is_replaced(self, store: Member) -> bool:
        """Whether a store votes that was made after its disk was lost."""
        changes = self.changes()
        lost = {
            member.partition("/")[0]
            for members in changes[: store.changes_before_wipe]
            for member in members
        }
        address = f"{store.settings['ip']}:{self._mesh_port}="
        return any(
            member.startswith(address)
            and member.endswith("/voter")
            and member.partition("/")[0] not in lost
            for member in (changes or [[]])[-1]
        )

    def control_url(self, store: Member) -> str:
        """Base URL of a store for servers and operators."""
        return f"http://{store.host}:{self._control_port}"

    def front_url(self, entry: Member) -> str:
        """Base URL of an entry for callers."""
        return f"http://{entry.host}:{self._front_port}"

    async def start(self) -> None:
        """Starts relays and processes."""
        await self.links.start()
        for member in self.members.values():
            member.start()

    async def stop(self) -> None:
        """Ends everything that was started."""
        for member in self.members.values():
            member.kill()
        await self.links.stop()
        await self.farm.stop()

    def _member(self, name: str) -> Member:
        own = self._folder / name
        own.mkdir()
        host = self._hosts[name]
        settings = {
            "node": name,
            "zone": f"zone-{name[-1]}",
            "ip": links.relayed(host),
            "listen": {
                "control": f"{host}:{self._control_port}",
                "front": f"{host}:{self._front_port}",
                "ready": f"{host}:{self._ready_port}",
            },
            "internal-ports": [self._mesh_port, self._mesh_port],
            "seeds": [
                f"{links.relayed(store)}:{self._control_port}"
                for other, store in self._hosts.items()
                if other in FIRST_STORES
            ],
            "bootstrap": True,
            "data-dir": str(own / "data"),
            "bounds": {"grace-s": 4, "window-s": 1},
            "cloud": {
                "address": self.farm.api.address,
                "duties": ["usage_report"],
            },
        }
        return Member(name, name.partition("-")[0], host, own, settings)
