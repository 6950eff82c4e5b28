"""Requests that an instance reads when their senders have turned elsewhere are not carried out."""

import asyncio
import hashlib
import json
import signal
import sys
from contextlib import asynccontextmanager

import aiohttp
import pytest

from reachlink.testing._ports import free_ports

KEY = "first-key"
PATIENCE_S = 20.0
# How long the instance stands still, in seconds: longer than operators' clients wait.
FROZEN_S = 1.3


class Instance:
    """The only control instance of a cluster, a separate process."""

    def __init__(self, folder, port, process, http) -> None:
        self.folder = folder
        self.port = port
        self.process = process
        self.http = http

    async def call(self, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
        url = f"http://127.0.0.1:{self.port}{path}"
        headers = {"Authorization": f"Bearer {KEY}"}
        try:
            async with self.http.request(method, url, json=body, headers=headers) as response:
                return response.status, await response.json()
        except aiohttp.ClientError:
            return 0, {}

    async def leads(self) -> bool:
        _, health = await self.call("GET", "/healthz")
        return health.get("role") == "leader"

    async def out_of_service(self) -> bool:
        _, found = await self.call("GET", "/v1/zones")
        return found["zones"]["a"]["out_of_service"]

    def logged(self, text: str) -> bool:
        return text in (self.folder / "log").read_text()

    async def until(self, condition) -> None:
        while not await condition():
            await asyncio.sleep(0.05)


@asynccontextmanager
async def instance(folder):
    port, bus = free_ports(2)
    config = {
        "name": "control-1",
        "availability_zone": "zone",
        "port": port,
        "bus_address": f"127.0.0.1:{bus}",
        "cluster_secret": "secret",
        "data_folder": str(folder / "data"),
        "bootstrap_key_hash": hashlib.sha256(KEY.encode()).hexdigest(),
        "seeds": [f"127.0.0.1:{bus}"],
        "voters": 1,
        "first_start": True,
    }
    path = folder / "control.json"
    path.write_text(json.dumps(config))
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "reachlink.control.tests.faulty_disk",
            str(path),
            stdout=log,
            stderr=log,
        )
    try:
        async with asyncio.timeout(PATIENCE_S), aiohttp.ClientSession() as http:
            found = Instance(folder, port, process, http)
            await found.until(found.leads)
            yield found
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def request_bytes(method: str, path: str, body: dict) -> bytes:
    data = json.dumps(body).encode()
    head = [
        f"{method} {path} HTTP/1.1",
        "Host: control",
        f"Authorization: Bearer {KEY}",
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
    ]
    return "\r\n".join([*head, "", ""]).encode() + data


ORDER_BACK = request_bytes("POST", "/v1/zones/a", {"out_of_service": False})
EDIT = request_bytes(
    "PATCH",
    "/v1/settings",
    {"changes": [{"path": "defaults.priority", "value": 1}], "base_revision": 1},
)


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("request_sent", [ORDER_BACK, EDIT], ids=["zone", "edit"])
def test_a_frozen_instance_does_not_carry_out_what_it_finds_when_it_wakes(
    tmp_path, leaves, request_sent
):
    async def scenario():
        async with instance(tmp_path) as found:
            await found.call("POST", "/v1/zones/a", {"out_of_service": True})
            _, before = await found.call("GET", "/v1/settings")
            found.process.send_signal(signal.SIGSTOP)
            reader, writer = await asyncio.open_connection("127.0.0.1", found.port)
            writer.write(request_sent)
            await asyncio.sleep(FROZEN_S)
            if leaves:
                writer.close()
            found.process.send_signal(signal.SIGCONT)
            if not leaves:
                assert b" 503 " in await reader.readline()
                writer.close()

            async def refused() -> bool:
                return found.logged("operator_request_outdated")

            await found.until(refused)
            _, after = await found.call("GET", "/v1/settings")
            assert after["revision"] == before["revision"]
            assert await found.out_of_service()

    asyncio.run(scenario())


def test_a_request_whose_sender_has_closed_the_connection_is_not_carried_out(tmp_path):
    """A path that was cut delivers the request and the end of its connection at once."""

    async def scenario():
        async with instance(tmp_path) as found:
            await found.call("POST", "/v1/zones/a", {"out_of_service": True})
            _, writer = await asyncio.open_connection("127.0.0.1", found.port)
            writer.write(ORDER_BACK)
            writer.close()

            async def refused() -> bool:
                return found.logged("operator_request_outdated")

            await found.until(refused)
            assert await found.out_of_service()

    asyncio.run(scenario())


def test_a_request_to_an_instance_that_has_woken_up_is_carried_out(tmp_path):
    async def scenario():
        async with instance(tmp_path) as found:
            found.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FROZEN_S)
            found.process.send_signal(signal.SIGCONT)

            async def taken() -> bool:
                status, _ = await found.call("POST", "/v1/zones/a", {"out_of_service": True})
                return status == 200

            await found.until(taken)
            assert await found.out_of_service()

    asyncio.run(scenario())
