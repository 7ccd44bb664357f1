"""The reactor of every process: asyncio's loop under Twisted's timers.

Twisted's own reactors run their timers by the time of day. When that jumps,
timers fire at once or seconds late, so that leases, polls and deadlines fail
together. This reactor runs them by the steady clock.
"""

import asyncio
import sys
import time
import typing
import warnings

from twisted import logger
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
    _begin_logging()
    return installed


def _begin_logging() -> None:
    """Writes critical events of Twisted to stderr, as before, and no others.

    Until logging begins, Twisted keeps the last 200 events for later. An event
    refers to what it is about, such as a connection with its request.
    """
    show_warning = warnings.showwarning
    logger.globalLogBeginner.beginLoggingTo(
        [
            logger.FilteringLogObserver(
                logger.FileLogObserver(sys.stderr, _format_event),
                [logger.LogLevelFilterPredicate(logger.LogLevel.critical)],
            )
        ],
        discardBuffer=True,
        redirectStandardIO=False,
    )
    warnings.showwarning = show_warning


def _format_event(event: dict[str, typing.Any]) -> str:
    text = logger.eventAsText(
        event, includeTimestamp=False, includeSystem=False
    )
    return f"{text}\n"
