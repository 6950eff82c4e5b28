"""Callers that have not read what was sent to them: how much that is, and who is closed."""

import asyncio
from collections.abc import Callable
from typing import Any

from reachlink.kernel import steady_time
from reachlink.limits import BufferBudget, BufferKind, CallerBuffer

# How long a caller that takes nothing is borne beyond its own patience, in seconds.
BORNE_S = 2.0
# How often unread answers are looked at, in seconds.
LOOK_S = 0.25
# Below so much a backlog is left to the next look, in bytes: counting it with each event would
# cost as much as the event.
LEFT_TO_LOOK_BYTES = 16 << 10
# How far an answer may be ahead of its caller where the budget is used up, in bytes.
LEAST_AHEAD_BYTES = 16 << 10


class CallerReader:
    """What one connection's caller has not read yet.

    Parameters
    ----------
    transport : asyncio.Transport
        Its connection.
    holding : CallerBuffer
        Counts the bytes.
    ahead_bytes : int
        Bytes that an answer may be ahead of its caller while it comes in.
    """

    __slots__ = (
        "_ahead_bytes",
        "_holding",
        "_noted_bytes",
        "_transport",
        "ends_at",
        "moved_at",
        "request_id",
    )

    def __init__(
        self, transport: asyncio.Transport, holding: CallerBuffer, ahead_bytes: int
    ) -> None:
        self._transport = transport
        self._holding = holding
        self._ahead_bytes = ahead_bytes
        # Unread bytes when they were counted last.
        self._noted_bytes = 0
        self.request_id = ""
        # When its caller's patience ends, and when it took something last, in monotonic seconds.
        self.ends_at = 0.0
        self.moved_at = 0.0

    @property
    def unread(self) -> int:
        """Bytes that are held for the caller now."""
        try:
            return self._transport.get_write_buffer_size()
        except RuntimeError:
            # A transport that is closed holds nothing.
            return 0

    def within(self) -> bool:
        """Return whether the answer may go on to be read for the caller."""
        size = self._transport.get_write_buffer_size()
        if size < LEFT_TO_LOOK_BYTES:
            return True
        return self.note(size, steady_time())

    def note(self, size: int, now: float) -> bool:
        """Count what is unread; return whether that is within the budget."""
        if size < self._noted_bytes or not size:
            self.moved_at = now
        self._noted_bytes = size
        return self._holding.set_size(BufferKind.ANSWER, size)

    def go_ahead(self) -> None:
        """Let the answer be ahead of its caller while it comes in."""
        self._limit(max(self._ahead_bytes, LEAST_AHEAD_BYTES))

    def hold_back(self) -> None:
        """Have writers wait until the caller has read most of what there is."""
        self._limit(LEAST_AHEAD_BYTES)

    def abort(self) -> None:
        """Close the connection; what was not read is dropped."""
        self._transport.abort()

    def release(self) -> None:
        """Note that nothing is held any more."""
        self._holding.release()

    def _limit(self, size: int) -> None:
        if not self._transport.is_closing():
            self._transport.set_write_buffer_limits(high=size)


class CallerReaders:
    """All connections with something unread, or with an answer that comes in.

    Parameters
    ----------
    budget : BufferBudget
        What they count against.
    on_closed : callable
        Called with the request, bytes and seconds of standing still of each that is closed.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        budget: BufferBudget,
        on_closed: Callable[[str, int, float], None],
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._budget = budget
        self._on_closed = on_closed
        self._clock = clock
        self._readers: dict[asyncio.Transport, CallerReader] = {}
        # Those whose answers come in.
        self._open: set[asyncio.Transport] = set()
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._readers)

    def open(self, transport: Any, request_id: str, ends_at: float) -> CallerReader | None:
        """Return the account of a connection whose answer begins; None without a budget.

        Parameters
        ----------
        transport : asyncio.Transport or None
            The connection; None where it is lost.
        request_id : str
            The caller's request.
        ends_at : float
            When its caller's patience ends, in monotonic seconds.
        """
        if not self._budget.limited or transport is None:
            return None
        return self._account(transport, request_id, ends_at)

    def watch(self, transport: Any, request_id: str, ends_at: float) -> None:
        """Have a caller closed that takes nothing of a whole answer, with or without a budget.

        Parameters
        ----------
        transport : asyncio.Transport or None
            The connection; None where it is lost.
        request_id : str
            The caller's request.
        ends_at : float
            When its caller's patience ends, in monotonic seconds.
        """
        if transport is not None:
            self._account(transport, request_id, ends_at)

    def _account(
        self, transport: asyncio.Transport, request_id: str, ends_at: float
    ) -> CallerReader:
        reader = self._readers.get(transport)
        if reader is None:
            holding = CallerBuffer(self._budget)
            reader = CallerReader(transport, holding, self._budget.answer_buffer_bytes)
            reader.moved_at = self._clock()
            self._readers[transport] = reader
        reader.request_id, reader.ends_at = request_id, ends_at
        self._open.add(transport)
        self._arm()
        return reader

    def end(self, transport: Any) -> None:
        """Note that a connection's answer is written: it is kept while a part is unread."""
        self._open.discard(transport)
        reader = self._readers.get(transport)
        if reader is not None:
            self._look_at(transport, reader, self._clock())

    def close(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self) -> None:
        if self._timer is None and self._readers:
            self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def _look(self) -> None:
        self._timer = None
        now = self._clock()
        for transport, reader in list(self._readers.items()):
            self._look_at(transport, reader, now)
        self._arm()

    def _look_at(self, transport: asyncio.Transport, reader: CallerReader, now: float) -> None:
        size = reader.unread
        reader.note(size, now)
        if not size:
            if transport not in self._open:
                del self._readers[transport]
            return
        still_s = now - reader.moved_at
        if still_s < BORNE_S or now < reader.ends_at + BORNE_S:
            return
        self._on_closed(reader.request_id, size, still_s)
        reader.abort()
        reader.release()
        del self._readers[transport]
        self._open.discard(transport)
