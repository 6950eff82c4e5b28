"""Stand-in of a model replica that streams, copies memory, and preempts when memory runs out.

Memory is shared by running requests and by copies of other replicas' runs. When it runs out,
the newest among the least urgent runs is preempted; it is let in again, and read anew, as soon
as there is room for it.
"""

import asyncio
import contextlib
import itertools
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from harness import NOT_EXECUTED, REQUEST_ID, Record
from standins import EVENT_S, HANDLE_S, MODEL, READ_TOKENS_S, STRIDE, Replica

# Memory of one replica in tokens, as on the sheet.
CAPACITY_TOKENS = 34545
# For how long a copy is held that is neither used nor copied again, in seconds: `handle_s`
# is well over.
COPY_HELD_S = 2 * HANDLE_S
# States of a run.
READS, WORKS, PREEMPTED = "reads", "works", "preempted"
COMPLETE, DROPPED, STOPPED = "complete", "dropped", "stopped"


@dataclass
class Copy:
    """Memory of a run at another replica, up to an event."""

    request_id: str
    prompt_tokens: int
    made: int
    # When the last call for it was answered, in seconds of the record.
    moved_at: float

    @property
    def tokens(self) -> int:
        """Tokens in memory."""
        return self.prompt_tokens + self.made * STRIDE


