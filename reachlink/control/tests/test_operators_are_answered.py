"""Operators' requests that were read are answered while the instance's disk fails or it stops."""

import asyncio
import hashlib
import json
import signal
import sys
from contextlib import asynccontextmanager

import aiohttp
import pytest

from reachlink.control._operator_http import EDIT_TIMEOUT_S
from reachlink.testing._ports import free_ports

KEY = "first-key"
PATIENCE_S = 20.0
# An edit that no leader takes is repeated for longer than this.
STOP_S = EDIT_TIMEOUT_S / 2
EDIT = {"changes": [{"path": "defaults.priority", "value": 1}]}


class Instance:
    """The control instance under test, a separate process."""

    def __init__(self, folder, port, process, http) -> None:
        self.folder = folder
        self.port = port
        self.process = process
        self.http = http

    async def health(self) -> dict:
        try:
            async with self.http.get(f"http://127.0.0.1:{self.port}/healthz") as response:
                return await response.json()
        except aiohttp.ClientError:
            return {}

    async def edit(self, base: int) -> int:
        """Send an edit and return the status of its answer, or 0 if there was none."""
        url = f"http://127.0.0.1:{self.port}/v1/settings"
        headers = {"Authorization": f"Bearer {KEY}"}
        body = {**EDIT, "base_revision": base}
        try:
            async with self.http.patch(url, json=body, headers=headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def relays(self) -> bool:
        """Return whether a request was handed to the bus, which is idle otherwise."""
        url = f"http://127.0.0.1:{self.port}/metrics"
        async with self.http.get(url) as response:
            page = await response.text()
        (line,) = [x for x in page.splitlines() if x.startswith("reachlink_bus_received_bytes")]
        return float(line.split()[-1]) > 0.0

    async def until(self, condition) -> None:
        while not await condition():
            await asyncio.sleep(0.05)

    async def leads(self) -> bool:
        return (await self.health()).get("role") == "leader"

    async def runs(self) -> bool:
        return bool(await self.health())


@pytest.fixture
def with_instance(tmp_path):
    """Run a scenario with one instance that is one of `founders` founders."""

    @asynccontextmanager
    async def started(founders: int):
        port, *buses = free_ports(1 + founders)
        config = {
            "name": "control-1",
            "availability_zone": "zone",
            "port": port,
            "bus_address": f"127.0.0.1:{buses[0]}",
            "cluster_secret": "secret",
            "data_folder": str(tmp_path / "data"),
            "bootstrap_key_hash": hashlib.sha256(KEY.encode()).hexdigest(),
            "seeds": [f"127.0.0.1:{bus}" for bus in buses],
            "voters": founders,
            "first_start": True,
        }
        path = tmp_path / "control.json"
        path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "reachlink.control.tests.faulty_disk", str(path)
        )
        try:
            async with aiohttp.ClientSession() as http:
                yield Instance(tmp_path, port, process, http)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def scenario(work, founders: int) -> None:
        async with asyncio.timeout(PATIENCE_S), started(founders) as instance:
            await work(instance)

    return lambda work, founders=1: asyncio.run(scenario(work, founders))


@pytest.mark.parametrize("fault", ["fail", "break"])
def test_an_edit_is_answered_when_the_disk_fails_under_it(with_instance, fault):
    async def work(instance):
        await instance.until(instance.leads)
        assert await instance.edit(0) == 200
        (instance.folder / fault).touch()
        async with asyncio.timeout(STOP_S):
            assert await instance.edit(1) in (503, 504)
            assert await instance.process.wait() == 1

    with_instance(work)


def test_an_edit_is_answered_while_the_disk_hangs(with_instance):
    async def work(instance):
        await instance.until(instance.leads)
        assert await instance.edit(0) == 200
        (instance.folder / "hang").touch()
        assert await instance.edit(1) in (503, 504)
        (instance.folder / "hang").unlink()
        await instance.until(instance.leads)
        assert await instance.edit(2) in (200, 409)

    with_instance(work)


def test_an_edit_is_answered_when_the_instance_is_stopped_under_it(with_instance):
    async def work(instance):
        await instance.until(instance.runs)
        sent = asyncio.create_task(instance.edit(0))
        await instance.until(instance.relays)
        instance.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_S):
            assert await sent in (503, 504)
            assert await instance.process.wait() == 0

    with_instance(work, founders=3)
