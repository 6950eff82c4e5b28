"""Request bodies written to a connection in chunks, to avoid buffering them twice."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

# Size of a chunk in bytes. A connection accepts no further chunk while this many bytes are
# unsent.
WRITE_CHUNK_BYTES = 64 << 10


class FlowControlledBody(BytesPayload):
    """A body written in chunks, each after the connection has drained the previous one.

    A connection copies the bytes that it cannot send immediately. A long body written at
    once to a slow receiver is therefore held in memory twice.
    """

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body or its first bytes.

        Parameters
        ----------
        writer : AbstractStreamWriter
            Writer of the connection.
        content_length : int, optional
            Maximum number of bytes to write; None for the whole body.
        """
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), WRITE_CHUNK_BYTES):
            await writer.write(view[start : start + WRITE_CHUNK_BYTES])
            await writer.drain()
