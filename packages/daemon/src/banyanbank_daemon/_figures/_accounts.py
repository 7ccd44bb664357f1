"""Counts how long client accounts wait, what they get and are refused."""

import collections

import attrs
import banyanbank_base as base
from banyanbank_web import metrics

from banyanbank_daemon._figures import _messages

Key = tuple[base.AccountId, str]


@attrs.define
class _Window:
    """Waits of one window of time."""

    granted: int = 0
    """Requests that got a slot."""
    wait_s: float = 0.0
    """Seconds that they waited, in all."""
    longest_s: float = 0.0
    """The longest wait, seconds."""

    def add(self, seconds: float) -> None:
        """Counts one wait."""
        self.granted += 1
        self.wait_s += seconds
        self.longest_s = max(self.longest_s, seconds)


@attrs.define
class _Waits:
    """Waits of one account and kind of work."""

    rotate_at: float
    """Monotonic seconds at which the newest window ends."""
    total: _Window = attrs.field(factory=_Window)
    """Since the start."""
    current: _Window = attrs.field(factory=_Window)
    """Of the newest window."""
    previous: _Window = attrs.field(factory=_Window)
    """Of the window before."""
    tokens: float = 0.0
    """Tokens served since the start."""

    def rotate(self, now: float) -> None:
        """Begins a new window when the newest has ended."""
        if now < self.rotate_at:
            return
        is_gap = now >= self.rotate_at + metrics.WINDOW_S
        self.previous = _Window() if is_gap else self.current
        self.current = _Window()
        self.rotate_at = now + metrics.WINDOW_S

    def figures(
        self, account: base.AccountId, kind: str
    ) -> _messages.AccountFigures:
        """Returns the figures."""
        windows = (self.current, self.previous)
        return _messages.AccountFigures(
            account=account,
            kind=kind,
            granted=self.total.granted,
            wait_s=self.total.wait_s,
            recent_granted=sum(window.granted for window in windows),
            recent_wait_s=sum(window.wait_s for window in windows),
            longest_s=max(window.longest_s for window in windows),
            tokens=self.tokens,
        )


class AccountWaits:
    """Waits for engines owned here and for services, since the start.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._waits: dict[Key, _Waits] = {}
        self._refused: collections.Counter[base.AccountId] = (
            collections.Counter()
        )

    def refused(self, account: base.AccountId) -> None:
        """Counts a request that the account's limits kept out."""
        self._refused[account] += 1

    def granted(self, account: str, kind: str, seconds: float) -> None:
        """Counts a request that got what it waited for."""
        waits = self._of(account, kind)
        waits.total.add(seconds)
        waits.current.add(seconds)

    def served(self, account: str, kind: str, tokens: float) -> None:
        """Counts tokens of a request that has given its slot back."""
        self._of(account, kind).tokens += tokens

    def figures(self) -> tuple[_messages.AccountFigures, ...]:
        """Returns the figures by account and kind of work."""
        now = self._clock.now()
        for waits in self._waits.values():
            waits.rotate(now)
        return tuple(
            waits.figures(*key) for key, waits in sorted(self._waits.items())
        )

    def refused_figures(self) -> tuple[_messages.RefusedFigures, ...]:
        """Returns what limits kept out, by account."""
        return tuple(
            _messages.RefusedFigures(account, count)
            for account, count in sorted(self._refused.items())
        )

    def _of(self, account: str, kind: str) -> _Waits:
        now = self._clock.now()
        key = (base.AccountId(account), kind)
        waits = self._waits.get(key)
        if waits is None:
            waits = _Waits(now + metrics.WINDOW_S)
            self._waits[key] = waits
        waits.rotate(now)
        return waits
