"""Adapter to engines with the OpenAI-compatible protocol and resumable streams."""

import aiohttp
import msgspec

from reachlink.kernel import EndlessAnswerError
from reachlink.telemetry import get_logger
from reachlink.upstreams._base import (
    ADAPTERS,
    CacheChange,
    EngineAdapter,
    GenerationInfo,
    GenerationRequest,
    LoadReport,
    OrderRequest,
    OrderStatus,
    Replica,
    TokenEvent,
    TokenStream,
)
from reachlink.upstreams._conversions import UNREADABLE
from reachlink.upstreams._http import MAX_LINE_BYTES, HttpClient, read_control
from reachlink.upstreams._refusals import raise_refusal
from reachlink.upstreams._statuses import check_final
from reachlink.upstreams.exceptions import GenerationUnknownError, UpstreamBrokenError

GENERATION_HEADER = "X-Generation-Id"
LOAD_PATH = "/v1/load"
REQUEST_HEADER = "X-Request-Id"
_DATA = b"data: "
_DONE = b"[DONE]"
_NOT_FOUND = 404
# The generation is being read, so that it is not cancelled.
_CONFLICT = 409
_log = get_logger()


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    """Fields of an event that delivery checks; other fields are not decoded."""

    id: str
    generation: str
    offset: int
    choices: list[_Choice] = []


class _CacheEvent(msgspec.Struct):
    sequence: int
    kind: str
    block: int


_decode_chunk = msgspec.json.Decoder(_Chunk).decode
_decode_report = msgspec.json.Decoder(LoadReport).decode
_decode_info = msgspec.json.Decoder(GenerationInfo).decode
_decode_cache = msgspec.json.Decoder(list[_CacheEvent]).decode
_decode_order = msgspec.json.Decoder(OrderStatus).decode
_decode_orders = msgspec.json.Decoder(list[OrderStatus]).decode


class ChatEngineStream(TokenStream):
    """Server-sent events of one generation.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response with status 200 and an unread body.
    generation : str
        Identifier of the generation, from the response's header.
    """

    def __init__(self, response: aiohttp.ClientResponse, generation: str) -> None:
        self._response = response
        self._generation = generation
        self._incomplete = b""
        # Bytes since the last event.
        self._eventless_bytes = 0
        self._ended = False

    @property
    def generation(self) -> str:
        """The generation's identifier at its engine."""
        return self._generation

    async def read(self) -> list[TokenEvent]:
        """Return the next events of the stream, or an empty list at its end."""
        try:
            while not self._ended:
                piece = await self._response.content.readany()
                if not piece:
                    raise UpstreamBrokenError("the stream ended early")
                events = self._parse(piece)
                if events:
                    return events
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamBrokenError(str(error) or type(error).__name__) from error
        except UNREADABLE as error:
            raise UpstreamBrokenError(f"unreadable event: {error}") from error
        return []

    def close(self) -> None:
        """Close the connection; the generation continues."""
        self._response.close()

    def _parse(self, piece: bytes) -> list[TokenEvent]:
        *records, self._incomplete = (self._incomplete + piece).split(b"\n\n")
        if len(self._incomplete) > MAX_LINE_BYTES:
            raise UpstreamBrokenError("an event is too long")
        events: list[TokenEvent] = []
        for record in records:
            if not record.startswith(_DATA):
                continue
            data = record[len(_DATA) :]
            if data == _DONE:
                self._ended = True
                break
            events.append(_read_event(data))
        self._eventless_bytes = 0 if events else self._eventless_bytes + len(piece)
        if self._eventless_bytes > MAX_LINE_BYTES and not self._ended:
            raise UpstreamBrokenError("no event among many bytes")
        return events


def _read_event(data: bytes) -> TokenEvent:
    chunk = _decode_chunk(data)
    final = bool(chunk.choices) and chunk.choices[0].finish_reason is not None
    return TokenEvent(chunk.id, chunk.generation, chunk.offset, final, data)


