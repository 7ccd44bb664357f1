"""Starts instances as processes and breaks them."""

import collections.abc
import contextlib
import pathlib
import shutil
import signal
import subprocess
import sys
import typing

import attrs
import banyanbank_fakes as fakes
from twisted.internet import error
from twisted.web import client

from tests import links
from tests import support

DOMAINS = 3
OPERATOR_TOKEN = "operators-token-of-the-tests"
ANNOUNCE_TOKEN = "announce-token-of-the-tests"
NOT_RUN = "not run"
SERVICE_UNAVAILABLE = 503
TOO_MANY_REQUESTS = 429
OK = 200
LOG_END_CHARS = 2_000


@attrs.define
class Process:
    """One instance as a process."""

    name: str
    host: str
    arguments: list[str]
    log: pathlib.Path
    data: pathlib.Path | None
    running: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        program = pathlib.Path(sys.executable).with_name("banyanbankd")
        with self.log.open("ab") as log:
            self.running = subprocess.Popen(
                [program, *self.arguments], stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        assert self.running is not None
        self.running.send_signal(number)

    def kill(self) -> None:
        """Ends the process without warning."""
        if self.running is not None:
            self.running.kill()
            self.running.wait()
            self.running = None

    @property
    def has_ended(self) -> bool:
        return self.running is None or self.running.poll() is not None

    def check_running(self) -> None:
        """Fails with the end of the log if the process has ended."""
        if self.has_ended:
            log = self.log.read_text(errors="replace")[-LOG_END_CHARS:]
            raise AssertionError(f"{self.name} has ended: {log}")


class Cluster:
    """Instances on 127.0.0.x, the first ones with data folders.

    They reach each other only through relays, see `links`.

    Args:
        folder: For data and logs.
        size: How many instances.
        *extra: Flags that all of them get.
        voters: How many of them, from the first, form the log.
        disks: How many of them have a data folder; None for the voters.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        size: int,
        *extra: str,
        voters: int = 3,
        disks: int | None = None,
    ) -> None:
        from twisted.internet import reactor

        self._reactor: typing.Any = reactor
        self._ports = support.free_ports(3)
        self._tokens = _write_tokens(folder)
        hosts = [f"127.0.0.{number}" for number in range(1, size + 1)]
        names = [f"i{number}" for number in range(1, size + 1)]
        voting = ",".join(
            f"{name}={links.relayed(host)}:{self._ports[1]}"
            for name, host in list(zip(names, hosts, strict=True))[:voters]
        )
        self.processes = {
            name: self._process(
                folder,
                name,
                hosts[index],
                index,
                voting,
                index < (disks or voters),
                extra,
            )
            for index, name in enumerate(names)
        }
        self.links = links.Links(
            dict(zip(names, hosts, strict=True)), self._ports[1]
        )
        self._callers: list[fakes.Caller] = []

    def _process(
        self,
        folder: pathlib.Path,
        name: str,
        host: str,
        index: int,
        voting: str,
        has_disk: bool,
        extra: tuple[str, ...],
    ) -> Process:
        data = folder / f"data-{name}" if has_disk else None
        arguments = [
            f"--instance-id={name}",
            f"--failure-domain=zone-{index % DOMAINS + 1}",
            f"--listen-host={host}",
            f"--advertised-host={links.relayed(host)}",
            f"--mesh-source-host={host}",
            f"--caller-port={self._ports[0]}",
            f"--mesh-port={self._ports[1]}",
            f"--operator-port={self._ports[2]}",
            f"--voters={voting}",
            f"--operator-token-file={self._tokens[0]}",
            f"--announce-token-file={self._tokens[1]}",
            *extra,
        ]
        if data is not None:
            data.mkdir()
            arguments.append(f"--data-dir={data}")
        log = folder / f"{name}.log"
        return Process(name, host, arguments, log, data)

    def url(self, name: str) -> str:
        """Base URL of an instance's callers' listener."""
        return f"http://{self.processes[name].host}:{self._ports[0]}"

    def urls(self) -> list[str]:
        return [self.url(name) for name in self.processes]

    def operator(self, name: str) -> fakes.Caller:
        """A caller of an instance's operator interface."""
        url = f"http://{self.processes[name].host}:{self._ports[2]}"
        return self._caller(url, OPERATOR_TOKEN)

    def balancer(self, secret: str) -> "Balancer":
        """A caller that goes elsewhere when nothing was run."""
        callers = [self._caller(url, secret) for url in self.urls()]
        return Balancer(callers)

    def caller(self, name: str, secret: str) -> fakes.Caller:
        """A caller of one instance with one key."""
        return self._caller(self.url(name), secret)

    def _caller(self, url: str, secret: str) -> fakes.Caller:
        caller = fakes.Caller(self._reactor, url, secret)
        self._callers.append(caller)
        return caller

    async def start(self) -> None:
        await self.links.start()
        for process in self.processes.values():
            process.start()
        await self.until_fresh(*self.processes)

    async def until_fresh(self, *names: str) -> None:
        """Waits until instances hold a fresh configuration."""
        for name in names:
            operator = self.operator(name)
            while not (await read_status(operator)).get("fresh"):
                self.processes[name].check_running()
                await support.next_turn(0.05)

    async def leader(self, besides: str = "") -> str:
        """Waits until an instance holds the lease; returns its name."""
        voters = [p.name for p in self.processes.values() if p.data]
        operators = {name: self.operator(name) for name in voters}
        while True:
            for name in voters:
                if name == besides or self.processes[name].has_ended:
                    continue
                status = await read_status(operators[name])
                if (status.get("control") or {}).get("lease_held"):
                    return name
            await support.next_turn(0.02)

    async def apply(self, sheet: bytes, revision: int) -> typing.Any:
        """Applies a sheet at the leader."""
        operator = self.operator(await self.leader())
        answer = await operator.call(
            "POST",
            "/operator/apply",
            body=sheet,
            x_expect_revision=str(revision),
        )
        assert answer.status == OK, answer
        return answer.document

    async def create_key(self, account: str) -> tuple[str, str]:
        """Creates a key; returns its id and secret once it works."""
        operator = self.operator(await self.leader())
        made = await operator.call(
            "POST", "/operator/keys", {"account": account}
        )
        assert made.status == OK, made
        document = made.document
        running = [p.name for p in self.processes.values() if not p.has_ended]
        await self.until_revision(document["revision"], *running)
        return document["key"], document["secret"]

    def announcer(
        self, server: fakes.FakeServer, name: str, **facts: typing.Any
    ) -> fakes.Announcer:
        """Announces a stand-in at all instances in turn."""
        announcer = fakes.Announcer(
            server, name, self.urls(), ANNOUNCE_TOKEN, facts
        )
        announcer.start()
        return announcer

    async def until_revision(self, revision: int, *names: str) -> None:
        """Waits until instances hold a revision or a later one."""
        for name in names:
            operator = self.operator(name)
            while (await read_status(operator)).get("revision", 0) < revision:
                self.processes[name].check_running()
                await support.next_turn(0.02)

    async def until_serving(self, *endpoints: str) -> None:
        """Waits until every instance knows endpoints."""
        for name in self.processes:
            operator = self.operator(name)
            while True:
                status = await read_status(operator)
                known = {e["endpoint"] for e in status.get("endpoints", ())}
                if known.issuperset(endpoints):
                    break
                await support.next_turn(0.05)

    async def stop(self) -> None:
        # After a passed time limit nothing is waited for any more.
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for caller in self._callers:
            await caller.close()
        await self.links.stop()

    def wipe(self, name: str) -> None:
        """Loses the data folder of an instance that does not run."""
        data = self.processes[name].data
        assert data is not None
        shutil.rmtree(data)
        data.mkdir()


class Balancer:
    """Calls instances in turn, as a platform's balancer and a polite caller.

    It goes on to the next instance only when the connection was refused or the
    answer says that nothing was run; anything else is handed back.
    """

    def __init__(self, callers: collections.abc.Sequence[fakes.Caller]) -> None:
        self._callers = callers
        self._next = 0
        self.retries = 0

    async def call(
        self,
        method: str,
        path: str,
        document: typing.Any = None,
        **headers: str,
    ) -> fakes.Answer:
        while True:
            caller = self._callers[self._next % len(self._callers)]
            self._next += 1
            try:
                answer = await caller.call(method, path, document, **headers)
            except error.ConnectError:
                answer = None
            if answer is not None and not _is_not_run(answer):
                return answer
            self.retries += 1
            await support.next_turn(0.01)


LOST = (
    error.ConnectionLost,
    error.ConnectionDone,
    client.ResponseFailed,
)
"""What a caller sees when its instance is killed over its request."""


def _is_not_run(answer: fakes.Answer) -> bool:
    if answer.status not in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS):
        return False
    return answer.document.get("outcome") == NOT_RUN


async def until_refused(caller: fakes.Caller, path: str, reason: str) -> None:
    """Looks up until it is refused for a reason, such as `key-withdrawn`.

    Until then each answer is whole, or a refusal as not run or for a stale
    configuration: after a change of leader, an instance may have no share of
    the account's limit or no fresh configuration for a while.
    """
    while True:
        answer = await caller.call("GET", path)
        if answer.status != OK:
            kind = answer.document["type"].rpartition(":")[2]
            if kind == reason:
                return
            assert kind == "configuration-stale" or _is_not_run(answer), answer
        await support.next_turn(0.02)


async def read_status(operator: fakes.Caller) -> dict[str, typing.Any]:
    try:
        path = "/operator/status?scope=instance"
        answer = await operator.call("GET", path)
    except (error.ConnectError, *LOST):
        return {}
    return answer.document if answer.status == OK else {}


def _write_tokens(folder: pathlib.Path) -> list[pathlib.Path]:
    paths = []
    for name, token in (
        ("operator", OPERATOR_TOKEN),
        ("announce", ANNOUNCE_TOKEN),
    ):
        path = folder / f"{name}.token"
        path.write_text(token)
        path.chmod(0o600)
        paths.append(path)
    return paths
