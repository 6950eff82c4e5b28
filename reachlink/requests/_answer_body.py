"""Reading a whole answer body within the buffer budget."""

import asyncio
from collections.abc import Callable

from reachlink.limits import BufferKind, CallerBuffer
from reachlink.upstreams import RelayAnswer, UpstreamBrokenError

# Largest answer body in bytes that is buffered as a whole in order to check it.
MAX_BODY_BYTES = 8 << 20
# Interval in seconds at which an answer that waits for buffer space asks for it again.
BUFFER_POLL_INTERVAL_S = 0.02


def broken_by(error: OSError) -> UpstreamBrokenError:
    """Return the upstream error for an error of the connection to a replica."""
    return UpstreamBrokenError(str(error) or type(error).__name__)


async def read_part(answer: RelayAnswer) -> bytes:
    """Return the next bytes of an answer; nothing at its end.

    Raises
    ------
    UpstreamBrokenError
        If the body is cut off.
    """
    try:
        return await answer.read()
    except OSError as error:
        raise broken_by(error) from error


async def read_within(answer: RelayAnswer, seconds: float) -> bytes | None:
    """Return the next bytes of an answer as `read_part`, or None if none arrive in time."""
    try:
        async with asyncio.timeout(seconds):
            return await read_part(answer)
    except TimeoutError:
        return None


async def read_whole(
    answer: RelayAnswer,
    buffer: CallerBuffer | None = None,
    on_wait: Callable[[], None] = lambda: None,
    previous_bytes: int = 0,
) -> bytes:
    """Return the whole body of an answer; close the answer if that fails or is cancelled.

    Parameters
    ----------
    answer : RelayAnswer
        Answer whose body has not been read yet.
    buffer : CallerBuffer, optional
        Buffer account of the caller. While there is no space, the body is not read, so that
        the replica has to wait.
    on_wait : callable
        Called each time that reading waits for buffer space.
    previous_bytes : int
        Size of the answer of an earlier attempt that is still buffered, in bytes.

    Raises
    ------
    UpstreamBrokenError
        If the body exceeds the limit for one answer, or is cut off.
    """
    reservation = _BufferReservation(buffer, on_wait, previous_bytes)
    try:
        return await _read_reserved(answer, reservation)
    except BaseException:
        # Nobody else has the answer, and an open connection is never dropped by itself.
        answer.close()
        raise


async def _read_reserved(answer: RelayAnswer, reservation: "_BufferReservation") -> bytes:
    """Return the whole body of an answer, with its space reserved as it comes."""
    chunks: list[bytes] = []
    size = 0
    await reservation.reserve(min(answer.head.length, MAX_BODY_BYTES))
    while data := await read_part(answer):
        chunks.append(data)
        size += len(data)
        if size > MAX_BODY_BYTES:
            raise UpstreamBrokenError("answer body exceeds the size limit of whole answers")
        await reservation.reserve(size)
    return b"".join(chunks)


class _BufferReservation:
    """Buffer space for one answer, reserved as the body arrives.

    Parameters
    ----------
    buffer : CallerBuffer, optional
        Buffer account of the caller; None if nothing is accounted for.
    on_wait : callable
        Called each time that the reservation has to wait.
    previous_bytes : int
        Size of the answer of an earlier attempt that is still buffered, in bytes.
    """

    def __init__(
        self, buffer: CallerBuffer | None, on_wait: Callable[[], None], previous_bytes: int
    ) -> None:
        self._buffer = buffer
        self._on_wait = on_wait
        self._reserved_bytes = 0
        if buffer is not None:
            # Releases the space of the answer of an earlier attempt, unless it is still kept.
            buffer.set_size(BufferKind.ANSWER, previous_bytes)

    async def reserve(self, size: int) -> None:
        """Wait until space for `size` bytes in total is reserved."""
        missing_bytes = size - self._reserved_bytes
        if self._buffer is None or missing_bytes <= 0:
            return
        if not self._buffer.fits_caller_limit(missing_bytes):
            raise UpstreamBrokenError("answer body exceeds the buffer limit of one caller")
        while not self._buffer.reserve(BufferKind.ANSWER, missing_bytes):
            self._on_wait()
            await asyncio.sleep(BUFFER_POLL_INTERVAL_S)
        self._reserved_bytes = size
