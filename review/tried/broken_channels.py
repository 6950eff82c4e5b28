"""Each stream's channel breaks once while its replica, which drops no run, works on.

Not one of the cases. From a built checkout, for example
``PYTHONPATH=target/deps python3 review/tried/broken_channels.py --transfer 0.6 --head 0.6``.
Ends with 1 where a stream goes on at another replica and, 0.4 s after that begin, a replica
before is still at work on it. What the pages leave open is played at its worst: a transfer of
memory takes its time, and another one for the same run is refused (409) meanwhile; the head of a
continuation comes late, as other prompts are read first; orders are answered late.
"""

import argparse
import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

from aiohttp import web

FOLDER = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(FOLDER))
sys.path.insert(0, str(FOLDER / "1"))

from case import doubled  # noqa: E402
from engines import COMPLETE, READS, STOPPED, WORKS, Copy, ModelReplica, Run  # noqa: E402
from harness import CannotRunError, Record, System, main  # noqa: E402
from standins import AppReplica, Consumer, PlatformList, table  # noqa: E402

# Streams, time between the starts of two, and their events, which fit into the memory.
STREAMS, STREAM_EVERY_S, EVENTS = 15, 0.3, 200
USAGE, GUESS = "1460,824", 800
# Event at which the first channel breaks; each later stream's breaks seven events later.
FIRST_BREAK = 40

_parser = argparse.ArgumentParser()
_parser.add_argument("--transfer", type=float, default=0.6, help="seconds a transfer takes")
_parser.add_argument("--head", type=float, default=0.6, help="seconds until a continuation's head")
_parser.add_argument("--order", type=float, default=0.0, help="seconds until an order is looked at")
_parser.add_argument("--mute", action="store_true", help="channels fall silent instead")
OPTIONS = _parser.parse_args()


