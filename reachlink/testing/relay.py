"""A bare aiohttp relay: the least that any proxy of token streams must do."""

import sys

import aiohttp
import uvloop
from aiohttp import web


class Relay:
    """Passes requests and bytes on, unread.

    Parameters
    ----------
    target : str
        ``host:port`` to pass them to.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._session: aiohttp.ClientSession | None = None

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Relay one request."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        body = await request.read()
        url = f"http://{self._target}{request.path_qs}"
        async with self._session.post(url, data=body) as upstream:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            while piece := await upstream.content.readany():
                await response.write(piece)
            return response


def main() -> None:
    """Run ``relay PORT TARGET`` until a signal ends it."""
    port, target = int(sys.argv[1]), sys.argv[2]
    app = web.Application()
    app.router.add_post("/{path:.*}", Relay(target).serve)
    uvloop.install()
    web.run_app(app, host="127.0.0.1", port=port, print=None, access_log=None)


if __name__ == "__main__":
    main()