@ADAPTERS.register("chat-engine")
class ChatEngineAdapter(EngineAdapter):
    """Adapter to engines that resume and cancel generations over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client shared by the adapters of the process.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        client.probe_path = LOAD_PATH
        client.request_header = REQUEST_HEADER

    async def open(self, replica: Replica, request: GenerationRequest) -> TokenStream:
        """Dispatch a request and return its stream."""
        headers = {REQUEST_HEADER: request.request_id, "Content-Type": "application/json"}
        url = f"http://{replica.address}{request.path}"
        response = await self._client.dispatch("POST", url, headers, request.body, request.record)
        check_request(response, request.request_id)
        if response.status != 200:
            await raise_refusal(response)
        return _open_stream(response)

    async def resume(self, replica: Replica, generation: str, offset: int) -> TokenStream:
        """Return the stream of a generation, starting at an offset."""
        url = _url(replica, f"generations/{generation}/events?offset={offset}")
        response = await self._client.dispatch("GET", url, {}, b"")
        if response.status == _NOT_FOUND:
            response.release()
            raise GenerationUnknownError(generation)
        if response.status != 200:
            await raise_refusal(response)
        return _open_stream(response)

    async def find(self, replica: Replica, request_id: str) -> GenerationInfo:
        """Return the generation that serves a request."""
        return await self._info(_url(replica, f"generations?request_id={request_id}"))

    async def describe(self, replica: Replica, generation: str) -> GenerationInfo:
        """Return the state of a generation at the engine."""
        return await self._info(_url(replica, f"generations/{generation}"))

    async def _info(self, url: str) -> GenerationInfo:
        async with self._client.control("GET", url) as response:
            if response.status == _NOT_FOUND:
                raise GenerationUnknownError(url)
            response.raise_for_status()
            return _decode_info(await read_control(response))

    async def cancel(self, replica: Replica, generation: str, if_detached: bool) -> None:
        """End a generation and free its memory."""
        query = "?if_detached=1" if if_detached else ""
        url = _url(replica, f"generations/{generation}{query}")
        async with self._client.control("DELETE", url) as response:
            await read_control(response)
            if response.status not in (_NOT_FOUND, _CONFLICT):
                response.raise_for_status()

    async def touch(self, replica: Replica) -> None:
        """Check that an engine responds."""
        await touch(self._client, replica)

    async def load(self, replica: Replica) -> LoadReport:
        """Return the latest load report."""
        return await read_load(self._client, replica)

    async def cache_changes(self, replica: Replica, since: int) -> list[CacheChange]:
        """Return changes of the prefix cache after a sequence number."""
        url = _url(replica, f"cache_events?since={since}")
        async with self._client.control("GET", url, background=True) as response:
            response.raise_for_status()
            events = _decode_cache(await read_control(response))
        return [CacheChange(e.sequence, e.kind == "stored", e.block) for e in events]

    async def order(self, replica: Replica, order: OrderRequest) -> OrderStatus:
        """Send an order, or resend it with the same identifier."""
        body = msgspec.json.encode(order)
        async with self._client.control("POST", _url(replica, "orders"), body) as response:
            return _decode_order(await read_control(response))

    async def orders(self, replica: Replica) -> list[OrderStatus]:
        """Return the states of all orders known to the engine."""
        async with self._client.control("GET", _url(replica, "orders")) as response:
            response.raise_for_status()
            return _decode_orders(await read_control(response))


def check_request(response: aiohttp.ClientResponse, request_id: str) -> None:
    """Make sure that an answer names no other request than the one that was sent.

    A surplus answer to an earlier request on the connection may come in place of the answer.
    Upstreams that name no request are not checked.

    Raises
    ------
    UpstreamBrokenError
        If it names another one.
    """
    named = response.headers.get(REQUEST_HEADER, request_id)
    if named != request_id:
        response.close()
        raise UpstreamBrokenError(f"the answer names request {named!r}")


async def touch(client: HttpClient, replica: Replica) -> None:
    """Request the load report; any answer shows that the replica is up.

    An open connection alone does not show that: a proxy in between may accept it although
    the replica has ended, or cannot be reached from here.
    """
    await client.settle(replica.address)
    try:
        async with client.control(
            "GET", f"http://{replica.address}{LOAD_PATH}", background=True
        ) as response:
            await read_control(response)
    except UpstreamBrokenError as error:
        if not isinstance(error.__cause__, EndlessAnswerError):
            raise
        _log.info("replica_answers_endlessly", replica=replica.name, reason=str(error))


async def read_load(client: HttpClient, replica: Replica) -> LoadReport:
    """Return the latest load report of a replica, decoded from JSON."""
    async with client.control(
        "GET", f"http://{replica.address}{LOAD_PATH}", background=True
    ) as response:
        check_final(response.status)
        response.raise_for_status()
        try:
            return _decode_report(await read_control(response))
        except UNREADABLE as error:
            raise UpstreamBrokenError(f"unreadable load report: {error}") from error


def _url(replica: Replica, rest: str) -> str:
    return f"http://{replica.address}/v1/{rest}"


def _open_stream(response: aiohttp.ClientResponse) -> ChatEngineStream:
    generation = response.headers.get(GENERATION_HEADER, "")
    if not generation:
        response.close()
        raise UpstreamBrokenError("the engine named no generation")
    return ChatEngineStream(response, generation)
