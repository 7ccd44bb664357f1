"""State of usage: windows and the flushes counted in them."""

import enum

import attrs
import banyanbank_base as base
import immutables

from banyanbank_control import _lifecycles
from banyanbank_control import commands

MAX_INCARNATIONS_PER_INSTANCE = 4
"""Maximum number of incarnations per instance whose flushes are tracked."""

MAX_CLOSED_WINDOWS = 1024
"""Maximum number of closed windows; unreported windows and all newer ones
are kept beyond it."""

FiguresByAccount = immutables.Map[base.AccountId, commands.UsageFigures]


class WindowStatus(enum.Enum):
    """Progress of a window."""

    OPEN = "open"
    """The window counts flushes."""
    FROZEN = "frozen"
    """The figures of the window no longer change."""
    REPORTED = "reported"
    """The platform has accepted the report."""


@attrs.frozen
class Window:
    """One usage window."""

    number: int
    """Number of the window, counted from 1."""
    start: float
    """Wall time of its start, in seconds; 0 while the first window is open."""
    end: float | None = None
    """Wall time of its end, in seconds; None while the window is open."""
    figures: FiguresByAccount = attrs.Factory(immutables.Map)
    """Usage by client account."""
    interrupted: int = 0
    """Number of incarnations that ended without a final flush; each may have
    lost the counts of at most one flush interval."""
    status: WindowStatus = WindowStatus.OPEN
    """Progress of the window."""

    @property
    def reported(self) -> bool:
        """Whether the platform has accepted the report."""
        return self.status is WindowStatus.REPORTED

    def after(self, event: str) -> "Window | None":
        """Returns the window after an event; None if it has no effect."""
        status = _lifecycles.WINDOW.next(self.status.value, event)
        if status is None:
            return None
        return attrs.evolve(self, status=WindowStatus(status))


@attrs.frozen
class Flushes:
    """Flushes counted for one incarnation of an instance."""

    instance: base.InstanceId
    """Instance that sent the flushes."""
    incarnation: base.Incarnation
    """Incarnation of that instance."""
    sequence: int
    """Sequence number of the newest flush that was counted."""
    final: bool
    """Whether that flush was the final one of a graceful shutdown."""


@attrs.frozen
class WindowRecord:
    """A window in the form that a snapshot stores."""

    number: int
    """See `Window`."""
    start: float
    """See `Window`."""
    end: float | None
    """See `Window`."""
    figures: tuple[commands.UsageDelta, ...]
    """Usage by client account, sorted by account."""
    interrupted: int
    """See `Window`."""
    status: WindowStatus
    """See `Window`."""

    @classmethod
    def from_window(cls, window: Window) -> "WindowRecord":
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
        """Returns the window that the record describes."""
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
    """Usage in the form that a snapshot stores."""

    open: WindowRecord
    """The open window."""
    closed: tuple[WindowRecord, ...]
    """Closed windows, in order of their numbers."""
    flushes: tuple[Flushes, ...]
    """Counted flushes, by instance and incarnation."""
    oldest: int
    """Number of the oldest stored window."""


def _first_window() -> Window:
    return Window(1, 0.0)


@attrs.frozen
class UsageState:
    """The open window, closed windows and counted flushes; immutable."""

    open: Window = attrs.Factory(_first_window)
    """The open window."""
    closed: immutables.Map[int, Window] = attrs.Factory(immutables.Map)
    """Closed windows by number: all unreported, the newest reported."""
    pending: immutables.Map[int, None] = attrs.Factory(immutables.Map)
    """Numbers of the closed windows that are not yet reported."""
    oldest: int = 1
    """Number of the oldest stored window."""
    flushes: immutables.Map[base.InstanceId, tuple[Flushes, ...]] = (
        attrs.Factory(immutables.Map)
    )
    """Counted flushes by instance, oldest incarnation first."""

    def unreported(self) -> tuple[Window, ...]:
        """Returns the windows that are not yet reported, oldest first."""
        return tuple(self.closed[number] for number in sorted(self.pending))

    def with_open(self, window: Window) -> "UsageState":
        """Returns the state with the open window replaced."""
        return attrs.evolve(self, open=window)

    def with_closed(self, frozen: Window) -> "UsageState":
        """Returns the state with the open window closed and the next open."""
        state = attrs.evolve(
            self,
            open=Window(frozen.number + 1, frozen.end or 0.0),
            closed=self.closed.set(frozen.number, frozen),
            pending=self.pending.set(frozen.number, None),
        )
        return state._without_excess_windows()

    def with_reported(self, window: Window) -> "UsageState":
        """Returns the state with a closed window marked as reported."""
        number = window.number
        state = attrs.evolve(
            self,
            closed=self.closed.set(number, window),
            pending=self.pending.delete(number),
        )
        return state._without_excess_windows()

    def _without_excess_windows(self) -> "UsageState":
        state = self
        while len(state.closed) > MAX_CLOSED_WINDOWS:
            if not state.closed[state.oldest].reported:
                break
            state = attrs.evolve(
                state,
                closed=state.closed.delete(state.oldest),
                oldest=state.oldest + 1,
            )
        return state

    def with_flushes(self, flushes: Flushes) -> "UsageState":
        """Returns the state with the flushes of one incarnation replaced."""
        all_flushes = [
            item
            for item in self.flushes.get(flushes.instance, ())
            if item.incarnation != flushes.incarnation
        ]
        all_flushes.append(flushes)
        all_flushes.sort(key=lambda item: item.incarnation)
        kept = tuple(all_flushes[-MAX_INCARNATIONS_PER_INSTANCE:])
        return attrs.evolve(
            self, flushes=self.flushes.set(flushes.instance, kept)
        )

    def to_record(self) -> UsageRecord:
        """Returns the record of the usage for a snapshot."""
        return UsageRecord(
            open=WindowRecord.from_window(self.open),
            closed=tuple(
                WindowRecord.from_window(self.closed[number])
                for number in sorted(self.closed)
            ),
            flushes=tuple(
                item
                for instance in sorted(self.flushes)
                for item in self.flushes[instance]
            ),
            oldest=self.oldest,
        )

    @classmethod
    def from_record(cls, record: UsageRecord) -> "UsageState":
        """Returns the state that a snapshot's record describes."""
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
