"""The whole body of an answer, held as far as there is room for it."""

import asyncio
from collections.abc import Callable

from reachlink.limits import BufferKind, CallerBuffer
from reachlink.upstreams import RelayAnswer, UpstreamBrokenError

# A whole answer larger than this, in bytes, is not held to be checked.
MAX_BODY_BYTES = 8 << 20
# How often an answer looks whether the instance has room for it, in seconds.
BUFFER_POLL_INTERVAL_S = 0.02


async def read_whole(
    answer: RelayAnswer,
    held: CallerBuffer | None = None,
    on_wait: Callable[[], None] = lambda: None,
    previous_bytes: int = 0,
) -> bytes:
    """Return the whole body of an answer.

    Parameters
    ----------
    answer : RelayAnswer
        Whose body is unread.
    held : CallerBuffer, optional
        Counts what is held for the caller: where there is no room the replica waits.
    on_wait : callable
        Called where it does.
    kept : int
        Bytes of an answer before this one that is kept beside it.

    Raises
    ------
    UpstreamBrokenError
        If it is longer than what is held of one answer, or breaks off.
    """
    pieces: list[bytes] = []
    size = 0
    room = _BufferReservation(held, on_wait, previous_bytes)
    await room.reach(min(answer.head.length, MAX_BODY_BYTES))
    while data := await answer.read():
        pieces.append(data)
        size += len(data)
        if size > MAX_BODY_BYTES:
            raise UpstreamBrokenError("the answer is too long")
        await room.reach(size)
    return b"".join(pieces)


class _BufferReservation:
    """Room for one answer, taken as it comes in.

    Parameters
    ----------
    held : CallerBuffer, optional
        Counts it.
    on_wait : callable
        Called where there is no room at once.
    kept : int
        Bytes of an answer before this one that is kept beside it.
    """

    def __init__(
        self, held: CallerBuffer | None, on_wait: Callable[[], None], previous_bytes: int
    ) -> None:
        self._held = held
        self._on_wait = on_wait
        self._size = 0
        if held is not None:
            # An answer before this one was not given.
            held.set_size(BufferKind.ANSWER, previous_bytes)

    async def reach(self, size: int) -> None:
        """Return when there is room for so many bytes in all."""
        more = size - self._size
        if self._held is None or more <= 0:
            return
        if not self._held.fits_caller_limit(more):
            raise UpstreamBrokenError("the answer is too long for what one caller may hold")
        while not self._held.reserve(BufferKind.ANSWER, more):
            self._on_wait()
            await asyncio.sleep(BUFFER_POLL_INTERVAL_S)
        self._size = size
