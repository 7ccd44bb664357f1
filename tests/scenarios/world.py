"""Instances, stand-ins and callers of one scenario, on one loop."""

import pathlib
import random
import tempfile
import typing

import attrs
import banyanbank_base as base
from banyanbank_cli import _demo_world
import banyanbank_consensus as consensus
import banyanbank_daemon as daemon
import banyanbank_fakes as fakes
from twisted.internet import defer

from tests import links
from tests import support

SPARES = 1
"""Instances that a scenario may add."""
SECRETS = daemon.Secrets("operators-token", "announce-token")
OK = 200


@attrs.define
class ShiftedClock(base.SystemClock):
    """Clock of the system whose wall time a scenario can move."""

    shift_s: float = 0.0

    def wall(self) -> float:
        return super().wall() + self.shift_s


@attrs.define
class Site:
    """One instance with its disk; the instance is None while it is down."""

    name: str
    settings: daemon.Settings
    clock: ShiftedClock
    instance: daemon.Instance | None = None
    is_isolated: bool = False
    lives: int = 0

    def build(
        self, reactor: typing.Any, caller_tls: typing.Any = None
    ) -> daemon.Instance:
        assert self.settings.data_dir is not None
        self.lives += 1
        recorder = base.MemoryRecorder(base.InstanceId(self.name), self.clock)
        self.instance = daemon.Instance(
            self.settings,
            daemon.Surroundings(
                reactor=reactor,
                clock=self.clock,
                # A store that is made anew must get another identity.
                rng=random.Random(f"{self.name}/{self.lives}"),
                recorder=recorder,
                disk=consensus.FileDisk(self.settings.data_dir),
                caller_tls=caller_tls,
            ),
            SECRETS,
        )
        return self.instance


