"""Fault-injecting TCP proxy: one process, one listening port for each link."""

import asyncio
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import uvloop
from aiohttp import web

from reachlink.kernel import json_response, load_config
from reachlink.testing.engine import refusal

_CHUNK = 64 << 10
# Modes in which open connections are reset.
_RESETTING = frozenset({"reset", "accept_reset"})


class LinkConfig(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One link: who uses it, whom it reaches, and its one-way delay."""

    source_zone: str
    target_zone: str
    process: str
    port: int
    target_host: str
    target_port: int
    delay_ms: float = 0.0


class ProxyConfig(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """All links of a fleet and the address of the fault controls."""

    port: int
    links: list[LinkConfig]


class FaultRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Which links a fault concerns.

    ``mode`` is ``stall`` (new connections are accepted, bytes vanish in silence, both ways),
    ``stall_up``, ``stall_down`` (one way), ``reset`` (connections are reset, new ones
    refused), or ``accept_reset`` (connections are reset, new ones accepted and then reset).
    """

    availability_zone: str = ""
    process: str = ""
    source_zone: str = ""
    milliseconds: float = 0.0
    mode: str = "stall"


@dataclass(slots=True, eq=False)
class Link:
    """A link with its present faults and connections."""

    config: LinkConfig
    mode: str = ""
    delay_ms: float = 0.0
    opened: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Take new connections."""
        if self.server is None:
            self.server = await asyncio.start_server(_handler(self), "127.0.0.1", self.config.port)

    def refuse(self) -> None:
        """Refuse new connections."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def matches(self, fault: FaultRequest) -> bool:
        """Return whether the fault concerns this link."""
        config = self.config
        if fault.process:
            from_zone = fault.source_zone in ("", config.source_zone)
            return fault.process == config.process and from_zone
        crosses = config.source_zone != config.target_zone
        return crosses and fault.availability_zone in (config.source_zone, config.target_zone)


class Proxy:
    """Carries bytes over every link and injects faults on request."""

    def __init__(self, config: ProxyConfig) -> None:
        self._config = config
        self._links = [Link(c, delay_ms=c.delay_ms) for c in config.links]
        for link in self._links:
            link.opened.set()

    def app(self) -> web.Application:
        """Return the fault controls."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/cut", self._cut),
                web.post("/heal", self._heal),
                web.post("/delay", self._delay),
                web.post("/reset", self._reset),
                web.get("/links", self._list),
            ]
        )
        app.cleanup_ctx.append(self._listen)
        return app

    async def _listen(self, app: web.Application):  # type: ignore[no-untyped-def]
        for link in self._links:
            await link.listen()
        yield
        for link in self._links:
            link.refuse()

    async def _chosen(self, request: web.Request) -> tuple[FaultRequest, list[Link]]:
        fault = msgspec.json.decode(await request.read(), type=FaultRequest)
        return fault, [link for link in self._links if link.matches(fault)]

    async def _cut(self, request: web.Request) -> web.Response:
        fault, links = await self._chosen(request)
        if not links:
            return refusal(404, "no_link", "no link matches")
        for link in links:
            link.mode = fault.mode
            link.opened.clear()
            if fault.mode == "reset":
                link.refuse()
            if fault.mode in _RESETTING:
                _abort_all(link)
        return json_response({"links": len(links)})

    async def _heal(self, request: web.Request) -> web.Response:
        _, links = await self._chosen(request)
        for link in links:
            if link.mode:
                # What was swallowed is gone: a real cut ends such connections too.
                _abort_all(link)
            link.mode = ""
            link.opened.set()
            await link.listen()
        return json_response({"links": len(links)})

    async def _delay(self, request: web.Request) -> web.Response:
        fault, links = await self._chosen(request)
        for link in links:
            link.delay_ms = fault.milliseconds
        return json_response({"links": len(links)})

    async def _reset(self, request: web.Request) -> web.Response:
        _, links = await self._chosen(request)
        for link in links:
            _abort_all(link)
        return json_response({"links": len(links)})

    async def _list(self, request: web.Request) -> web.Response:
        return json_response(
            [
                {
                    "source_zone": link.config.source_zone,
                    "target_zone": link.config.target_zone,
                    "process": link.config.process,
                    "port": link.config.port,
                    "mode": link.mode,
                    "milliseconds": link.delay_ms,
                    "connections": len(link.writers) // 2,
                }
                for link in self._links
            ]
        )


def _abort_all(link: Link) -> None:
    for writer in list(link.writers):
        writer.transport.abort()
    link.writers.clear()


def _handler(link: Link):  # type: ignore[no-untyped-def]
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if link.mode in _RESETTING:
            writer.transport.abort()
            return
        link.writers.add(writer)
        try:
            # A stalled link answers no connection either: wait until it is healed.
            await link.opened.wait() if link.mode == "stall" else None
            target = link.config
            up_reader, up_writer = await asyncio.open_connection(
                target.target_host, target.target_port
            )
            link.writers.add(up_writer)
            await asyncio.gather(
                _carry(link, "stall_up", reader, up_writer),
                _carry(link, "stall_down", up_reader, writer),
            )
        except OSError:
            writer.transport.abort()
        finally:
            link.writers.discard(writer)

    return serve


async def _carry(
    link: Link, one_way: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    loop = asyncio.get_running_loop()
    queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=64)
    feeding = asyncio.create_task(_feed(link, reader, queue))
    try:
        while True:
            due, data = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if link.mode in ("stall", one_way):
                await link.opened.wait()
                return
            if not data:
                break
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        feeding.cancel()
        link.writers.discard(writer)
        writer.close()


async def _feed(
    link: Link, reader: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]
) -> None:
    loop = asyncio.get_running_loop()
    try:
        while data := await reader.read(_CHUNK):
            await queue.put((loop.time() + link.delay_ms / 1000, data))
    except OSError:
        pass
    await queue.put((0.0, b""))


def main() -> None:
    """Run the proxy until a signal ends it."""
    config = load_config(Path(sys.argv[sys.argv.index("--config") + 1]), ProxyConfig)
    uvloop.install()
    web.run_app(
        Proxy(config).app(),
        host="127.0.0.1",
        port=config.port,
        print=None,
        access_log=None,
        loop=asyncio.new_event_loop(),
    )


if __name__ == "__main__":
    main()
