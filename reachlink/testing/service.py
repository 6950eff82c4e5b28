"""Stand-in for a plain service that records each call it ran, as a process."""

import asyncio
import sys
import time
from pathlib import Path

import msgspec
import uvloop
from aiohttp import web

from reachlink.kernel import json_response, load_config
from reachlink.testing._config import ServiceConfig
from reachlink.testing._limit_naming import LimitNaming
from reachlink.testing._wire import FaultBody
from reachlink.testing.engine import refusal


class PlainService:
    """Runs any call by recording it, after a fixed delay.

    The body may hold ``{"fail": "after"}`` to close the connection once the
    call has run.
    """

    def __init__(self, config: ServiceConfig) -> None:
        self._config = config
        self._calls: list[dict[str, str]] = []
        self._running = 0
        self._leaving = False
        self._faults = FaultBody()
        self._refused = 0
        self._born = int(time.time() * 1000.0)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.add_routes(
            [
                web.get("/calls", self._list),
                web.get("/v1/load", self._load),
                web.post("/leave", self._leave),
                web.post("/faults", self._set_faults),
                web.get("/healthz", self._health),
                web.route("*", "/{path:.*}", self._run),
            ]
        )
        self._naming = LimitNaming(app, lambda: self._faults.limit_per_s)
        return app

    async def _run(self, request: web.Request) -> web.Response:
        if self._leaving:
            return refusal(503, "leaving", "this instance is leaving")
        if self._faults.wait_s:
            self._refused += 1
            return refusal(503, "overloaded", "this instance is busy", self._faults.wait_s)
        await asyncio.sleep(self._faults.unread_s)
        body = await request.text()
        self._calls.append(
            {
                "request_id": request.headers.get("X-Request-Id", ""),
                "key": request.headers.get("Idempotency-Key", ""),
                "method": request.method,
                "path": request.path,
                # Long ones are filled up with blanks.
                "body": body.rstrip(" "),
            }
        )
        self._running += 1
        try:
            await asyncio.sleep(self._config.delay_s)
        finally:
            self._running -= 1
        if '"fail": "after"' in body and request.transport is not None:
            request.transport.abort()
        number = len(self._calls)
        return json_response({"accepted": True, "by": self._config.name, "number": number})

    async def _list(self, request: web.Request) -> web.Response:
        return json_response(self._calls)

    async def _load(self, request: web.Request) -> web.Response:
        return json_response(
            {"running": self._running, "leaving": self._leaving, "born": self._born}
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=FaultBody)
        return json_response({})

    async def _leave(self, request: web.Request) -> web.Response:
        self._leaving = True
        return json_response({})

    async def _health(self, request: web.Request) -> web.Response:
        return json_response({"refused": self._refused, "arrivals": self._naming.arrivals})


def main() -> None:
    """Run one plain service until a signal ends it."""
    config = load_config(Path(sys.argv[sys.argv.index("--config") + 1]), ServiceConfig)
    uvloop.install()
    web.run_app(
        PlainService(config).app(),
        host=config.host,
        port=config.port,
        print=None,
        access_log=None,
        loop=asyncio.new_event_loop(),
    )


if __name__ == "__main__":
    main()
