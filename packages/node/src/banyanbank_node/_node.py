"""Components that entry and store processes share."""

import os
import random
import time
import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_mesh as mesh
import banyanbank_web as web
from twisted.internet import task

from banyanbank_node import _event_log
from banyanbank_node import _meters
from banyanbank_node import _settings
from banyanbank_node import _store_client

MICROSECONDS_PER_S = 1_000_000


class BootTimeClock(base.SystemClock):
    """System clock whose monotonic time also advances during suspend."""

    def now(self) -> float:
        """Returns seconds since the boot of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class Node:
    """Clocks, mesh, event log and clients of one process.

    Args:
        settings: Validated settings.
        reactor: Twisted reactor for sockets and timers.
        log_fd: File descriptor of the event log.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        reactor: typing.Any,
        log_fd: int,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.clock = base.SystemClock()
        self.rng = random.Random(os.urandom(16))
        self.instance = base.InstanceId(str(settings.mesh))
        self.incarnation = base.Incarnation(
            int(self.clock.wall() * MICROSECONDS_PER_S)
        )
        self.true_time = gateway.SyncedClock(BootTimeClock())
        self.meters = _meters.Meters(self.clock)
        self.events = _event_log.EventLog(
            settings.name, self.true_time.now, reactor, log_fd, self.meters
        )
        self.recorder = _event_log.LoggedRecorder(
            self.instance, self.clock, self.events
        )
        self.mesh = mesh.Mesh(
            self.instance,
            self.incarnation,
            settings.mesh_listen_host or settings.mesh.host,
            settings.mesh.port,
            clock=self.clock,
            recorder=self.recorder,
            rng=self.rng,
            hybrid_clock=self.recorder.hybrid_clock,
            source_host=settings.mesh_source_host,
        )
        self.client = _store_client.StoreClient(
            reactor, self.clock, self.mesh, settings.seeds
        )
        self.upstream = web.Upstream(reactor, self.clock)

    async def sleep(self, seconds: float) -> None:
        """Waits on the reactor's clock."""
        await task.deferLater(self.reactor, seconds)
