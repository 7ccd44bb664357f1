"""Bounds the bytes that all answers of a process hold while they are read."""

import typing

import attrs

MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""Bytes of incomplete answers that a process holds."""


@attrs.define(eq=False)
class Share:
    """What one answer holds of the budget."""

    cut: typing.Callable[[], None]
    """Ends the answer and frees its bytes."""
    size: int = 0
    """Bytes that it holds."""
    is_cut: bool = False
    """Whether the answer was ended because the budget was exceeded."""


class BufferBudget:
    """Ends the largest answers while all together hold too many bytes.

    Small answers pass beside a server that sends without end, whatever the
    number of its answers.

    Args:
        max_bytes: Bytes that all answers may hold.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.size = 0
        # Ordered, so that of equally large answers the oldest is ended.
        self._shares: dict[Share, None] = {}

    def open(self, cut: typing.Callable[[], None]) -> Share:
        """Returns the share of a further answer.

        Args:
            cut: Called if the answer is to be ended.
        """
        share = Share(cut)
        self._shares[share] = None
        return share

    def add(self, share: Share, byte_count: int) -> None:
        """Counts further bytes; may end this answer or others."""
        share.size += byte_count
        self.size += byte_count
        while self.size > self.max_bytes:
            largest = max(self._shares, key=lambda one: one.size)
            self.close(largest)
            largest.is_cut = True
            largest.cut()

    def close(self, share: Share) -> None:
        """Frees the bytes of an answer that has ended."""
        if share in self._shares:
            del self._shares[share]
            self.size -= share.size