@dataclass
class Run:
    """One run of a request; events are numbered from 1."""

    request_id: str
    number: int
    priority: int
    prompt_tokens: int
    events: int
    made: int = 0
    state: str = ""
    # Tokens that are yet to be read before it works.
    unread_tokens: int = 0
    # Where it continues from, if it does.
    continues: str = ""
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # When each state began, in seconds of the record.
    states: list[tuple[float, str]] = field(default_factory=list)

    @property
    def busy(self) -> bool:
        """Whether the replica works on it now."""
        return self.state in (READS, WORKS)

    @property
    def tokens(self) -> int:
        """Tokens in memory."""
        return self.prompt_tokens + self.made * STRIDE

    def wake(self) -> None:
        """Let whoever waits for a change look again."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class ModelReplica(Replica):
    """A model replica.

    Parameters
    ----------
    drops : bool
        Whether it ends a run once the channel of its request has closed, as most do.
    """

    service = MODEL
    slots = 64

    def __init__(self, ip: str, zone: str, record: Record, drops: bool = True) -> None:
        super().__init__(ip, zone, record)
        self.drops = drops
        self.runs: dict[str, Run] = {}
        self.ended: list[Run] = []
        self.copies: dict[str, Copy] = {}
        self.others: dict[str, ModelReplica] = {}
        self.stops_ordered = 0
        self._handles = 0
        self._numbers = itertools.count(1)

    @property
    def used_tokens(self) -> int:
        """Memory of running requests and of copies."""
        self._drop_lapsed()
        running = sum(run.tokens for run in self.runs.values() if run.busy)
        return running + sum(copy.tokens for copy in self.copies.values())

    def _drop_lapsed(self) -> None:
        oldest = self.record.now() - COPY_HELD_S
        self.copies = {h: copy for h, copy in self.copies.items() if copy.moved_at >= oldest}

    def report(self) -> dict[str, Any]:
        """Return the report of this replica's state."""
        waiting = [run for run in self.runs.values() if run.state == PREEMPTED]
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": len(waiting),
            "running": len(self.runs) - len(waiting),
            "kv_used": self.used_tokens,
            "kv_total": CAPACITY_TOKENS,
            "handles": len(self.copies),
            "next_token": waiting[0].tokens if waiting else 0,
            "state": self.state,
        }

    def _enter(self, run: Run, state: str) -> None:
        """Note a new state of a run."""
        run.state = state
        run.states.append((self.record.now(), state))
        used = self.used_tokens
        self.record.add("replica", self.id, state, run.request_id, "event", run.made, "used", used)
        run.wake()

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Stream a run's events, from its begin or from a copy."""
        request_id = request.headers[REQUEST_ID]
        events = json.loads(await request.read())["events"]
        prompt_tokens = int(request.headers["X-Reachlink-Token-Usage"].split(",")[0])
        priority = int(request.headers.get("Priority", "5"))
        run = Run(request_id, next(self._numbers), priority, prompt_tokens, events)
        run.unread_tokens = run.prompt_tokens
        source = request.headers.get("Kv-From", "")
        if source:
            self._drop_lapsed()
            copy = self.copies.pop(source, None)
            if copy is None or copy.request_id != request_id:
                self.record.add("replica", self.id, "has no copy of", request_id)
                headers = {NOT_EXECUTED: "1", REQUEST_ID: request_id}
                return web.Response(status=503, headers=headers)
            run.continues = source
            run.made = int(request.headers["Last-Event-Id"])
            run.unread_tokens = max(0, run.made - copy.made) * STRIDE
        self.runs[request_id] = run
        self.running += 1
        self._enter(run, READS)
        self._make_room()
        work = asyncio.ensure_future(self._work(run))
        try:
            return await self._stream(request, run)
        except (ConnectionError, OSError):
            self.record.add("replica", self.id, "sees the channel close", request_id)
            if self.drops:
                work.cancel()
                self._end(run, DROPPED)
            raise

    async def _work(self, run: Run) -> None:
        """Read the prompt and make the events, whoever listens."""
        due = 0.0
        while run.made < run.events:
            if run.state == PREEMPTED:
                await run.changed.wait()
            elif run.state == READS:
                await asyncio.sleep(run.unread_tokens / READ_TOKENS_S)
                if run.state == READS:
                    self._enter(run, WORKS)
                    due = self.record.now()
            elif run.state == WORKS:
                due += EVENT_S
                await asyncio.sleep(max(0.0, due - self.record.now()))
                if run.state == WORKS:
                    run.made += 1
                    run.wake()
                    self._make_room()
            else:
                return
        self._end(run, COMPLETE)

    def _end(self, run: Run, how: str) -> None:
        if run.state in (COMPLETE, DROPPED, STOPPED):
            return
        self._enter(run, how)
        if self.runs.get(run.request_id) is run:
            del self.runs[run.request_id]
        self.running -= 1
        self.ended.append(run)
        self._let_in()

    def _make_room(self) -> None:
        """Preempt the newest among the least urgent runs while memory is out."""
        while self.used_tokens > CAPACITY_TOKENS:
            busy = [run for run in self.runs.values() if run.busy]
            if len(busy) < 2:
                return
            self._enter(max(busy, key=lambda run: (run.priority, run.number)), PREEMPTED)

    def _let_in(self) -> None:
        """Let preempted runs in again, the most urgent and oldest first, while there is room."""
        waiting = [run for run in self.runs.values() if run.state == PREEMPTED]
        for run in sorted(waiting, key=lambda run: (run.priority, run.number)):
            if self.used_tokens + run.tokens > CAPACITY_TOKENS:
                return
            run.unread_tokens = run.tokens
            self._enter(run, READS)

    async def _stream(self, request: web.BaseRequest, run: Run) -> web.StreamResponse:
        response = web.StreamResponse(headers=self.fields(request))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        sent = run.made
        while run.made == sent and run.state != COMPLETE:
            await self._changed(request, run)
        await response.prepare(request)
        while True:
            while sent < run.made:
                sent += 1
                name = run.request_id.encode()
                await response.write(b"id: %d\ndata: %s.%d\n\n" % (sent, name, sent))
            if run.state == COMPLETE:
                break
            if run.state == STOPPED:
                # Closed without its end.
                assert request.transport is not None
                request.transport.abort()
                return response
            await self._changed(request, run)
        await response.write_eof()
        return response

    async def _changed(self, request: web.BaseRequest, run: Run) -> None:
        """Wait for a change, and notice that the channel has closed."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(run.changed.wait(), EVENT_S)
        transport = request.transport
        if transport is None or transport.is_closing():
            raise ConnectionResetError("the channel has closed")

    async def order(self, request: web.BaseRequest) -> web.StreamResponse:
        """Copy a run's memory to another replica, or free a copy."""
        if request.path == "/reachlink/kv-move":
            return await self._move(json.loads(await request.read()))
        if request.path.startswith("/reachlink/kv-handle/"):
            handle = request.path.rpartition("/")[2]
            for replica in [self, *self.others.values()]:
                replica.copies.pop(f"{self.address}/{handle}", None)
                replica._let_in()
            return web.Response(status=200)
        return web.Response(status=404)

    async def _move(self, order: dict[str, Any]) -> web.Response:
        run = self.runs.get(order["id"])
        target = self.others.get(order["target_version"])
        if order.get("last"):
            self.stops_ordered += 1
        if run is None or not run.busy:
            return web.Response(status=404)
        if target is None:
            return web.Response(status=503)
        if order.get("last"):
            self._end(run, STOPPED)
        await asyncio.sleep(0.03)
        known = next((k for k, c in target.copies.items() if c.request_id == run.request_id), "")
        held = target.copies[known].tokens if known else 0
        if target.used_tokens - held + run.tokens > CAPACITY_TOKENS:
            return web.Response(status=503)
        if not known:
            self._handles += 1
            known = f"{self.address}/h{self._handles}"
            self.record.add("replica", self.id, "copies", run.request_id, "to", target.id)
        target.copies[known] = Copy(run.request_id, run.prompt_tokens, run.made, self.record.now())
        return web.json_response({"handle": known.rpartition("/")[2], "made": run.made})
