"""Gives answers to callers of a relay border, within what is held for them."""

from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import ClientConnectionResetError, web
from aiohttp.http_writer import StreamWriter

from reachlink.entry._borders import RelayHost
from reachlink.entry._caller_state import is_open
from reachlink.entry._readers import LEAST_AHEAD_BYTES, CallerReader
from reachlink.requests import CallerGoneError
from reachlink.upstreams import AnswerHead

# A whole answer is handed to its connection so many bytes at a time, so that it is not held
# twice: the connection copies what it cannot send at once.
PIECE_BYTES = 64 << 10


class CallerSink:
    """Gives an answer to one caller, and knows how far it is ahead of it.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The caller's request.
    request_id : str
        Its name, for log lines.
    host : RelayHost
        What the border serves.
    """

    def __init__(self, request: web.BaseRequest, request_id: str, host: RelayHost) -> None:
        self._request = request
        self._request_id = request_id
        self._host = host
        self._closing = host.closing
        self._response: web.StreamResponse | None = None
        self._reader: CallerReader | None = None
        # When its caller's patience ends, in monotonic seconds.
        self.ends_at = 0.0

    @property
    def request_id(self) -> str:
        """Name of the request, for log lines."""
        return self._request_id

    @property
    def begun(self) -> bool:
        """Whether a part of an answer was written, so that no other answer can be given."""
        return self._response is not None and self._request.writer.output_size > 0

    @property
    def response(self) -> web.StreamResponse | None:
        """What was begun, or None."""
        return self._response

    async def write_whole(self, head: AnswerHead, body: bytes) -> None:
        """Give a whole answer."""
        with self._caller_gone():
            await self._write_whole(head, body)

    async def _write_whole(self, head: AnswerHead, body: bytes) -> None:
        if self._host.held.limited and len(body) > PIECE_BYTES:
            await self._in_pieces(head, body)
            return
        response = web.Response(status=head.status, body=body)
        if len(body) >= LEAST_AHEAD_BYTES:
            # A shorter one is never waited for.
            self._host.readers.watch(self._request.transport, self._request_id, self.ends_at)
        await self._start(response, head)
        await response.write_eof()

    async def _in_pieces(self, head: AnswerHead, body: bytes) -> None:
        response = web.StreamResponse(status=head.status)
        response.content_length = len(body)
        await self._start(response, head)
        view = memoryview(body)
        for start in range(0, len(body), PIECE_BYTES):
            await response.write(view[start : start + PIECE_BYTES])
        await response.write_eof()

    async def begin(self, head: AnswerHead) -> None:
        """Begin an answer whose body follows in pieces."""
        response = web.StreamResponse(status=head.status)
        response.enable_chunked_encoding()
        with self._caller_gone():
            await self._start(response, head)
        if self._reader is not None:
            self._reader.go_ahead()

    async def write(self, data: bytes) -> None:
        """Give the next piece."""
        assert self._response is not None
        with self._caller_gone():
            await self._response.write(data)
            if self._reader is not None and not self._reader.within():
                await self._wait_for_caller(self._reader)

    async def end(self) -> None:
        """End the body: the answer is complete."""
        assert self._response is not None
        with self._caller_gone():
            await self._response.write_eof()

    @contextmanager
    def _caller_gone(self) -> Iterator[None]:
        """Report errors of writing as such of the caller only if its connection is closed."""
        try:
            yield
        except ClientConnectionResetError as error:
            raise CallerGoneError from error
        except Exception as error:
            if is_open(self._request):
                raise
            raise CallerGoneError from error

    async def _wait_for_caller(self, reader: CallerReader) -> None:
        """Read on from the replica only when the caller has read most of what there is."""
        reader.hold_back()
        await self._request.writer.drain()
        reader.go_ahead()

    async def _start(self, response: web.StreamResponse, head: AnswerHead) -> None:
        self._response = response
        for name, value in head.headers:
            response.headers.add(name, value)
        # A planned stop may have begun since the request was read.
        if self._closing or self._host.closing:
            response.force_close()
        transport = self._request.transport
        self._reader = self._host.readers.open(transport, self._request_id, self.ends_at)
        try:
            await response.prepare(self._request)
        except ValueError:
            # A field that cannot be written: the connection is left as if no answer had begun.
            self._forget_framing()
            raise

    def _forget_framing(self) -> None:
        """Forget how the body of an answer was to be framed of which nothing was written."""
        writer = self._request.writer
        if isinstance(writer, StreamWriter) and not writer.output_size:
            writer.chunked, writer.length = False, None
