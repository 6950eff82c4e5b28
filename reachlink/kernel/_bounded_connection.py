"""Client connections on which a server can't send without end what is no answer."""

import asyncio
import re
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http_exceptions import HttpProcessingError

# Bytes that may arrive on a connection one after the other without being part of a body: a head,
# with interim answers before it, or what frames the pieces of a body.
MAX_FRAMING_BYTES = 256 << 10
# Interim answers before an answer. Small ones take far more memory and time than their bytes say.
MAX_INTERIM_ANSWERS = 4_000
# Length of the reason why bytes are no answer; the parser puts all of them into it.
MAX_REASON_CHARS = 300
# First HTTP status of an answer that is not an interim one (RFC 9110, section 15.3).
FIRST_FINAL_STATUS = 200

_HEAD_END = b"\r\n\r\n"
_EMPTY_LINES = re.compile(rb"[\r\n]+")


class EndlessAnswerError(aiohttp.ClientPayloadError):
    """A server sends more than an answer may have; it is there, whatever it sends."""


class BoundedConnection(ResponseHandler):
    """Connection that ends where bytes come without end that are no part of an answer.

    `aiohttp` bounds the fields of a head and their number, but neither interim answers,
    empty lines before a head, nor what stands between the pieces of a chunked body.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._has_head = False
        self._framing_bytes = 0
        self._interim_answers = 0
        # The last bytes before the end of the head, which may be cut into two reads.
        self._head_tail = b""

    def begin_request(self) -> None:
        """Note that a request is sent, whose answer comes next."""
        self._has_head = False
        self._framing_bytes = 0
        self._interim_answers = 0
        self._head_tail = b""

    def data_received(self, data: bytes) -> None:
        """Process received bytes; end the connection if too many are no part of a body.

        No bytes at all mean that reading goes on after a pause.
        """
        if not data:
            super().data_received(data)
            self._tell_error()
            return
        start = 0
        while start < len(data) and not self._has_head and not self._failed:
            # What follows a head is processed on its own: an error there must not take it along.
            end = self._head_end(data, start)
            self._receive(data[start:end])
            start = end
        if start < len(data) and not self._failed:
            self._receive(data[start:])

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Process the head of an answer."""
        if data[0].code >= FIRST_FINAL_STATUS:
            self._has_head = True
        else:
            self._interim_answers += 1
        super().feed_data(data, size)

    def fail(self, reason: str) -> None:
        """Close the connection, with an error for whoever reads from it."""
        self._fail_body(aiohttp.ClientPayloadError(reason))

    def _fail_body(self, error: aiohttp.ClientPayloadError) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    @property
    def _failed(self) -> bool:
        return self.exception() is not None or self.transport is None

    @property
    def _body_bytes(self) -> int:
        """Size of the body that is arriving, so far."""
        return 0 if self._payload is None else self._payload.total_bytes

    def _head_end(self, data: bytes, start: int) -> int:
        """Return where the head ends that goes on at `start`; the end of `data` if later."""
        tail, self._head_tail = self._head_tail, b""
        if not tail:
            # Empty lines before a head end none.
            empty = _EMPTY_LINES.match(data, start)
            if empty is not None and empty.end() == len(data):
                return len(data)
            start = empty.end() if empty is not None else start
        joined = tail + data[start : start + len(_HEAD_END) - 1]
        found = joined.find(_HEAD_END) if tail else -1
        if found >= 0:
            return start + found + len(_HEAD_END) - len(tail)
        found = data.find(_HEAD_END, start)
        if found >= 0:
            return found + len(_HEAD_END)
        last = data[max(start, len(data) - len(_HEAD_END) + 1) :]
        self._head_tail = (tail + last)[1 - len(_HEAD_END) :]
        return len(data)

    def _tell_error(self) -> bool:
        """Return whether what came can't be read; `aiohttp` does not tell who reads a body."""
        error = self.exception()
        if error is None:
            return False
        if isinstance(error, HttpProcessingError):
            error.message = error.message[:MAX_REASON_CHARS]
        self.fail(str(error) or type(error).__name__)
        return True

    def _receive(self, data: bytes) -> None:
        had_head, body_bytes = self._has_head, self._body_bytes
        super().data_received(data)
        if self._tell_error():
            return
        if self._has_head != had_head or self._body_bytes != body_bytes:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._end(f"{self._framing_bytes} bytes that are no part of an answer's body")
        elif self._interim_answers > MAX_INTERIM_ANSWERS:
            self._end(f"more than {MAX_INTERIM_ANSWERS} interim answers")

    def _end(self, reason: str) -> None:
        """End the connection, for who waits for a head and for who reads a body."""
        endless = EndlessAnswerError(reason)
        self.set_exception(endless)
        self._fail_body(endless)


class BoundedConnector(aiohttp.TCPConnector):
    """Connector that makes a `BoundedConnection` each."""

    def __init__(self) -> None:
        super().__init__()
        self._factory: Any = partial(BoundedConnection, loop=self._loop)

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection for a request."""
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        assert isinstance(protocol, BoundedConnection)
        protocol.begin_request()
        return connection


async def read_bounded(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the body of a response.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response whose body was not read yet.
    limit : int
        Largest size in bytes.

    Raises
    ------
    EndlessAnswerError
        If the body is larger.
    aiohttp.ClientPayloadError
        If it is cut off.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > limit:
            response.close()
            raise EndlessAnswerError(f"the body is larger than {limit} bytes")
    return bytes(body)
