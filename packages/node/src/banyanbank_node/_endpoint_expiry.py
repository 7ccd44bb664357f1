"""Removes endpoints that no longer announce themselves."""

import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
from twisted.internet import task

from banyanbank_node import _change_notifier
from banyanbank_node import _endpoint_limits
from banyanbank_node import _event_log

EXPIRY_INTERVAL_S = 0.5
"""Interval between checks for endpoints without recent announcements."""


class EndpointExpiry:
    """Checks the directory of a store regularly.

    Args:
        reactor: Schedules the checks.
        clock: Monotonic clock for deadlines.
        directory: Endpoints that are considered alive.
        limits: Rate limits of endpoints, which end with them.
        changes: Notified when endpoints are removed.
        events: Event log.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        directory: gateway.Directory,
        limits: _endpoint_limits.EndpointLimits,
        changes: _change_notifier.ChangeNotifier,
        events: _event_log.EventLog,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._limits = limits
        self._changes = changes
        self._events = events
        self._loop = task.LoopingCall(self._expire_endpoints)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts the checks."""
        self._loop.start(EXPIRY_INTERVAL_S)

    def stop(self) -> None:
        """Stops the checks, if they have started."""
        if self._loop.running:
            self._loop.stop()

    def _expire_endpoints(self) -> None:
        silent = self._directory.expire(self._clock.now())
        self._limits.forget_ended(self._directory)
        for announcement in silent:
            self._events.write(
                "endpoint.silent",
                endpoint=announcement.endpoint,
                address=announcement.address,
            )
        if silent:
            self._changes.wake()
