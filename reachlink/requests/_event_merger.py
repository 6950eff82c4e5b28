"""Merging the events of one generation from several replicas into one stream. No I/O."""

from collections.abc import Iterable

from reachlink.requests.exceptions import StreamCutError
from reachlink.upstreams import StreamEvent

# Bytes in a row without a new event after which a stream counts as broken: those of the largest
# event. Repeated events and comments beyond that would occupy the instance without end.
MAX_IDLE_BYTES = 256 << 10


class EventMerger:
    """Passes on each event once and in order, whichever replica sent it.

    Examples
    --------
    >>> merger = EventMerger()
    >>> merger.merge([StreamEvent(1, b"a"), StreamEvent(2, b"b")])
    b'ab'
    >>> merger.merge([StreamEvent(2, b"b"), StreamEvent(3, b"c")])
    b'c'
    """

    def __init__(self) -> None:
        self._last = -1
        self._idle_bytes = 0

    @property
    def last_event_number(self) -> int:
        """Number of the last event passed on; -1 before the first one."""
        return self._last

    def merge(self, events: Iterable[StreamEvent]) -> bytes:
        """Return the bytes of the new events, dropping the repeated ones.

        Raises
        ------
        StreamCutError
            If an event number is skipped.
        ValueError
            If no new event is among many bytes.
        """
        ready: list[bytes] = []
        for event in events:
            self._count_idle(event)
            if event.number >= 0 and self._last >= 0:
                if event.number <= self._last:
                    continue
                if event.number > self._last + 1:
                    raise StreamCutError("event_missing")
            if event.number >= 0:
                self._last = event.number
            ready.append(event.data)
        return b"".join(ready)

    def _count_idle(self, event: StreamEvent) -> None:
        """Count the bytes of events that are not new; those of a body without numbers are."""
        is_numbered = event.number >= 0 or self._last >= 0
        if event.number > self._last or not (is_numbered or event.is_empty):
            self._idle_bytes = 0
            return
        self._idle_bytes += len(event.data)
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise ValueError("no new event among many bytes")
