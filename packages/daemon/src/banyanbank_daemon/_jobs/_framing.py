"""Job events as a byte stream between instances: length, then CBOR."""

from banyanbank_daemon._jobs import _messages

LENGTH_BYTES = 4
MAX_EVENT_BYTES = 2 * 1024 * 1024


class FramingError(Exception):
    """The byte stream holds no sequence of job events."""


def frame_event(event: _messages.JobEvent) -> bytes:
    """Returns the bytes of one event."""
    data = _messages.JOB_EVENT_CODEC.encode(event)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class EventReader:
    """Cuts a byte stream into job events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[_messages.JobEvent]:
        """Takes bytes and returns the events they complete.

        Raises:
            FramingError: An event is too long or unreadable.
        """
        self._buffer += data
        events = []
        while (event := self._next()) is not None:
            events.append(event)
        return events

    def _next(self) -> _messages.JobEvent | None:
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length > MAX_EVENT_BYTES:
            raise FramingError(f"An event of {length} bytes is too long.")
        end = LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        data = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return _messages.JOB_EVENT_CODEC.decode(data)
