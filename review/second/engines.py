"""Stand-in of model engines that keep a copy of each run at another engine (`Kv-Backup`)."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from standins import NOT_EXECUTED, REQUEST_ID, SEAL, TARGET, Record, listen

EVENT_S = 0.05
STRIDE = 4
# Memory of a run, as reports tell it.
RUN_TOKENS = 650


@dataclass
class Work:
    """The time in which an engine works on a run, in monotonic seconds; `ended_at` at its end."""

    engine: str
    request_id: str
    begun_at: float
    after_event: int
    ended_at: float = float("inf")


@dataclass
class Engines:
    """All engines of a service, and what each has worked on."""

    works: list[Work] = field(default_factory=list)
    by_address: dict[str, "Engine"] = field(default_factory=dict)


class Engine:
    """An engine that works a run to its end, whether or not its channel is closed.

    Parameters
    ----------
    name : str
        Its id.
    engines : Engines
        The service that it belongs to.
    record : Record
        Gets a line for the begin and the end of each run.
    """

    def __init__(self, name: str, engines: Engines, record: Record) -> None:
        self.name = name
        self.address = ""
        self._engines = engines
        self._record = record
        self._runner: Any = None
        self._running: dict[str, Work] = {}
        # Ids whose memory was sent here, with the number of events that they had then.
        self.copies: dict[str, int] = {}
        # Number of the event after which the answer to a request is lost, by its id.
        self.lose_after: dict[str, int] = {}
        # Of the requests that begin, one in so many loses its answer; 0 for none.
        self.lose_one_in = 0
        self._begun = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Listen."""
        self._runner, self.address = await listen(self._serve, host)
        self._engines.by_address[self.address] = self

    async def close(self) -> None:
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/reachlink/report":
            return web.json_response(self._report())
        if REQUEST_ID not in request.headers:
            known = request.path == "/health"
            return web.Response(
                status=200 if known else 404, headers={"X-Reachlink-Instance-Id": self.name}
            )
        request_id = request.headers[REQUEST_ID]
        await request.read()
        if request.headers.get(TARGET, self.name) != self.name:
            fields = {REQUEST_ID: request_id, NOT_EXECUTED: "1"}
            return web.Response(status=421, headers=fields)
        return await self._run(request, request_id)

    def _report(self) -> dict[str, Any]:
        runs = [[one.request_id, RUN_TOKENS, 0, 5] for one in self._running.values()]
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "running": len(self._running),
            "kv_used": RUN_TOKENS * len(self._running),
            "kv_total": 34545,
            "handles": 0,
            "state": "ready",
            "next_token": 0,
            "runs": runs,
            "pinned": 0,
            "held": 0,
        }

    async def _run(self, request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        after = 0
        if "Kv-From" in request.headers:
            if request_id not in self.copies:
                fields = {REQUEST_ID: request_id, NOT_EXECUTED: "1"}
                return web.Response(status=503, headers=fields)
            after = int(request.headers.get("Last-Event-Id", "0"))
        events = int(request.headers["X-Reachlink-Token-Usage"].split(",")[1]) // STRIDE
        backup = self._engines.by_address.get(request.headers.get("Kv-Backup", ""))
        if backup is not None:
            backup.copies[request_id] = after
        loses_after = self._loses_after(events) if not after else events + 1
        work = Work(self.name, request_id, time.monotonic(), after)
        self._engines.works.append(work)
        self._running[request_id] = work
        self._record.note("run", id=request_id, engine=self.name, after_event=after)
        queue: asyncio.Queue[int] = asyncio.Queue()
        task = asyncio.create_task(self._work(work, events, queue))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await self._answer(request, request_id, queue, events, loses_after)

    def _loses_after(self, events: int) -> int:
        self._begun += 1
        lost = self.lose_one_in and self._begun % self.lose_one_in == 0
        return events // 4 if lost else events + 1

    async def _work(self, work: Work, events: int, queue: "asyncio.Queue[int]") -> None:
        """Make all events of a run, and note when the work on it ends."""
        try:
            for number in range(work.after_event + 1, events + 1):
                await asyncio.sleep(EVENT_S)
                queue.put_nowait(number)
        finally:
            work.ended_at = time.monotonic()
            self._running.pop(work.request_id, None)
            self._record.note("run_ends", id=work.request_id, engine=self.name)

    async def _answer(
        self,
        request: web.BaseRequest,
        request_id: str,
        queue: "asyncio.Queue[int]",
        events: int,
        loses_after: int,
    ) -> web.StreamResponse:
        fields = {
            REQUEST_ID: request_id,
            SEAL: f"{self.name}.1",
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=fields)
        response.enable_chunked_encoding()
        await response.prepare(request)
        while (number := await queue.get()) <= events:
            await response.write(b"id: %d\ndata: %s %d\n\n" % (number, request_id.encode(), number))
            if number == events:
                break
            if number >= loses_after:
                self._record.note(
                    "answer_lost", id=request_id, engine=self.name, after_event=number
                )
                assert request.transport is not None
                request.transport.abort()
                return response
        await response.write_eof()
        return response
