"""Stand-ins of the platform's list, of model replicas, plain replicas and consumers."""

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web
from harness import HOST, KEY, NOT_EXECUTED, REQUEST_ID, SEAL, TENANT, Program, Record, System

MODEL, APP = "model", "app"
# Interval between two events of a stream, in seconds, and tokens in one event.
EVENT_S = 0.05
STRIDE = 4
# `handle_s` of the config: how long a copy is held that is not used.
HANDLE_S = 5.0
# Tokens of a prompt's part that all prompts share.
SHARED_TOKENS = 79
# Prompt tokens that a model replica reads in a second.
READ_TOKENS_S = 14000.0
# Streams whose guesses are right, before those that outgrow theirs, and their events.
GUESSED_RIGHT, SHORT_EVENTS = 16, 20
_numbers = itertools.count(1)


def table(version: int = 7) -> dict[str, Any]:
    """Return a config with a stream, a call that runs once and a repeatable one."""
    common = {"host": HOST, "public": False}
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "chat",
                "path_prefix": "/chat/",
                "route_type": "streaming",
                "timeout_ms": 39000,
                "slo_ms": 1800,
                "priority": 0,
                "service": MODEL,
                "max_attempts": 1,
                "session_affinity": True,
                "stream_resume": False,
                "gap_aim_ms": 180,
            },
            {
                **common,
                "name": "submit",
                "path_prefix": "/submit/",
                "route_type": "non_idempotent",
                "timeout_ms": 6000,
                "slo_ms": 400,
                "priority": 2,
                "service": APP,
                "max_attempts": 1,
            },
            {
                **common,
                "name": "receipt",
                "path_prefix": "/receipt/",
                "route_type": "idempotent",
                "timeout_ms": 6000,
                "slo_ms": 400,
                "priority": 2,
                "service": APP,
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": MODEL,
                "health_path": "/health",
                "max_conns": 442,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 34545,
                    "kv_token_bytes": 18432,
                    "link_mbps": 2700.0,
                    "moves": True,
                    "backups": True,
                    "stride": STRIDE,
                    "most": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": HANDLE_S,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": APP,
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Server:
    """An HTTP server at one address."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        server = web.Server(self.handle, handler_cancellation=False, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._ip, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
        self.address = f"{self._ip}:{port}"

    async def close(self) -> None:
        """Stop."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError


class PlatformList(Server):
    """The platform's list of replicas, which lags."""

    LAG_S = 0.4

    def __init__(self, ip: str, record: Record) -> None:
        super().__init__(ip)
        self._record = record
        self.replicas: list[Replica] = []
        # Entries as raw JSON that another writer has put into the list.
        self.foreign: list[str] = []
        self._shown: list[tuple[float, list[str]]] = []
        self.reads = 0

    def note_change(self) -> None:
        """Take the state of the replicas; it is shown after the lag."""
        entries = [json.dumps(replica.entry()) for replica in self.replicas]
        self._shown.append((time.monotonic(), entries + self.foreign))

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the list as it was a moment ago."""
        self.reads += 1
        limit = time.monotonic() - self.LAG_S
        seen = [entries for at, entries in self._shown if at <= limit] or [[]]
        body = '{"instances":[' + ",".join(seen[-1]) + '],"next_token":null}'
        return web.Response(text=body, content_type="application/json")


class Replica(Server):
    """What all replicas have in common."""

    service = ""
    slots = 6

    def __init__(self, ip: str, zone: str, record: Record) -> None:
        super().__init__(ip)
        self.zone = zone
        self.record = record
        self.id = f"i-{self.service}-{zone}"
        self.state = "ready"
        self.running = 0

    def entry(self) -> dict[str, Any]:
        """Return this replica's entry in the platform's list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "id": self.id,
        }

    def load(self) -> str:
        """Return the header that tells the load."""
        return f"{self.running},0,{self.slots}"

    def refusal(self, request: web.BaseRequest) -> web.Response | None:
        """Return the answer to a request that is not for this replica."""
        target = request.headers.get("X-Reachlink-Target-Instance", self.id)
        if target == self.id:
            return None
        return web.Response(status=421, headers={"X-Reachlink-Instance-Id": self.id})

    def fields(self, request: web.BaseRequest) -> dict[str, str]:
        """Return the header fields of a whole answer."""
        return {
            REQUEST_ID: request.headers[REQUEST_ID],
            SEAL: f"seal-{self.id}",
            "X-Reachlink-Instance-Load": self.load(),
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            return web.Response(status=status, headers={"X-Reachlink-Instance-Id": self.id})
        if request.path == "/reachlink/report":
            return web.json_response(self.report())
        if request.path.startswith("/reachlink/"):
            return await self.order(request)
        refused = self.refusal(request)
        if refused is not None:
            return refused
        return await self.run(request)

    def report(self) -> dict[str, Any]:
        """Return the report of this replica's state."""
        return {"stage": "both", "busy": False, "sequence": 0, "queued": 0, "running": self.running}

    async def order(self, request: web.BaseRequest) -> web.StreamResponse:
        """Take an order."""
        return web.Response(status=404)

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request."""
        raise NotImplementedError


class AppReplica(Replica):
    """A plain service: works for some time and answers with the body it was sent."""

    service = APP

    def __init__(self, ip: str, zone: str, record: Record, work_s: float = 0.06) -> None:
        super().__init__(ip, zone, record)
        self.work_s = work_s
        self.arrivals: list[tuple[float, str]] = []

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a request."""
        request_id = request.headers[REQUEST_ID]
        body = await request.read()
        if self.running >= self.slots:
            headers = {NOT_EXECUTED: "1", REQUEST_ID: request_id}
            return web.Response(status=503, headers=headers)
        self.arrivals.append((self.record.now(), request_id))
        self.record.add("replica", self.id, "runs", request_id)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.record.add("replica", self.id, "has run", request_id)
        return web.Response(body=b"done " + body, headers=self.fields(request))


class Consumer:
    """Sends requests to entry daemons, each attempt with an id of its own."""

    def __init__(self, system: System, record: Record) -> None:
        self._system = system
        self._record = record
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=None)
        )

    async def close(self) -> None:
        """Close all channels."""
        await self._http.close()

    def headers(
        self, request_id: str, deadline_ms: int, usage: str = "", hint: int = 0
    ) -> dict[str, str]:
        """Return the header fields of a request."""
        found = {
            "Host": HOST,
            REQUEST_ID: request_id,
            "X-Reachlink-Deadline-Ms": str(deadline_ms),
            "Api-Key": KEY,
        }
        if usage:
            found["X-Reachlink-Model"] = "m"
            found["X-Reachlink-Token-Usage"] = usage
            own_tokens = int(usage.partition(",")[0]) - SHARED_TOKENS
            found["X-Reachlink-Prompt-Prefix"] = (
                f"5c1e07a2:{SHARED_TOKENS},{next(_numbers):08x}:{own_tokens}"
            )
            found["Length-Hint"] = str(hint)
        return found

    async def call(
        self,
        entry: Program,
        path: str,
        request_id: str,
        deadline_ms: int = 3000,
        usage: str = "",
        hint: int = 0,
        data: bytes = b"body",
    ) -> tuple[str, bytes]:
        """Send one request; return how it ended and the body of its answer.

        The end is a status, ``cut`` where the channel closed without a complete answer,
        ``refused`` where no channel could be made, or ``deadline``.
        """
        url = f"http://{entry.ip}:{self._system.network.front}{path}"
        self._record.add("consumer sends", request_id, path, "to", entry.name)
        end, body = "cut", bytearray()
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                headers = self.headers(request_id, deadline_ms, usage, hint)
                call = self._http.post(url, data=data, headers=headers)
                async with call as response:
                    async for part in response.content.iter_any():
                        body += part
                    end = str(response.status)
                    if SEAL in response.headers:
                        end += " sealed"
        except aiohttp.ClientConnectorError:
            end = "refused"
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(error, TimeoutError):
                end = "deadline"
            else:
                self._record.add("consumer", request_id, type(error).__name__)
        self._record.add("consumer", request_id, "ends:", end, len(body), "bytes")
        return end, bytes(body)


async def send_as_guessed(consumer: Consumer, entries: list[Program], usage: str) -> None:
    """Send short streams with the right guess, and wait for their ends."""
    data = json.dumps({"events": SHORT_EVENTS}).encode()
    calls = []
    for number in range(GUESSED_RIGHT):
        entry, name = entries[number % len(entries)], f"as-guessed-{number:02d}"
        guess = SHORT_EVENTS * STRIDE
        calls.append(consumer.call(entry, "/chat/1", name, 39000, usage, guess, data))
    await asyncio.gather(*calls)


async def every(interval_s: float, until: Callable[[], bool], act: Callable[[int], Any]) -> None:
    """Start what `act` returns at regular intervals, and wait for all of it."""
    tasks: list[asyncio.Task[Any]] = []
    number = 0
    while not until():
        tasks.append(asyncio.ensure_future(act(number)))
        number += 1
        await asyncio.sleep(interval_s)
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks, return_exceptions=True)
