"""Stand-in for a model engine, as a process."""

import asyncio
import os
import random
import sys
import time
import uuid
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import uvloop
from aiohttp import web

from reachlink.kernel import json_response, load_config
from reachlink.testing._batch import BatchModel, Generation
from reachlink.testing._config import EngineConfig
from reachlink.testing._limit_naming import LimitNaming
from reachlink.testing._orders import OrderDesk
from reachlink.testing._wire import (
    FaultBody,
    GenerateBody,
    OrderBody,
    block_hashes,
    count_tokens,
    prompt_text,
    token_text,
)
from reachlink.upstreams import NOT_RUN_HEADER

KEEPALIVE_S = 75.0
# Exit code of an engine that ends under a prompt.
DIED = 70


@dataclass(slots=True, eq=False)
class Track:
    """A generation with its encoded events and whoever reads them."""

    generation: Generation
    model: str
    events: list[bytes] = field(default_factory=list)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)
    readers: int = 0
    ended_at: float = 0.0

    @property
    def done(self) -> bool:
        """Whether no more events will come."""
        # A generation finishes at the start of the step that its events end.
        return self.ended_at > 0.0

    def wake(self) -> None:
        """Let every reader look again."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


def encode_event(track: Track, offset: int, final: bool) -> bytes:
    """Return the server-sent event of one token, or of the end of an answer."""
    generation = track.generation
    delta = {} if final else {"content": token_text(generation.generation_id, offset)}
    data = {
        "id": generation.request_id,
        "object": "chat.completion.chunk",
        "model": track.model,
        "generation": generation.generation_id,
        "offset": offset,
        "choices": [{"index": 0, "delta": delta, "finish_reason": "stop" if final else None}],
    }
    if final:
        data["usage"] = {
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": generation.tokens,
            "total_tokens": generation.prompt_tokens + generation.tokens,
        }
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


class Engine:
    """HTTP surface and stepping loop around a `BatchModel`."""

    def __init__(self, config: EngineConfig) -> None:
        self._config = config
        self._model = BatchModel(config.parameters)
        self._tracks: dict[str, Track] = {}
        self._by_request: dict[str, str] = {}
        self._wakeup = asyncio.Event()
        self._reports: deque[tuple[float, dict[str, object]]] = deque(maxlen=256)
        self._faults = FaultBody()
        self._random = random.Random(config.parameters.seed + 1)
        self._leaving = False
        self._refused = 0
        self._step_ms = 0.0
        self._sequence = 0
        self._born = int(time.time() * 1000.0)
        self.orders = OrderDesk(config)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._generate),
                web.post("/v1/completions", self._generate),
                web.get("/v1/generations", self._find),
                web.get("/v1/generations/{id}", self._describe),
                web.get("/v1/generations/{id}/events", self._resume),
                web.delete("/v1/generations/{id}", self._cancel),
                web.get("/v1/load", self._load),
                web.get("/v1/cache_events", self._cache),
                web.post("/v1/orders", self._order),
                web.get("/v1/orders", self._order_log),
                web.post("/faults", self._set_faults),
                web.post("/leave", self._leave),
                web.get("/healthz", self._health),
            ]
        )
        app.cleanup_ctx.append(self._background)
        self._naming = LimitNaming(app, lambda: self._faults.limit_per_s)
        return app

    async def _background(self, app: web.Application):  # type: ignore[no-untyped-def]
        tasks = [asyncio.create_task(work) for work in (self._run(), self._report())]
        yield
        for task in tasks:
            task.cancel()

    async def _run(self) -> None:
        due = time.monotonic()
        while True:
            if not self._model.busy:
                self._wakeup.clear()
                await self._wakeup.wait()
                due = time.monotonic()
            result = self._model.step()
            self._step_ms = result.duration_ms * self._faults.slow_factor
            due = max(due + self._step_ms / 1000, time.monotonic() - 0.05)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            for generation in result.grown:
                track = self._tracks[generation.generation_id]
                offset = len(track.events)
                track.events.append(encode_event(track, offset, final=False))
                if generation.finished:
                    track.events.append(encode_event(track, offset + 1, final=True))
                    track.ended_at = time.monotonic()
                track.wake()

    async def _report(self) -> None:
        while True:
            self._sequence += 1
            now = time.monotonic()
            if not self._faults.frozen_reports:
                self._reports.append((now, self._snapshot()))
            self._forget(now)
            await asyncio.sleep(self._config.report_interval_s)

    def _forget(self, now: float) -> None:
        for key, track in list(self._tracks.items()):
            if track.ended_at and now - track.ended_at > self._config.retention_s:
                del self._tracks[key]
                self._by_request.pop(track.generation.request_id, None)

    def _snapshot(self) -> dict[str, object]:
        return {
            "sequence": self._sequence,
            "running": len(self._model.running),
            "waiting": len(self._model.waiting),
            "waiting_tokens": sum(g.prompt_tokens + g.tokens for g in self._model.waiting),
            "kv_used_tokens": self._model.used_tokens,
            "kv_capacity_tokens": self._config.parameters.kv_tokens,
            "max_batch": self._config.parameters.max_batch,
            "step_ms": self._step_ms,
            "leaving": self._leaving,
            "preemptions": self._model.preemptions,
            "recomputed_tokens": self._model.recomputed_tokens,
            "models": self.orders.models(),
            "role": self.orders.role,
            "fence": self.orders.fence,
            "born": self._born,
        }

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(self._faults.unread_s)
        body = msgspec.json.decode(await request.read(), type=GenerateBody)
        if self._leaving:
            self._refused += 1
            return refusal(503, "leaving", "this instance is leaving")
        if self._faults.wait_s:
            self._refused += 1
            return refusal(503, "overloaded", "this instance is busy", self._faults.wait_s)
        if body.model not in self.orders.models():
            return refusal(404, "model_not_loaded", f"model {body.model!r} is not loaded")
        text = prompt_text(body)
        if self._faults.exit_on and self._faults.exit_on in text:
            os._exit(DIED)
        tokens = count_tokens(text)
        if tokens > self._config.parameters.kv_tokens // 2:
            return refusal(400, "prompt_too_long", "the prompt does not fit")
        generation = self._model.submit(
            generation_id=uuid.UUID(int=self._random.getrandbits(128)).hex,
            request_id=request.headers.get("X-Request-Id", ""),
            prompt_blocks=block_hashes(text, self._config.parameters.block_tokens),
            prompt_tokens=tokens,
            max_tokens=body.max_completion_tokens or body.max_tokens,
            priority=body.priority,
            seed=body.seed,
        )
        track = Track(generation, body.model)
        self._tracks[generation.generation_id] = track
        self._by_request[generation.request_id] = generation.generation_id
        self._wakeup.set()
        return await self._stream(request, track, 0)

    async def _stream(self, request: web.Request, track: Track, offset: int) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Generation-Id": track.generation.generation_id,
                "X-Request-Id": track.generation.request_id,
            }
        )
        await response.prepare(request)
        track.readers += 1
        try:
            await self._pump(request, response, track, offset)
        except (ConnectionError, asyncio.CancelledError):
            # A broken link does not end a generation: it can be resumed.
            raise
        finally:
            track.readers -= 1
        return response

    async def _pump(
        self, request: web.Request, response: web.StreamResponse, track: Track, offset: int
    ) -> None:
        while True:
            if offset < len(track.events):
                chunk = track.events[offset:]
                offset = len(track.events)
                await response.write(b"".join(self._with_faults(request, track, chunk)))
            elif track.done:
                if track.generation.finished:
                    await response.write(b"data: [DONE]\n\n")
                return
            else:
                waiter = asyncio.get_running_loop().create_future()
                track.waiters.append(waiter)
                await waiter

    def _with_faults(self, request: web.Request, track: Track, chunk: list[bytes]) -> list[bytes]:
        faults = self._faults
        if not (faults.repeat or faults.skip or faults.cross or faults.reset):
            return chunk
        out: list[bytes] = []
        for event in chunk:
            if self._random.random() >= faults.skip:
                out.append(event)
            if self._random.random() < faults.repeat:
                out.append(event)
            if self._random.random() < faults.cross:
                out.extend(self._foreign_event(track))
        if self._random.random() < faults.reset and request.transport is not None:
            request.transport.abort()
        return out

    def _foreign_event(self, track: Track) -> list[bytes]:
        others = [t for t in self._tracks.values() if t is not track and t.events]
        return [self._random.choice(others).events[-1]] if others else []

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        track = self._tracks.get(request.match_info["id"])
        if track is None or track.generation.cancelled:
            return refusal(404, "unknown_generation", "no such generation")
        return await self._stream(request, track, int(request.query.get("offset", "0")))

    async def _find(self, request: web.Request) -> web.Response:
        wanted = request.query.get("request_id")
        if wanted is None:
            return json_response([self._summary(track) for track in self._tracks.values()])
        found = self._by_request.get(wanted)
        if found is None:
            return refusal(404, "unknown_request", "no generation for this request")
        return json_response(self._summary(self._tracks[found]))

    def _summary(self, track: Track) -> dict[str, object]:
        generation = track.generation
        return {
            "generation": generation.generation_id,
            "request_id": generation.request_id,
            "tokens": generation.tokens,
            "finished": generation.finished,
            "cancelled": generation.cancelled,
            "attached": track.readers > 0,
            "preemptions": generation.preemptions,
        }

    async def _describe(self, request: web.Request) -> web.Response:
        track = self._tracks.get(request.match_info["id"])
        if track is None:
            return refusal(404, "unknown_generation", "no such generation")
        return json_response(self._summary(track))

    async def _cancel(self, request: web.Request) -> web.Response:
        track = self._tracks.get(request.match_info["id"])
        if track is None:
            return refusal(404, "unknown_generation", "no such generation")
        if request.query.get("if_detached") and track.readers > 0:
            return refusal(409, "attached", "somebody reads this generation")
        if not track.done:
            self._model.cancel(track.generation)
            track.ended_at = time.monotonic()
            track.wake()
        return json_response(self._summary(track))

    async def _load(self, request: web.Request) -> web.Response:
        limit = time.monotonic() - self._config.report_lag_s
        known = [report for at, report in self._reports if at <= limit]
        return json_response(known[-1] if known else {})

    async def _cache(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        await asyncio.sleep(self._config.event_lag_s)
        events = [e for e in self._model.cache_events if e.sequence > since]
        kept = [e for e in events if self._random.random() >= self._config.event_loss]
        return json_response(
            [{"sequence": e.sequence, "kind": e.kind, "block": e.block} for e in kept]
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=OrderBody)
        state = self.orders.accept(order)
        return json_response(state, status=409 if state["state"] == "refused" else 202)

    async def _order_log(self, request: web.Request) -> web.Response:
        return json_response(self.orders.log())

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults = msgspec.json.decode(await request.read(), type=FaultBody)
        return json_response({})

    async def _leave(self, request: web.Request) -> web.Response:
        self._leaving = True
        return json_response({"refused": self._refused})

    async def _health(self, request: web.Request) -> web.Response:
        return json_response(
            {
                "running": len(self._model.running),
                "refused": self._refused,
                "arrivals": self._naming.arrivals,
            }
        )


def refusal(status: int, code: str, message: str, wait_s: float = 0.0) -> web.Response:
    """Return an error that says that nothing was run; above 0 it asks for a backoff."""
    body = {"error": {"code": code, "message": message, "type": "refused"}}
    headers = {NOT_RUN_HEADER: "1"}
    if wait_s:
        headers["Retry-After"] = str(wait_s)
    return json_response(body, status, headers)


def main() -> None:
    """Run one engine until a signal ends it."""
    config = load_config(Path(sys.argv[sys.argv.index("--config") + 1]), EngineConfig)
    uvloop.install()
    web.run_app(
        Engine(config).app(),
        host=config.host,
        port=config.port,
        print=None,
        access_log=None,
        keepalive_timeout=KEEPALIVE_S,
        loop=asyncio.new_event_loop(),
    )


if __name__ == "__main__":
    main()