class World:
    """What a scenario plays with."""

    def __init__(self, size: int, **changes: typing.Any) -> None:
        from twisted.internet import reactor

        self.reactor: typing.Any = reactor
        self._folder = tempfile.TemporaryDirectory()
        self.clock = ShiftedClock()
        self.platform = fakes.FakePlatform(reactor)
        self.engines: dict[str, fakes.FakeEngine] = {}
        self.services: dict[str, fakes.FakeService] = {}
        self.announcers: dict[str, fakes.Announcer] = {}
        self.secrets: dict[str, str] = {}
        self.keys: dict[str, str] = {}
        self.answers: list[fakes.Answer] = []
        self.pending: list[defer.Deferred[fakes.Answer]] = []
        self.revision = 0
        self._changes = changes
        self.caller_tls: typing.Any = None
        self._callers: dict[tuple[str, str], fakes.Caller] = {}
        self.platform.start()
        self.store = fakes.FakeWeightStore(reactor)
        self.store.start()
        self._ports = support.free_ports(3)
        hosts = {
            f"i{number}": f"127.0.0.{number}"
            for number in range(1, size + SPARES + 1)
        }
        self.repairing = defer.DeferredLock()
        self.changing = defer.DeferredLock()
        self.links = links.Links(hosts, self._ports[0])
        names = list(hosts)[:size]
        voters = tuple(
            daemon.Voter(
                base.InstanceId(name),
                links.relayed(hosts[name]),
                self._ports[0],
            )
            for name in names
        )
        self.sites = {
            name: self._site(name, index, voters)
            for index, name in enumerate(names)
        }

    def add_site(self, name: str) -> Site:
        """Adds an instance that is in nobody's initial voter set."""
        voters = self.sites["i1"].settings.voters
        index = len(self.sites)
        site = self._site(name, index, voters)
        self.sites[name] = site
        return site

    def _site(
        self,
        name: str,
        index: int,
        voters: tuple[daemon.Voter, ...],
    ) -> Site:
        folder = pathlib.Path(self._folder.name) / name
        folder.mkdir()
        host = f"127.0.0.{index + 1}"
        settings = daemon.Settings(
            instance_id=base.InstanceId(name),
            failure_domain=base.FailureDomain(f"zone-{index + 1}"),
            listen_host=host,
            advertised_host=links.relayed(host),
            mesh_source_host=host,
            mesh_port=self._ports[0],
            caller_port=self._ports[1],
            operator_port=self._ports[2],
            voters=voters,
            data_dir=folder,
            orders_url=f"{self.platform.url}/platform/orders",
            usage_url=f"{self.platform.url}/platform/usage",
            weight_store_url=self.store.url,
            **self._changes,
        )
        return Site(name, settings, self.clock)

    # Instances.

    async def start(self) -> None:
        await self.links.start()
        for site in self.sites.values():
            await site.build(self.reactor, self.caller_tls).start()
        await self.until_fresh()

    async def stop(self) -> None:
        for announcer in self.announcers.values():
            announcer.stop()
        for caller in self._callers.values():
            await caller.close()
        for site in self.sites.values():
            if site.instance is not None:
                await site.instance.stop()
        await self.links.stop()
        for server in (
            self.platform,
            self.store,
            *self.engines.values(),
            *self.services.values(),
        ):
            await server.stop()
        self._folder.cleanup()

    async def kill(self, name: str) -> None:
        instance = self.sites[name].instance
        assert instance is not None
        self.sites[name].instance = None
        await instance.stop()

    async def restart(self, name: str) -> None:
        site = self.sites[name]
        await site.build(self.reactor).start()

    def up(self) -> list[daemon.Instance]:
        """Instances that run and are not cut off."""
        return [
            site.instance
            for site in self.sites.values()
            if site.instance is not None and not site.is_isolated
        ]

    async def until_fresh(self) -> None:
        await support.until(
            lambda: all(
                i.control.entry.freshness.is_fresh(self.clock.now())
                for i in self.up()
            )
        )

    async def leader(self) -> str:
        """Waits until an instance that is not cut off holds the lease."""
        # On a busy machine a lease may lapse between two looks at it.
        while (found := self._leader()) is None:
            await support.next_turn(support.POLL_S)
        return found

    def _leader(self) -> str | None:
        for instance in self.up():
            node = instance.control.node
            if node is not None and node.lease_held():
                return instance.identity.name
        return None

    def isolate(self, name: str) -> None:
        """Cuts an instance off from its peers, silently, both ways."""
        self.sites[name].is_isolated = True
        self.links.isolate(name)

    def heal(self) -> None:
        """Joins all instances again; what was held back arrives late."""
        for site in self.sites.values():
            site.is_isolated = False
        self.links.heal()

    # Operators.

    async def operate(
        self, method: str, path: str, document: typing.Any = None, **more: str
    ) -> fakes.Answer:
        """Calls the leader's operator interface."""
        site = self.sites[await self.leader()]
        caller = self.caller(site.name, SECRETS.operator_token, True)
        return await caller.call(method, path, document, **more)

    async def apply(self, sheet: bytes, **headers: str) -> fakes.Answer:
        site = self.sites[await self.leader()]
        caller = self.caller(site.name, SECRETS.operator_token, True)
        answer = await caller.call(
            "POST", "/operator/apply", body=sheet, **headers
        )
        if answer.status == OK:
            self.revision = answer.document["revision"]
        return answer

    async def create_key(self, account: str) -> None:
        made = await self.operate(
            "POST", "/operator/keys", {"account": account}
        )
        assert made.status == OK, made
        self.keys[account] = made.document["key"]
        self.secrets[account] = made.document["secret"]
        self.revision = made.document["revision"]
        await self.until_in_force()

    async def until_in_force(self) -> None:
        await support.until(
            lambda: all(
                i.control.entry.view.revision >= self.revision
                for i in self.up()
            )
        )

    # Callers.

    def caller(
        self, name: str, secret: str, is_operator: bool = False
    ) -> fakes.Caller:
        settings = self.sites[name].settings
        port = settings.operator_port if is_operator else settings.caller_port
        key = (f"{name}:{port}", secret)
        if key not in self._callers:
            url = f"http://{settings.listen_host}:{port}"
            self._callers[key] = fakes.Caller(self.reactor, url, secret)
        return self._callers[key]

    async def call(
        self,
        name: str,
        account: str,
        method: str,
        path: str,
        document: typing.Any = None,
        **headers: str,
    ) -> fakes.Answer:
        caller = self.caller(name, self.secrets.get(account, account))
        answer = await caller.call(method, path, document, **headers)
        self.answers.append(answer)
        return answer

    # Endpoints.

    def add_engine(self, name: str, zone: str, **facts: typing.Any) -> None:
        engine = fakes.FakeEngine(self.reactor)
        engine.start()
        self.engines[name] = engine
        facts = {"kind": "engine", "models": ["coach"], "slots": 8, **facts}
        self._announce(engine, name, zone, facts)

    def add_service(self, name: str, **facts: typing.Any) -> None:
        service = fakes.FakeService(self.reactor, name=name)
        service.start()
        self.services[name] = service
        facts = {"kind": "service", "service": name, "slots": 64, **facts}
        self._announce(service, f"{name}-1", "zone-1", facts)

    def _announce(
        self,
        server: fakes.FakeServer,
        name: str,
        zone: str,
        facts: dict[str, typing.Any],
    ) -> None:
        urls = [
            f"http://{site.settings.listen_host}:{site.settings.caller_port}"
            for site in self.sites.values()
        ]
        facts["failure_domain"] = zone
        announcer = fakes.Announcer(
            server, name, urls, SECRETS.announce_token, facts
        )
        announcer.start()
        self.announcers[name] = announcer

    async def until_serving(self, count: int) -> None:
        await support.until(
            lambda: all(
                len(i.dispatch.fleet.serving()) == count for i in self.up()
            )
        )

    def runs(self, prefix: str) -> list[fakes.ServiceRun]:
        return [
            run
            for service in self.services.values()
            for run in service.runs
            if run.path.startswith(prefix)
        ]


def sheet() -> bytes:
    """The sheet that all scenarios start from."""
    return _demo_world.sheet()
