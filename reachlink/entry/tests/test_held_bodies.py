"""The product's own interface refuses long bodies beyond its budget, and serves short ones."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from aiohttp import ClientSession, web

from reachlink.entry._final_answers import FinalAnswers
from reachlink.entry._http import error_middleware, read_body
from reachlink.ingress import IncomingBodies
from reachlink.limits import BufferBudget, BufferKind

MB = 1 << 20


class Instance:
    """An instance whose handler keeps a body until it is told to answer."""

    def __init__(self, held_bytes: int) -> None:
        self.refused: list[int] = []
        self.node = cast(Any, SimpleNamespace)(
            held=BufferBudget(held_bytes),
            bodies=None,
            running_requests=0,
            final_answers=FinalAnswers(lambda: None),
            on_body_refused=lambda request_id, size: self.refused.append(size),
        )
        self.node.bodies = IncomingBodies(self.node.held)
        self.gate = asyncio.Event()
        self.url = ""
        app = web.Application(middlewares=[error_middleware(self.node)])
        app.add_routes([web.post("/keep", self._keep), web.post("/short", self._short)])
        self._runner = web.AppRunner(app)

    async def start(self) -> None:
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        self.url = f"http://127.0.0.1:{port}"

    async def close(self) -> None:
        await self._runner.cleanup()

    async def _keep(self, request: web.Request) -> web.Response:
        body = await read_body(request, 4 * MB)
        await self.gate.wait()
        return web.Response(text=str(len(body)))

    async def _short(self, request: web.Request) -> web.Response:
        return web.Response(text=str(len(await read_body(request, 4 * MB))))


async def post(session: ClientSession, url: str, body: Any) -> tuple[int, Any]:
    async with session.post(url, data=body) as response:
        if response.status == 200:
            return 200, await response.text()
        assert response.headers["Connection"] == "close"
        return response.status, (await response.json())["error"]


async def in_pieces(size: int) -> Any:
    for _ in range(size // 1024):
        yield b"x" * 1024


def play(held_bytes: int, work: Any) -> None:
    async def scenario() -> None:
        instance = Instance(held_bytes)
        await instance.start()
        try:
            async with asyncio.timeout(50.0), ClientSession() as session:
                await work(instance, session)
        finally:
            await instance.close()

    asyncio.run(scenario())


def test_long_bodies_beyond_the_budget_did_not_run_and_short_ones_do():
    async def work(instance: Instance, session: ClientSession) -> None:
        held = instance.node.held
        kept = []
        for number in range(1, 5):
            kept.append(asyncio.create_task(post(session, f"{instance.url}/keep", b"x" * MB)))
            while held.bytes_of(BufferKind.REQUEST) < number * MB:
                await asyncio.sleep(0.001)
        for body in (b"x" * MB, in_pieces(MB)):
            status, error = await post(session, f"{instance.url}/keep", body)
            assert (status, error["code"], error["outcome"]) == (503, "held_over_budget", "not_run")
        assert len(instance.refused) == 2
        assert await post(session, f"{instance.url}/short", b"x" * 1024) == (200, "1024")
        instance.gate.set()
        assert await asyncio.gather(*kept) == [(200, str(MB))] * 4
        while held.total or instance.node.running_requests:
            await asyncio.sleep(0.001)

    play(6 * MB, work)


def test_without_a_budget_all_are_read():
    async def work(instance: Instance, session: ClientSession) -> None:
        instance.gate.set()
        for body in (b"x" * 3 * MB, in_pieces(3 * MB)):
            assert await post(session, f"{instance.url}/keep", body) == (200, str(3 * MB))
        assert instance.node.held.total == 0 and not instance.refused

    play(0, work)
