"""A small deployment: the project's programs as processes, with stand-ins."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import typing

from lab import record
from lab import servers
from lab import wire

ROOT = pathlib.Path(__file__).parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
STORES = 3
ENTRIES = 3
HEARTBEAT_S = 1.2
ACK_TIMEOUT_S = 1.0
"""Time after which a caller of the control address moves on."""
START_TIMEOUT_S = 30.0
HOST = "host.example"
KEY = "key-1"
BOUNDS = {
    "contact-ms": 3000,
    "ack-ms": 4000,
    "drain-ms": 2000,
    "grace-s": 8,
    "config-ms": 2000,
    "enforce-fencing": True,
    "lease-ms": 3000,
    "window-s": 5,
    "status-s": 120,
    "cancel-ms": 3000,
    "settle-ms": 1000,
}
"""Bounds of the example in the page on deployments."""


class CannotRunError(Exception):
    """The deployment did not come up, so that the case shows nothing."""


class Program:
    """One of the project's programs on one machine.

    Args:
        name: Name of the machine.
        role: Name of the role in the deploy file.
        folder: Holds its settings, its data and what it wrote.
        settings: What its settings file says.
    """

    def __init__(
        self,
        name: str,
        role: str,
        folder: pathlib.Path,
        settings: dict[str, typing.Any],
    ) -> None:
        self.name = name
        self.settings = settings
        self._folder = folder
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"][role]["run"].split()
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        path = self._folder / "boot.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", str(self._folder)),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BANYANBANK_BOOT": str(path),
        }
        with (self._folder / "log.txt").open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process without warning."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    def log(self) -> str:
        """Returns what the process wrote."""
        path = self._folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""


class Deployment:
    """Three stores and three entries; servers are added by the case.

    Args:
        notes: Record of the case.
    """

    def __init__(self, notes: record.Record) -> None:
        self.notes = notes
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="banyanbank-"))
        # The metrics port is fixed, so each run has addresses of its own.
        self._net = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}"
        ports = free_ports(6)
        self._mesh_port, self._control_port = ports[:2]
        self._front_port, self._ready_port = ports[2:4]
        self._server_port = ports[4]
        self.platform = servers.Platform(f"{self._net}.250", ports[5])
        self.stores = [
            self._make_program("store", number) for number in range(STORES)
        ]
        self.entries = [
            self._make_program("entry", number) for number in range(ENTRIES)
        ]
        self.texts = servers.Texts()
        self.servers: list[servers.Endpoint] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def control_addresses(self) -> list[str]:
        """Addresses of the stores for servers and operators."""
        return [store.settings["listen"]["control"] for store in self.stores]

    @property
    def front_addresses(self) -> list[str]:
        """Addresses of the entries for clients."""
        return [entry.settings["listen"]["front"] for entry in self.entries]

    @property
    def engines(self) -> list[servers.Engine]:
        """All model servers."""
        return [one for one in self.servers if isinstance(one, servers.Engine)]

    def add_engines(
        self,
        service: str,
        count: int,
        kind: type[servers.Engine] = servers.Engine,
    ) -> list[servers.Engine]:
        """Adds model servers; they start with the deployment."""
        added = [
            kind(*self._place(service, number)).prepare(self.texts, ["m0"])
            for number in range(count)
        ]
        self.servers.extend(added)
        return added

    def add_plain(self, service: str, count: int) -> None:
        """Adds plain servers; they start with the deployment."""
        self.servers.extend(
            servers.PlainServer(*self._place(service, number))
            for number in range(count)
        )

    async def start(self, config: dict[str, typing.Any]) -> None:
        """Starts everything and waits until the configuration is in force.

        Raises:
            CannotRunError: The deployment did not come up.
        """
        await self.platform.start()
        for program in (*self.stores, *self.entries):
            program.start()
        for one in self.servers:
            await one.start()
            self._tasks.append(asyncio.create_task(self._keep_announcing(one)))
        await self.put_config(config, START_TIMEOUT_S)
        deadline = time.monotonic() + START_TIMEOUT_S
        for entry in self.entries:
            while not await _is_ready(entry.settings["listen"]["ready"]):
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(5.0)
        self.notes.note("deployment is up")

    def stop(self) -> None:
        """Ends all processes and stand-ins that were started."""
        for task in self._tasks:
            task.cancel()
        for program in (*self.stores, *self.entries):
            program.kill()
        for one in (*self.servers, self.platform):
            one.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put_config(
        self, config: dict[str, typing.Any], timeout_s: float = 8.0
    ) -> None:
        """Sends a configuration until it is acknowledged.

        Raises:
            CannotRunError: There was no acknowledgement in time.
        """
        self.notes.note("config sent", version=config["version"])
        await self._order("PUT", "/-/config", config, timeout_s)
        self.notes.note("config acknowledged", version=config["version"])

    async def name_version(self, model: str, version: int) -> None:
        """Names a version as a trainer does.

        Raises:
            CannotRunError: There was no acknowledgement in time.
        """
        self.texts.named[model] = version
        body = {"model": model, "version": version}
        await self._order("POST", "/-/version-put", body, 8.0)
        self.notes.note("version acknowledged", **body)

    async def _order(
        self, method: str, path: str, body: typing.Any, timeout_s: float
    ) -> None:
        deadline = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < deadline:
            address = self.control_addresses[number % STORES]
            number += 1
            with contextlib.suppress(*wire.BROKEN):
                resp = await wire.call(
                    address,
                    method,
                    path,
                    {"Content-Type": "application/json"},
                    json.dumps(body).encode(),
                    ACK_TIMEOUT_S,
                )
                if resp.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"no acknowledgement of {method} {path}")

    async def announce(
        self, one: servers.Endpoint, method: str, body: bytes
    ) -> bool:
        """Sends what a server says of itself; returns whether it was acked."""
        for _ in range(STORES):
            address = self.control_addresses[one.daemon % STORES]
            with contextlib.suppress(*wire.BROKEN):
                resp = await wire.call(
                    address,
                    method,
                    f"/-/instances/{one.name}",
                    {"Content-Type": "application/json"} if body else {},
                    body,
                    ACK_TIMEOUT_S,
                )
                if resp.status == 200:
                    return True
            one.daemon += 1
        return False

    async def _keep_announcing(self, one: servers.Endpoint) -> None:
        while one.is_up:
            heartbeat = one.announcement()
            if one.is_announced:
                await self.announce(one, "PUT", heartbeat)
            await asyncio.sleep(HEARTBEAT_S)

    def _place(
        self, service: str, number: int
    ) -> tuple[str, int, str, str, str, record.Record]:
        return (
            f"{self._net}.{100 + len(self.servers) + number}",
            self._server_port,
            f"i-{service}-{number + 1}",
            service,
            ZONES[number % len(ZONES)],
            self.notes,
        )

    def _make_program(self, role: str, number: int) -> Program:
        name = f"{role}-{number + 1}"
        folder = self.folder / name
        folder.mkdir()
        host = f"{self._net}.{(1 if role == 'store' else 11) + number}"
        seeds = [
            f"{self._net}.{1 + store}:{self._control_port}"
            for store in range(STORES)
        ]
        is_store = role == "store"
        settings = {
            "node": name,
            "role": role,
            "machine-class": "storage" if is_store else "frontend",
            "serves": ["storage", "control_plane"]
            if is_store
            else ["frontend"],
            "ip": host,
            "zone": ZONES[number % len(ZONES)],
            "region": "region",
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": {
                "front": f"{host}:{self._front_port}",
                "ready": f"{host}:{self._ready_port}",
                "control": f"{host}:{self._control_port}",
            },
            "internal-ports": [self._mesh_port, self._mesh_port],
            "seeds": seeds,
            "bootstrap": True,
            "in-fault-budget": is_store,
            "data-dir": str(folder / "data") if is_store else None,
            "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "cloud": {
                "address": self.platform.address,
                "rate-per-s": 50.0,
                "duties": ["usage_report", "autoscale"],
                "duty-per-s": 50.0,
            },
        }
        return Program(name, role, folder, settings)


def free_ports(count: int) -> list[int]:
    """Returns TCP ports that nothing listens at."""
    held = [socket.socket() for _ in range(count)]
    try:
        for one in held:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in held]
    finally:
        for one in held:
            one.close()


async def _is_ready(address: str) -> bool:
    try:
        resp = await wire.call(address, "GET", "/-/ready")
    except wire.BROKEN:
        return False
    return resp.status == 200
