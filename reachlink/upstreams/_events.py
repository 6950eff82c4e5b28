"""Splitting a body of server-sent events into whole events; pure."""

from dataclasses import dataclass

# An event larger than this, in bytes, is no event of a generation.
MAX_EVENT_BYTES = 256 << 10


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One event as it stood in the body.

    Attributes
    ----------
    number : int
        Its ``id``, or -1 where it has none.
    data : bytes
        The whole event with the blank line that ends it.
    """

    number: int
    data: bytes


class EventSplitter:
    """Cuts a body that arrives in pieces into events.

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
        """Bytes of an event that is not whole yet."""
        return self._incomplete

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole after `data`.

        Raises
        ------
        ValueError
            If an event is larger than `MAX_EVENT_BYTES`.
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
    """Return where the event at `start` ends, or 0 where it is not whole."""
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
