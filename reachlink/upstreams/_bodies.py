"""Bodies that are handed to a connection piece by piece, so that they are not held twice."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

# Bytes handed on at a time; a connection takes no more while that much is not sent.
WRITE_CHUNK_BYTES = 64 << 10


class FlowControlledBody(BytesPayload):
    """A body whose next piece waits until the receiver takes the one before.

    A connection copies what it is given and cannot send at once: a long body that is
    given whole to one that is slow to read is held twice.
    """

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, or its beginning.

        Parameters
        ----------
        writer : AbstractStreamWriter
            The connection.
        content_length : int, optional
            Bytes to write at the most.
        """
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), WRITE_CHUNK_BYTES):
            await writer.write(view[start : start + WRITE_CHUNK_BYTES])
            await writer.drain()
