"""Adapter to plain HTTP services, whose answers are read completely before they are returned."""

import aiohttp

from reachlink.upstreams._base import (
    ADAPTERS,
    CallRequest,
    CallResponse,
    LoadReport,
    Replica,
    ServiceAdapter,
)
from reachlink.upstreams._chat_engine import (
    LOAD_PATH,
    REQUEST_HEADER,
    check_request,
    read_load,
    touch,
)
from reachlink.upstreams._http import HttpClient
from reachlink.upstreams._refusals import raise_call_refusal
from reachlink.upstreams._statuses import NOT_RUN_STATUSES, check_final
from reachlink.upstreams.exceptions import UpstreamBrokenError

MAX_RESPONSE_BYTES = 8 << 20
_ANY_BYTES = "application/octet-stream"


@ADAPTERS.register("plain-service")
class PlainServiceAdapter(ServiceAdapter):
    """Adapter to services that answer each HTTP request with one complete body.

    An answer is returned as it is, unless its status would promise the caller that the call has
    not run: only the service itself can confirm that.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        client.probe_path = LOAD_PATH
        client.request_header = REQUEST_HEADER

    async def call(self, replica: Replica, request: CallRequest) -> CallResponse:
        """Dispatch a call at most once and return the complete answer."""
        headers = {**request.headers, REQUEST_HEADER: request.request_id}
        url = f"http://{replica.address}{request.path}"
        response = await self._client.dispatch(
            request.method, url, headers, request.body, request.record
        )
        check_request(response, request.request_id)
        if response.status in NOT_RUN_STATUSES:
            await raise_call_refusal(response)
        return await _read_response(response)

    async def touch(self, replica: Replica) -> None:
        """Check that a replica responds."""
        await touch(self._client, replica)

    async def load(self, replica: Replica) -> LoadReport:
        """Return the latest load report."""
        return await read_load(self._client, replica)


async def _read_response(response: aiohttp.ClientResponse) -> CallResponse:
    try:
        body = await response.content.read(MAX_RESPONSE_BYTES + 1)
        while not response.content.at_eof() and len(body) <= MAX_RESPONSE_BYTES:
            body += await response.content.read(MAX_RESPONSE_BYTES + 1 - len(body))
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamBrokenError(str(error) or type(error).__name__) from error
    finally:
        response.release()
    if len(body) > MAX_RESPONSE_BYTES:
        raise UpstreamBrokenError("the answer is too long")
    check_final(response.status)
    return CallResponse(response.status, _content_type(response), body)


def _content_type(response: aiohttp.ClientResponse) -> str:
    """Return the type of an answer's body, or that of any bytes if it cannot be passed on."""
    content_type = response.headers.get("Content-Type", _ANY_BYTES)
    # Neither a header field nor a stored answer can hold other characters.
    return content_type if content_type.isprintable() else _ANY_BYTES
