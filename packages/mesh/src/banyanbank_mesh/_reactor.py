"""The reactor of every process: asyncio's loop under Twisted's timers.

Twisted's own reactors run their timers by the time of day. When that jumps,
timers fire at once or seconds late, so that leases, polls and deadlines fail
together. This reactor runs them by the steady clock.
"""

import asyncio
import time

from twisted.internet import asyncioreactor
from twisted.internet import main


class SteadyReactor(asyncioreactor.AsyncioSelectorReactor):
    """Asyncio reactor whose timers do not follow the time of day."""

    def seconds(self) -> float:
        """Returns steady seconds; all timers go by them."""
        return time.monotonic()


def install_reactor() -> SteadyReactor:
    """Installs the reactor of the process on an event loop of its own.

    To be called before anything imports `twisted.internet.reactor`.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    installed = SteadyReactor(loop)
    main.installReactor(installed)
    return installed
