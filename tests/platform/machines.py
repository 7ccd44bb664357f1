"""A store and an entry as real processes, to measure what they hold."""

import json
import os
import pathlib
import subprocess
import sys
import typing

import attrs
from twisted.internet import task

from tests import support
from tests.platform import deployment

SERVE = pathlib.Path(__file__).parents[2] / "platform" / "serve.py"
KIB = 1024


@attrs.define(eq=False)
class Machine:
    """One process.

    Attributes:
        process: The process, which the test started.
    """

    process: "subprocess.Popen[bytes]"

    @property
    def peak_bytes(self) -> int:
        """Most resident memory so far."""
        return self._status("VmHWM")

    def reset_peak(self) -> None:
        """Lets the peak begin again at what the process holds now."""
        path = pathlib.Path(f"/proc/{self.process.pid}/clear_refs")
        path.write_text("5")

    @property
    def held_bytes(self) -> int:
        """Resident memory now."""
        return self._status("VmRSS")

    def _status(self, name: str) -> int:
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * KIB
        raise AssertionError(f"the process is gone: {self.process.poll()}")

    def kill(self) -> None:
        """Ends the process."""
        self.process.kill()
        self.process.wait()


class Machines:
    """A store and an entry; the services are the test's own.

    Args:
        folder: For settings, data and logs.
        cloud_address: Address of the platform's API.
        duties: Duties to perform at that API.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        cloud_address: str,
        duties: typing.Sequence[str] = ("usage_report",),
    ) -> None:
        from twisted.internet import reactor

        self.reactor: typing.Any = reactor
        ports = support.free_ports(4)
        self._mesh_port, self._control_port = ports[:2]
        self._front_port, self._ready_port = ports[2:]
        self._folder = folder
        self._cloud = {"address": cloud_address, "duties": list(duties)}
        # The metrics port is fixed, so each test process has its addresses.
        self._net = f"127.{128 + os.getpid() % 64}.{os.getpid() // 64 % 256}"
        self._sequence = 0
        self.store = self._start("store", f"{self._net}.1")
        self.entry = self._start("entry", f"{self._net}.2")

    def stop(self) -> None:
        """Ends both processes."""
        for machine in (self.entry, self.store):
            machine.kill()

    def _start(self, role: str, host: str) -> Machine:
        settings = {
            "node": f"{role}-1",
            "zone": "zone-a",
            "ip": host,
            "listen": {
                "control": f"{host}:{self._control_port}",
                "front": f"{host}:{self._front_port}",
                "ready": f"{host}:{self._ready_port}",
            },
            "internal-ports": [self._mesh_port, self._mesh_port],
            "seeds": [f"{self._net}.1:{self._control_port}"],
            "bootstrap": True,
            "data-dir": str(self._folder / role),
            "bounds": {"grace-s": 60, "window-s": 1},
            "cloud": self._cloud,
        }
        path = self._folder / f"{role}.json"
        path.write_text(json.dumps(settings))
        with (self._folder / f"{role}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, str(SERVE), role],
                env=os.environ | {"BANYANBANK_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )
        return Machine(process)

    async def call(
        self, method: str, url: str, body: bytes = b"", **headers: str
    ) -> deployment.Reply:
        """Sends a request on a new connection."""
        return await deployment.call(self.reactor, method, url, body, **headers)

    async def call_front(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> deployment.Reply:
        """Calls the entry with the API key of `account-1`."""
        url = f"http://{self._net}.2:{self._front_port}{path}"
        return await self.call(
            method, url, body, **(deployment.CALLER_HEADERS | headers)
        )

    async def call_store(
        self, method: str, path: str, document: typing.Any
    ) -> deployment.Reply:
        """Calls the store as operators do, again after 503 or 504."""
        url = f"http://{self._net}.1:{self._control_port}{path}"
        body = json.dumps(document).encode()
        while True:
            try:
                reply = await self.call(method, url, body)
            except Exception:
                assert self.store.process.poll() is None
            else:
                if reply.status not in (503, 504):
                    return reply
            await support.next_turn(0.05)

    async def announce(self, services: dict[str, str]) -> None:
        """Announces one endpoint of each service.

        Args:
            services: Address of the endpoint by the name of its service.
        """
        self._sequence += 1
        for service, address in services.items():
            models = [{"name": "model", "version": 1, "adapters": []}]
            reply = await self.call_store(
                "PUT",
                f"/-/instances/{service}-1",
                {
                    "service": service,
                    "address": address,
                    "zone": "zone-a",
                    "slots": 64,
                    "state": "ready",
                    "sequence": self._sequence,
                    "born": 1_000,
                    "models": models if service == "engines" else [],
                },
            )
            assert reply.status == 200, reply

    async def keep_announcing(self, services: dict[str, str]) -> None:
        """Announces endpoints every second until it is cancelled."""
        while True:
            await task.deferLater(self.reactor, 1.0)
            await self.announce(services)

    async def configure(
        self, document: dict[str, typing.Any], services: dict[str, str]
    ) -> None:
        """Applies a document and waits until the entry serves it."""
        reply = await self.call_store("PUT", "/-/config", document)
        assert reply.status == 200, reply
        await self.announce(services)
        await self._until_served()

    async def _until_served(self) -> None:
        while True:
            try:
                reply = await self.call_front("GET", "/sound/first")
            except Exception:
                assert self.entry.process.poll() is None
            else:
                if reply.status == 200:
                    return
            await support.next_turn(0.05)
