"""Splitting of a body of server-sent events into complete events; pure."""

from dataclasses import dataclass

# Largest size of an event in bytes; events of generations are smaller.
MAX_EVENT_BYTES = 256 << 10


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
        while (end := _find_event_end(buffer, start)) > 0:
            raw = buffer[start:end]
            events.append(StreamEvent(_event_number(raw), raw))
            start = end
        self._incomplete = buffer[start:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return events


def _find_event_end(buffer: bytes, start: int) -> int:
    """Return the end of the event at `start`, or 0 if the event is incomplete."""
    lf_end = buffer.find(b"\n\n", start)
    crlf_end = buffer.find(b"\r\n\r\n", start)
    if crlf_end >= 0 and (lf_end < 0 or crlf_end < lf_end):
        return crlf_end + 4
    return lf_end + 2 if lf_end >= 0 else 0


def _event_number(event: bytes) -> int:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else -1
    return -1
