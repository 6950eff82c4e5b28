"""Stand-ins for the platform: its lagging instance list and its weight store."""

import asyncio
import sys
import time
from pathlib import Path

import msgspec
import uvloop
from aiohttp import web

from reachlink.kernel import json_response, load_config
from reachlink.testing._config import PlatformConfig, PlatformInstance, WeightsConfig
from reachlink.testing.engine import refusal

_CHUNK = 256 << 10


class PlatformList:
    """Lists upstream instances as they were a while ago."""

    def __init__(self, config: PlatformConfig) -> None:
        self._config = config
        self._now = {i.name: i for i in config.instances}
        self._history: list[tuple[float, list[PlatformInstance]]] = []
        self._record(0.0)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.add_routes(
            [web.get("/v1/instances", self._list), web.post("/v1/instances", self._change)]
        )
        return app

    def _record(self, at: float) -> None:
        self._history.append((at, list(self._now.values())))
        del self._history[:-1000]

    async def _list(self, request: web.Request) -> web.Response:
        limit = time.monotonic() - self._config.lag_s
        seen = [instances for at, instances in self._history if at <= limit][-1]
        return json_response({"instances": seen})

    async def _change(self, request: web.Request) -> web.Response:
        instance = msgspec.json.decode(await request.read(), type=PlatformInstance)
        if instance.state == "gone":
            self._now.pop(instance.name, None)
        else:
            self._now[instance.name] = instance
        self._record(time.monotonic())
        return json_response({})


class WeightStore:
    """Serves model weights at a limited total rate."""

    def __init__(self, config: WeightsConfig) -> None:
        self._config = config
        self._free_at = 0.0
        self.served_bytes = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.add_routes([web.get("/weights/{version}", self._serve)])
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        size = self._config.version_bytes.get(request.match_info["version"])
        if size is None:
            return refusal(404, "unknown_version", "no such weights")
        response = web.StreamResponse(headers={"Content-Length": str(size)})
        await response.prepare(request)
        for start in range(0, size, _CHUNK):
            part = min(_CHUNK, size - start)
            await self._wait_for(part)
            await response.write(bytes(part))
        return response

    async def _wait_for(self, part: int) -> None:
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + part / self._config.bytes_per_s
        self.served_bytes += part
        await asyncio.sleep(self._free_at - now)


def main() -> None:
    """Run the platform list or the weight store until a signal ends it."""
    path = Path(sys.argv[sys.argv.index("--config") + 1])
    app: web.Application
    config: PlatformConfig | WeightsConfig
    if "--weights" in sys.argv:
        config = load_config(path, WeightsConfig)
        app = WeightStore(config).app()
    else:
        config = load_config(path, PlatformConfig)
        app = PlatformList(config).app()
    uvloop.install()
    web.run_app(
        app,
        host=config.host,
        port=config.port,
        print=None,
        access_log=None,
        loop=asyncio.new_event_loop(),
    )


if __name__ == "__main__":
    main()
