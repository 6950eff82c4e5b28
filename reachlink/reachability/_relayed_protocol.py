"""Connection to a replica through a peer, as its user sees it."""

import asyncio
from collections.abc import Iterable
from typing import Any, cast

from reachlink.reachability._frames import FrameDecoder


class RelayedProtocol(asyncio.Protocol):
    """Passes what a peer relays on to a protocol that is made for a direct connection.

    Parameters
    ----------
    protocol : asyncio.Protocol
        Protocol of the replica's connection. Its connection is lost with an error unless the
        replica has closed it properly.
    """

    def __init__(self, protocol: asyncio.Protocol) -> None:
        self._protocol = protocol
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection to the protocol."""
        # The transports of uvloop do not inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._protocol.connection_made(_RelayedTransport(self._transport, self._protocol))

    def data_received(self, data: bytes) -> None:
        """Pass on the payload of frames."""
        for payload in self._decoder.feed(data):
            self._protocol.data_received(payload)
        if self._decoder.ended and self._transport is not None:
            self._protocol.eof_received()
            self._transport.close()

    def eof_received(self) -> bool:
        """Close the connection, because the peer relays nothing more."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the protocol whether the replica or the peer has ended the connection."""
        if exc is None and not self._decoder.ended:
            exc = ConnectionResetError("the relaying peer closed the connection")
        self._protocol.connection_lost(None if self._decoder.ended else exc)

    def pause_writing(self) -> None:
        """Pass on that the peer reads too slowly."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the peer reads again."""
        self._protocol.resume_writing()


class _RelayedTransport(asyncio.Transport):
    """Transport that belongs to the user's protocol in place of `RelayedProtocol`."""

    def __init__(self, transport: asyncio.Transport, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._transport = transport
        self._protocol = protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._protocol

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def close(self) -> None:
        self._transport.close()

    def abort(self) -> None:
        self._transport.abort()

    def is_reading(self) -> bool:
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._transport.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        return self._transport.get_write_buffer_size()

    def write(self, data: Any) -> None:
        self._transport.write(data)

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        self._transport.writelines(list_of_data)

    def can_write_eof(self) -> bool:
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        self._transport.write_eof()
