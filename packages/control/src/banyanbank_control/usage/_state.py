"""Usage windows and the flushes that they have counted."""

import enum

import attrs
import banyanbank_base as base
import immutables

from banyanbank_control import _lifecycles
from banyanbank_control import commands

LIVES_KEPT = 4
"""Lives of one instance whose late flushes are still told apart."""

REPORTED_WINDOWS_KEPT = 1024
"""Reported windows kept for look-up."""

Figures = immutables.Map[base.AccountId, commands.UsageFigures]


class WindowStatus(enum.Enum):
    """How far a window has come."""

    OPEN = "open"
    """It counts."""
    FROZEN = "frozen"
    """Its figures never change again."""
    REPORTED = "reported"
    """The platform has taken the report."""


@attrs.frozen
class Window:
    """One usage window."""

    number: int
    """Number, rising by one from 1."""
    start: float
    """Wall time at which it began, in seconds; 0 while the first is open."""
    end: float | None = None
    """Wall time at which it was frozen, in seconds; None while open."""
    figures: Figures = attrs.Factory(immutables.Map)
    """Counts by account."""
    interrupted: int = 0
    """Lives of instances that ended without a final flush: each may have
    left at most one flush interval of counts unreported."""
    status: WindowStatus = WindowStatus.OPEN
    """How far it has come."""

    @property
    def reported(self) -> bool:
        """Whether the platform has taken the report."""
        return self.status is WindowStatus.REPORTED

    def after(self, event: str) -> "Window | None":
        """Returns the window after an event; None when it has no effect."""
        status = _lifecycles.WINDOW.next(self.status.value, event)
        if status is None:
            return None
        return attrs.evolve(self, status=WindowStatus(status))


@attrs.frozen
class Flushes:
    """Flushes counted of one life of an instance."""

    instance: base.InstanceId
    """The instance."""
    incarnation: base.Incarnation
    """The life."""
    sequence: int
    """Newest flush counted."""
    final: bool
    """Whether that was the last of a graceful shutdown."""


@attrs.frozen
class WindowRecord:
    """A window as a snapshot holds it."""

    number: int
    """See `Window`."""
    start: float
    """See `Window`."""
    end: float | None
    """See `Window`."""
    figures: tuple[commands.UsageDelta, ...]
    """Counts sorted by account."""
    interrupted: int
    """See `Window`."""
    status: WindowStatus
    """See `Window`."""

    @classmethod
    def of(cls, window: Window) -> "WindowRecord":
        """Returns the record of a window."""
        return cls(
            window.number,
            window.start,
            window.end,
            tuple(
                commands.UsageDelta(account, window.figures[account])
                for account in sorted(window.figures)
            ),
            window.interrupted,
            window.status,
        )

    def window(self) -> Window:
        """Returns the window of the record."""
        return Window(
            self.number,
            self.start,
            self.end,
            immutables.Map({row.account: row.figures for row in self.figures}),
            self.interrupted,
            self.status,
        )


@attrs.frozen
class UsageRecord:
    """Usage as a snapshot holds it."""

    open: WindowRecord
    """The open window."""
    closed: tuple[WindowRecord, ...]
    """Frozen windows kept."""
    flushes: tuple[Flushes, ...]
    """Flushes counted, by instance and life."""
    oldest: int
    """Number of the oldest window kept."""


def _first_window() -> Window:
    return Window(1, 0.0)


@attrs.frozen
class UsageState:
    """The open window, the frozen ones and what has been counted."""

    open: Window = attrs.Factory(_first_window)
    """The window that counts now."""
    closed: immutables.Map[int, Window] = attrs.Factory(immutables.Map)
    """Frozen windows by number: all unreported, the newest reported."""
    pending: immutables.Map[int, None] = attrs.Factory(immutables.Map)
    """Numbers of the frozen windows without a report."""
    oldest: int = 1
    """Number of the oldest window kept."""
    flushes: immutables.Map[base.InstanceId, tuple[Flushes, ...]] = (
        attrs.Factory(immutables.Map)
    )
    """Flushes counted by instance, oldest life first."""

    def unreported(self) -> tuple[Window, ...]:
        """Returns the frozen windows without a report, oldest first."""
        return tuple(self.closed[number] for number in sorted(self.pending))

    def with_open(self, window: Window) -> "UsageState":
        """Returns the state with other counts in the open window."""
        return attrs.evolve(self, open=window)

    def with_closed(self, frozen: Window) -> "UsageState":
        """Returns the state after the open window froze, the next open."""
        state = attrs.evolve(
            self,
            open=Window(frozen.number + 1, frozen.end or 0.0),
            closed=self.closed.set(frozen.number, frozen),
            pending=self.pending.set(frozen.number, None),
        )
        return state._trimmed()

    def with_reported(self, window: Window) -> "UsageState":
        """Returns the state after the report of a frozen window."""
        number = window.number
        state = attrs.evolve(
            self,
            closed=self.closed.set(number, window),
            pending=self.pending.delete(number),
        )
        return state._trimmed()

    def _trimmed(self) -> "UsageState":
        state = self
        while len(state.closed) > REPORTED_WINDOWS_KEPT:
            if not state.closed[state.oldest].reported:
                break
            state = attrs.evolve(
                state,
                closed=state.closed.delete(state.oldest),
                oldest=state.oldest + 1,
            )
        return state

    def with_flushes(self, flushes: Flushes) -> "UsageState":
        """Returns the state with newer flushes of one life."""
        lives = [
            life
            for life in self.flushes.get(flushes.instance, ())
            if life.incarnation != flushes.incarnation
        ]
        lives.append(flushes)
        lives.sort(key=lambda life: life.incarnation)
        kept = tuple(lives[-LIVES_KEPT:])
        return attrs.evolve(
            self, flushes=self.flushes.set(flushes.instance, kept)
        )

    def record(self) -> UsageRecord:
        """Returns the usage for a snapshot."""
        return UsageRecord(
            open=WindowRecord.of(self.open),
            closed=tuple(
                WindowRecord.of(self.closed[number])
                for number in sorted(self.closed)
            ),
            flushes=tuple(
                life
                for instance in sorted(self.flushes)
                for life in self.flushes[instance]
            ),
            oldest=self.oldest,
        )

    @classmethod
    def from_record(cls, record: UsageRecord) -> "UsageState":
        """Returns the usage that a snapshot holds."""
        state = cls(
            open=record.open.window(),
            closed=immutables.Map(
                {row.number: row.window() for row in record.closed}
            ),
            pending=immutables.Map(
                {
                    row.number: None
                    for row in record.closed
                    if row.status is WindowStatus.FROZEN
                }
            ),
            oldest=record.oldest,
        )
        for flushes in record.flushes:
            state = state.with_flushes(flushes)
        return state
