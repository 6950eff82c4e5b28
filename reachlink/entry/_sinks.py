"""Where answers go: a stream to the caller, or a buffer for a whole answer."""

import asyncio
from collections.abc import Sequence

import msgspec
from aiohttp import web

from reachlink.delivery import Outcome, Position, PositionCodec
from reachlink.entry._caller_state import is_open
from reachlink.entry._http import REQUEST_HEADER, error_body
from reachlink.entry.exceptions import RequestError
from reachlink.limits import BufferKind, CallerBuffer
from reachlink.upstreams import TokenEvent

GENERATION_HEADER = "X-Generation-Position"
# A caller that takes nothing for this long is given up.
SLOW_READER_S = 60.0
# A write below this size cannot fill an empty buffer, so that it never waits.
SMALL_WRITE_BYTES = 16 << 10
# Events of one answer that is given whole, in bytes of their data.
MAX_WHOLE_BYTES = 8 << 20
# Bytes that an event takes beside its data.
EVENT_OVERHEAD_BYTES = 256


class StreamSink:
    """Server-sent events to one caller.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's request.
    request_id : str
        Its identifier.
    positions : PositionCodec
        Makes the event ids.
    """

    def __init__(self, request: web.Request, request_id: str, positions: PositionCodec) -> None:
        self._request = request
        self._request_id = request_id
        self._positions = positions
        self._prefix = b""
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once it has begun."""
        return self._response

    @property
    def caller_is_gone(self) -> bool:
        """Whether the caller's connection is closed."""
        return not is_open(self._request)

    async def begin(self, position: Position) -> None:
        """Take the generation's identity for the event ids."""
        self._prefix = b"id: " + self._positions.prefix(position).encode() + b"."

    async def forward(self, events: Sequence[TokenEvent]) -> None:
        """Write events; waits while the caller reads too slowly."""
        response = await self._open()
        prefix = self._prefix
        parts = [b"%b%d\ndata: %b\n\n" % (prefix, e.offset, e.data) for e in events]
        if events[-1].final:
            parts.append(b"data: [DONE]\n\n")
        await self._write(response, b"".join(parts))

    async def restart(self) -> None:
        """Nothing was written yet, or the delivery would not restart."""

    async def fail(self, error: RequestError) -> None:
        """End a stream that has begun with an explicit error event."""
        response = await self._open()
        data = msgspec.json.encode(error_body(error, self._request_id))
        await self._write(response, b"event: error\ndata: " + data + b"\n\n")
        await response.write_eof()

    async def _open(self) -> web.StreamResponse:
        if self._response is None:
            response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    "Cache-Control": "no-store",
                    REQUEST_HEADER: self._request_id,
                }
            )
            await response.prepare(self._request)
            self._response = response
        return self._response

    async def _write(self, response: web.StreamResponse, data: bytes) -> None:
        transport = self._request.transport
        small = len(data) < SMALL_WRITE_BYTES
        if transport is None or (small and transport.get_write_buffer_size() == 0):
            # The usual case; a time-out around each token would cost as much as the token.
            await response.write(data)
            return
        try:
            async with asyncio.timeout(SLOW_READER_S):
                await response.write(data)
        except TimeoutError as error:
            transport.abort()
            raise ConnectionResetError("the caller reads too slowly") from error


class BufferSink:
    """All events of an answer that is given whole.

    Parameters
    ----------
    held : CallerBuffer
        Counts the events for the caller.
    """

    def __init__(self, held: CallerBuffer) -> None:
        self.events: list[TokenEvent] = []
        self._held = held
        self._data_bytes = 0

    async def begin(self, position: Position) -> None:
        """Nothing to do: the caller sees no event ids."""

    async def forward(self, events: Sequence[TokenEvent]) -> None:
        """Keep events.

        Raises
        ------
        RequestError
            If the answer is too large, or the instance has no room for it.
        """
        size = sum(len(event.data) for event in events)
        self._data_bytes += size
        if self._data_bytes > MAX_WHOLE_BYTES:
            message = f"the answer is larger than {MAX_WHOLE_BYTES} bytes"
            raise RequestError(502, "answer_too_long", message, Outcome.RAN)
        held_bytes = size + len(events) * EVENT_OVERHEAD_BYTES
        if not self._held.reserve(BufferKind.ANSWER, held_bytes):
            message = "there is no room for the rest of the answer"
            raise RequestError(502, "held_over_budget", message, Outcome.RAN)
        self.events.extend(events)

    async def restart(self) -> None:
        """Another generation begins."""
        self.events.clear()
        self._data_bytes = 0
        self._held.set_size(BufferKind.ANSWER, 0)
