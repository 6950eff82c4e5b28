"""Bodies that are arriving: each is kept within a budget, and gives way if it does not go on."""

import asyncio
import io
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reachlink.ingress.exceptions import (
    BodyOverBudgetError,
    BodyTooLargeError,
    BodyTooSlowError,
)
from reachlink.kernel import steady_time
from reachlink.limits import UNDECLARED_BYTES, BufferBudget, BufferKind, CallerBuffer

# Time in seconds without a byte after which a body gives way to others, if there is no room.
STALLED_S = 1.0
# Bodies that are slower than this, in bytes a second, give way to others as well once they have
# been arriving for some time, in seconds.
MIN_RATE_BYTES_PER_S = 64 << 10
MIN_AGE_S = 2.0


class BodyContent(Protocol):
    """What a body is read from."""

    async def readany(self) -> bytes:
        """Return what has come; nothing at its end."""


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Bounds of one body.

    Attributes
    ----------
    max_bytes : int
        Size of the largest body that is taken, in bytes.
    idle_s : float
        Largest time between two pieces, in seconds.
    total_s : float
        Largest time in all, in seconds.
    """

    max_bytes: int
    idle_s: float
    total_s: float


class _IncomingBody:
    """A body that is arriving."""

    __slots__ = ("_buffer", "_data", "_timeout", "began_at", "gave_way", "progressed_at", "size")

    def __init__(self, buffer: CallerBuffer, now: float) -> None:
        self._buffer = buffer
        # Its content can be taken out of it without a copy.
        self._data = io.BytesIO()
        self._timeout: asyncio.Timeout | None = None
        self.began_at = self.progressed_at = now
        self.size = 0
        self.gave_way = False

    def take(self, data: bytes, now: float) -> None:
        """Add received bytes."""
        if not self._buffer.reserve(BufferKind.INCOMING, len(data)) or self.gave_way:
            raise BodyOverBudgetError(self.size + len(data))
        self._data.write(data)
        self.size += len(data)
        self.progressed_at = now

    def content(self) -> bytes:
        """Return the whole body, which stands for a request from now on."""
        self._buffer.reclassify(BufferKind.INCOMING, BufferKind.REQUEST)
        return self._data.getvalue()

    def give_way(self) -> None:
        """Drop what has arrived, and wake the reader."""
        self.gave_way = True
        self._data = io.BytesIO()
        self._buffer.release()
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def read_piece(self, content: BodyContent, timeout_s: float) -> bytes:
        """Return the next piece of the body; nothing at its end."""
        try:
            async with asyncio.timeout(timeout_s) as self._timeout:
                return await content.readany()
        except TimeoutError as error:
            if self.gave_way:
                raise BodyOverBudgetError(self.size) from error
            raise BodyTooSlowError from error
        finally:
            self._timeout = None

    def may_give_way(self, asking: CallerBuffer) -> bool:
        """Return whether anything is held of it, and others than its sender ask for room."""
        return self.size > 0 and not self.gave_way and self._buffer is not asking

    def is_slow(self, now: float) -> bool:
        """Return whether it comes so slowly that it hardly ends in time."""
        age_s = now - self.began_at
        return age_s >= MIN_AGE_S and self.size < age_s * MIN_RATE_BYTES_PER_S


class IncomingBodies:
    """All bodies of one process that are arriving.

    Parameters
    ----------
    budget : BufferBudget
        Budget that they count against.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, budget: BufferBudget, clock: Callable[[], float] = steady_time) -> None:
        self._budget = budget
        self._clock = clock
        # In the order of their last progress.
        self._bodies: OrderedDict[_IncomingBody, None] = OrderedDict()
        budget.make_room = self._make_room

    def __len__(self) -> int:
        """Return the number of bodies."""
        return len(self._bodies)

    async def receive(
        self,
        content: BodyContent,
        declared_size: int | None,
        buffer: CallerBuffer,
        limits: BodyLimits,
        on_read: Callable[[], None] = lambda: None,
    ) -> bytes:
        """Return a body once it has arrived whole.

        Parameters
        ----------
        content : BodyContent
            What it is read from.
        declared_size : int or None
            Its size as declared by the sender, in bytes.
        buffer : CallerBuffer
            Accounts for it.
        limits : BodyLimits
            Its bounds.
        on_read : callable
            Called whenever all that was there of it has been read.

        Raises
        ------
        BodyTooLargeError, BodyTooSlowError, BodyOverBudgetError
            If it is refused.
        """
        self.check(declared_size, buffer, limits)
        now = self._clock()
        body = _IncomingBody(buffer, now)
        self._bodies[body] = None
        try:
            while piece := await self._read_piece(body, content, limits):
                if body.size + len(piece) > limits.max_bytes:
                    raise BodyTooLargeError(limits.max_bytes)
                on_read()
                body.take(piece, self._clock())
                self._bodies.move_to_end(body)
            return body.content()
        finally:
            del self._bodies[body]

    def check(self, declared_size: int | None, buffer: CallerBuffer, limits: BodyLimits) -> None:
        """Check whether a body may be sent.

        Raises
        ------
        BodyTooLargeError, BodyOverBudgetError
            If not.
        """
        size = UNDECLARED_BYTES if declared_size is None else declared_size
        if size > limits.max_bytes and declared_size is not None:
            raise BodyTooLargeError(limits.max_bytes)
        if not buffer.admits(size):
            raise BodyOverBudgetError(size)

    async def _read_piece(
        self, body: _IncomingBody, content: BodyContent, limits: BodyLimits
    ) -> bytes:
        left_s = body.began_at + limits.total_s - self._clock()
        return await body.read_piece(content, min(limits.idle_s, left_s))

    def _make_room(self, asking: CallerBuffer) -> bool:
        """Have one body give way to others; return whether one did."""
        found = self._least_useful(asking)
        if found is None:
            return False
        found.give_way()
        return True

    def _least_useful(self, asking: CallerBuffer) -> _IncomingBody | None:
        now = self._clock()
        others = (body for body in self._bodies if body.may_give_way(asking))
        longest_idle = next(others, None)
        if longest_idle is not None and now - longest_idle.progressed_at >= STALLED_S:
            return longest_idle
        slow = [body for body in self._bodies if body.may_give_way(asking) and body.is_slow(now)]
        return min(slow, key=lambda body: body.size / (now - body.began_at), default=None)
