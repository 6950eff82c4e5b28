"""A connection of a caller without sockets, for tests in virtual time."""

import asyncio
from typing import Any


class Wire(asyncio.Transport):
    """One connection of a caller, as the transport of the server.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server at the other end.
    """

    def __init__(self, server: Any) -> None:
        super().__init__()
        self._unread = b""
        self.reading = True
        self.closed = False
        self.received = b""
        # Bytes that the caller has not read yet.
        self.unread_bytes = 0
        self._protocol = server()
        self._protocol.connection_made(self)

    def send(self, data: bytes) -> None:
        """Send bytes, which wait while the server does not read."""
        self._unread += data
        if self.reading and not self.closed:
            data, self._unread = self._unread, b""
            self._protocol.data_received(data)

    def write(self, data: Any) -> None:
        self.received += bytes(data)

    def writelines(self, list_of_data: Any) -> None:
        self.received += b"".join(list_of_data)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
        self.send(b"")

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes

    def read(self) -> None:
        """Read what is unread."""
        self.unread_bytes = 0
        if self.closed:
            self._lose()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if not self.unread_bytes:
                self._lose()

    def abort(self) -> None:
        self.unread_bytes = 0
        self.close()

    def _lose(self) -> None:
        asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)