class UnkindReplica(ModelReplica):
    """A model replica that moves memory slowly and refuses a second move of a run meanwhile."""

    def __init__(self, *words: Any) -> None:
        super().__init__(*words, drops=False)
        self.moving: set[str] = set()
        self.refused_moves = 0

    async def _move(self, order: dict[str, Any]) -> web.Response:
        await asyncio.sleep(OPTIONS.order)
        run = self.runs.get(order["id"])
        target = self.others.get(order["target_version"])
        if order.get("last"):
            self.stops_ordered += 1
        if run is None or not run.busy:
            return web.Response(status=404)
        if run.request_id in self.moving:
            self.refused_moves += 1
            return web.Response(status=409)
        if target is None:
            return web.Response(status=503)
        last = bool(order.get("last"))
        if last:
            self._end(run, STOPPED)
        self.moving.add(run.request_id)
        made = run.made
        try:
            await asyncio.sleep(OPTIONS.transfer)
        finally:
            self.moving.discard(run.request_id)
        known = next((k for k, c in target.copies.items() if c.request_id == run.request_id), "")
        if not known:
            self._handles += 1
            known = f"{self.address}/h{self._handles}"
        target.copies[known] = Copy(run.request_id, run.prompt_tokens, made, self.record.now())
        return web.json_response({"handle": known.rpartition("/")[2], "made": made})

    async def _stream(self, request: web.BaseRequest, run: Run) -> web.StreamResponse:
        if run.continues:
            return await self._continue(request, run)
        breaks = asyncio.ensure_future(self._break(request, run))
        try:
            return await super()._stream(request, run)
        finally:
            breaks.cancel()

    async def _continue(self, request: web.BaseRequest, run: Run) -> web.StreamResponse:
        """Stream a continuation whose head comes late; the run begins at once."""
        response = web.StreamResponse(headers=self.fields(request))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        sent = int(request.headers["Last-Event-Id"])
        await asyncio.sleep(OPTIONS.head)
        await response.prepare(request)
        while True:
            while sent < run.made:
                sent += 1
                name = run.request_id.encode()
                await response.write(b"id: %d\ndata: %s.%d\n\n" % (sent, name, sent))
            if run.state == COMPLETE:
                break
            if run.state == STOPPED:
                assert request.transport is not None
                request.transport.abort()
                return response
            await self._changed(request, run)
        await response.write_eof()
        return response

    async def _break(self, request: web.BaseRequest, run: Run) -> None:
        """Break the channel of a run at its event."""
        number = int(run.request_id.rpartition("-")[2])
        while run.made < FIRST_BREAK + 7 * number:
            await asyncio.sleep(0.01)
        self.record.add("replica", self.id, "channel breaks", run.request_id, "event", run.made)
        if request.transport is None:
            return
        if OPTIONS.mute:
            request.transport.pause_reading()
            request.transport.write = lambda data: None  # type: ignore[method-assign]
            request.transport.writelines = lambda data: None  # type: ignore[method-assign]
        else:
            request.transport.abort()


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the streams; return how the rule was broken."""
    system = System(record, lambda: listed.address)
    listed = PlatformList(system.network.ip(100), record)
    consumer = Consumer(system, record)
    zones = ["zone-a", "zone-b", "zone-c"]
    models = [
        UnkindReplica(system.network.ip(111 + n), zone, record) for n, zone in enumerate(zones)
    ]
    apps = [AppReplica(system.network.ip(121 + n), zone, record) for n, zone in enumerate(zones)]
    servers = [listed, *models, *apps]
    try:
        for server in servers:
            await server.start()
        for one in models:
            one.others = {other.address: other for other in models if other is not one}
        listed.replicas = [*models, *apps]
        listed.note_change()
        await asyncio.sleep(listed.LAG_S + 0.1)
        await system.start(table())
        await asyncio.sleep(3.0)
        ends = await serve(system, consumer)
        await asyncio.sleep(1.0)
        for end in sorted(set(ends)):
            record.add("streams that ended", end + ":", ends.count(end))
        record.add("moves refused:", sum(one.refused_moves for one in models))
        record.add("stops ordered:", sum(one.stops_ordered for one in models))
        runs = [(one, run) for one in models for run in [*one.ended, *one.runs.values()]]
        record.add("continuations:", sum(bool(run.continues) for _, run in runs))
        if not any(end == "200 sealed" for end in ends):
            raise CannotRunError("no stream was served")
        return [*doubled(models), *worked_beside(models)]
    finally:
        await consumer.close()
        await system.close()
        for server in servers:
            await server.close()


def worked_beside(models: list[ModelReplica]) -> list[str]:
    """Return whether any replica worked beside a later one at any time beyond the 0.4 s."""
    found = []
    runs = [(one, run) for one in models for run in [*one.ended, *one.runs.values()]]
    for replica, run in runs:
        if not run.continues:
            continue
        since, until = run.states[0][0] + 0.4, run.states[-1][0]
        for before, earlier in runs:
            if earlier is run or earlier.request_id != run.request_id:
                continue
            if earlier.states[0][0] >= run.states[0][0]:
                continue
            ends = [at for at, _ in earlier.states[1:]] + [until]
            both = sum(
                max(0.0, min(end, until) - max(at, since))
                for (at, state), end in zip(earlier.states, ends, strict=True)
                if state in (READS, WORKS)
            )
            if both > 0.0:
                found.append(
                    f"{run.request_id} at {replica.id} and {before.id} beyond 0.4 s: {both:.3f} s"
                )
    return found


async def serve(system: System, consumer: Consumer) -> list[str]:
    """Send the streams; return how each ended."""
    tasks = []
    data = json.dumps({"events": EVENTS}).encode()
    for number in range(STREAMS):
        call = consumer.call(
            system.entries[0], "/chat/1", f"stream-{number:02d}", 39000, USAGE, GUESS, data
        )
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(STREAM_EVERY_S)
    return [end for end, _ in await asyncio.gather(*tasks)]


if __name__ == "__main__":
    main(Path(tempfile.mkdtemp(prefix="broken-channels-")), play)
