"""Limits the number of connections that peers open to a socket of this process."""

import asyncio
import contextlib
import os
import socket
from typing import Any

import zmq
from zmq.utils.monitor import parse_monitor_message

from reachlink.telemetry import LogLines, get_logger

# Log lines about refused connections a second at the most.
LINES_PER_S = 1


class ConnectionMonitor:
    """Counts the connections that a listening socket has accepted, and closes surplus ones.

    ZeroMQ accepts any number of connections. Those beyond the limit are shut down here, the
    newest first: long-lived ones belong to peers.

    Parameters
    ----------
    listening : zmq.Socket
        The listening socket.
    port : int
        Port that it is bound to.
    limit : int
        Largest number of connections.
    loop : asyncio.AbstractEventLoop
        Loop that the process runs in.
    """

    def __init__(
        self, listening: "zmq.Socket[bytes]", port: int, limit: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._port = port
        self._limit = limit
        self._loop = loop
        self._open: set[int] = set()
        self._refused = 0
        self._lines = LogLines(LINES_PER_S, loop.time)
        self._log: Any = get_logger()
        self._socket: zmq.Socket[bytes] = listening.get_monitor_socket(
            zmq.Event.ACCEPTED | zmq.Event.DISCONNECTED
        )
        self._descriptor: int = self._socket.getsockopt(zmq.FD)  # type: ignore[assignment]
        loop.add_reader(self._descriptor, self._read_all)
        loop.call_soon(self._read_all)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    @property
    def refused(self) -> int:
        """Number of connections that were closed as there were too many."""
        return self._refused

    def close(self) -> None:
        """Watch no more; to be called before the listening socket is closed."""
        self._loop.remove_reader(self._descriptor)
        self._socket.close(linger=0)

    def _read_all(self) -> None:
        while not self._socket.closed:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            event = parse_monitor_message(frames)
            self._take(event["event"], event["value"])

    def _take(self, event: int, descriptor: int) -> None:
        if event == zmq.Event.DISCONNECTED:
            self._open.discard(descriptor)
        elif event == zmq.Event.ACCEPTED:
            if len(self._open) >= self._limit:
                self._refuse(descriptor)
            else:
                self._open.add(descriptor)

    def _refuse(self, descriptor: int) -> None:
        """Shut a connection down; ZeroMQ then closes its descriptor itself."""
        self._refused += 1
        if self._lines.admit():
            self._log.warning(
                "peer_connection_refused",
                port=self._port,
                open=len(self._open),
                limit=self._limit,
                unlogged=self._lines.skipped(),
            )
        # It may have been closed already: the error then says all.
        with contextlib.suppress(OSError), socket.socket(fileno=os.dup(descriptor)) as accepted:
            # The number may stand for another connection by now.
            if accepted.getsockname()[1] == self._port:
                accepted.shutdown(socket.SHUT_RDWR)
