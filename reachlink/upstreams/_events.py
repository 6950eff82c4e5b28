"""Splitting of a body of server-sent events into complete events; pure."""

import re
from dataclasses import dataclass

# Largest size of an event in bytes; events of generations are smaller.
MAX_EVENT_BYTES = 256 << 10
# End of an event, with all further empty lines. Searched for in one pass, so that the time for
# many small events is not the product of their number and the size of the buffer.
_EVENT_END = re.compile(rb"\n\n[\r\n]*|\r\n\r\n[\r\n]*")


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One unmodified event of the body.

    Attributes
    ----------
    number : int
        ``id`` of the event, or -1 if it has no numeric one.
    data : bytes
        All bytes of the event, including the blank line that ends it.
    """

    number: int
    data: bytes

    @property
    def is_empty(self) -> bool:
        """Whether the event consists of comments and empty lines."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(b":") for line in lines)


class EventSplitter:
    """Splits a body that arrives in chunks into events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")
    [StreamEvent(number=1, data=b'id: 1\\ndata: a\\n\\n')]
    >>> splitter.rest
    b'id: 2'
    """

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def rest(self) -> bytes:
        """Bytes of the last, incomplete event."""
        return self._incomplete

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events completed by `data`.

        Raises
        ------
        ValueError
            If an incomplete event is larger than `MAX_EVENT_BYTES`.
        """
        buffer = self._incomplete + data if self._incomplete else data
        events: list[StreamEvent] = []
        start = 0
        for found in _EVENT_END.finditer(buffer):
            raw = buffer[start : found.end()]
            events.append(StreamEvent(_event_number(raw), raw))
            start = found.end()
        self._incomplete = buffer[start:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return events


def _event_number(event: bytes) -> int:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else -1
    return -1
