"""Stand-ins of the platform and of plain replicas, and a consumer, by the pages of the users."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

REQUEST_ID = "X-Reachlink-Request-Id"
SEAL = "X-Reachlink-Response-Seal"
NOT_EXECUTED = "X-Reachlink-Not-Executed"
TARGET = "X-Reachlink-Target-Instance"
DEADLINE = "X-Reachlink-Deadline-Ms"
# Statuses that promise a consumer that its request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})


class Record:
    """What was sent, answered and run, written line by line.

    Parameters
    ----------
    path : pathlib.Path
        File that it is written to.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()

    def note(self, event: str, **facts: Any) -> None:
        """Write one line."""
        at = round(time.monotonic() - self._begun_at, 3)
        words = " ".join(f"{name}={json.dumps(value)}" for name, value in facts.items())
        self._file.write(f"{at:8.3f} {event} {words}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def listen(handler: Callable[[Any], Awaitable[web.StreamResponse]], host: str) -> Any:
    """Serve HTTP at a free port of a host; return the runner and the address."""
    runner = web.ServerRunner(web.Server(handler, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
    return runner, f"{host}:{port}"


@dataclass
class Listed:
    """One entry of the platform's list."""

    id: str
    service: str
    address: str
    zone: str = "a"
    state: str = "ready"
    slots: int = 8
    more: dict[str, Any] = field(default_factory=dict)

    def entry(self) -> dict[str, Any]:
        """Return it as the list shows it."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            **self.more,
        }


class Platform:
    """The platform's list of replicas.

    Parameters
    ----------
    host : str
        Address to listen at.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self.listed: list[Listed] = []
        self.address = ""
        self._runner: Any = None

    async def start(self) -> None:
        """Listen."""
        self._runner, self.address = await listen(self._list, self._host)

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _list(self, request: web.BaseRequest) -> web.Response:
        entries = [one.entry() for one in self.listed]
        return web.json_response({"instances": entries, "next_token": None})


class PlainReplica:
    """A replica of a plain service that runs what it gets and says so.

    Parameters
    ----------
    name : str
        Its id.
    record : Record
        Gets a line for each run.
    work_s : float
        How long a run takes, in seconds.
    """

    def __init__(self, name: str, record: Record, work_s: float = 0.06) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.address = ""
        # The body of each run, by the id of its request.
        self.ran: dict[str, str] = {}
        self._runner: Any = None

    async def start(self, host: str) -> None:
        """Listen."""
        self._runner, self.address = await listen(self.serve, host)

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if REQUEST_ID not in request.headers:
            return web.Response(status=200, headers={"X-Reachlink-Instance-Id": self.name})
        request_id = request.headers[REQUEST_ID]
        fields = {REQUEST_ID: request_id}
        body = await request.read()
        if request.headers.get(TARGET, self.name) != self.name:
            return web.Response(status=421, headers={**fields, NOT_EXECUTED: "1"})
        await asyncio.sleep(self.work_s)
        self.ran[request_id] = body.decode()
        self.record.note("run", id=request_id, replica=self.name, body=body.decode())
        return await self.answer(request, fields)

    async def answer(self, request: web.BaseRequest, fields: dict[str, str]) -> web.StreamResponse:
        """Return the answer to a request that has run."""
        return web.Response(body=b"done", headers={**fields, SEAL: f"{self.name}.1"})


@dataclass
class Ended:
    """How one attempt of a consumer ended; `status` is 0 for a channel that closed."""

    request_id: str
    status: int
    retry_after_s: float
    sealed: bool
    body: bytes = b""


class Consumer:
    """Sends requests, each attempt under an id of its own and on a channel of its own.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Makes the channels.
    record : Record
        Gets a line for each attempt and each answer.
    host : str
        Value of the `Host` field.
    """

    def __init__(self, http: aiohttp.ClientSession, record: Record, host: str) -> None:
        self._http = http
        self._record = record
        self._host = host
        self.ended: list[Ended] = []

    async def attempt(
        self,
        entry: str,
        path: str,
        request_id: str,
        body: str,
        deadline_s: float,
        more: dict[str, str] | None = None,
    ) -> Ended:
        """Send one attempt and return how it ended."""
        headers = {
            "Host": self._host,
            REQUEST_ID: request_id,
            DEADLINE: str(int(deadline_s * 1000)),
            **(more or {}),
        }
        self._record.note("sent", id=request_id, entry=entry, path=path, body=body[:40])
        timeout = aiohttp.ClientTimeout(total=deadline_s)
        try:
            async with self._http.post(
                f"http://{entry}{path}", data=body, headers=headers, timeout=timeout
            ) as got:
                ended = Ended(
                    request_id,
                    got.status,
                    float(got.headers.get("Retry-After", "0")),
                    SEAL in got.headers,
                    await got.read(),
                )
        except (aiohttp.ClientError, TimeoutError) as error:
            ended = Ended(request_id, 0, 0.0, False, type(error).__name__.encode())
        self._record.note(
            "answered",
            id=request_id,
            status=ended.status,
            sealed=ended.sealed,
            body=ended.body.decode(errors="replace")[:60],
        )
        self.ended.append(ended)
        return ended
