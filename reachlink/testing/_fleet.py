"""Starts and stops the processes of a local fleet, for tests, benchmarks and trials."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp
import msgspec

from reachlink.control import found_cluster
from reachlink.testing._layout import Layout, ProcessPlan
from reachlink.testing._scenario import Scenario

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05

_MODULES = {
    "entry": "reachlink.entry",
    "control": "reachlink.control",
    "engine": "reachlink.testing.engine",
    "service": "reachlink.testing.service",
    "platform": "reachlink.testing.platform",
    "proxy": "reachlink.testing.proxy",
}


class FleetError(Exception):
    """The fleet did not come up."""


class Fleet:
    """A running fleet.

    Parameters
    ----------
    scenario : Scenario
        Sizes and delays.
    folder : pathlib.Path
        Where configuration, logs and data go.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.folder = folder.resolve()
        self.layout = Layout(scenario, self.folder)
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Fleet":
        self._session = aiohttp.ClientSession()
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP client towards the fleet."""
        assert self._session is not None
        return self._session

    async def start(self) -> None:
        """Start every process and give the fleet its first settings."""
        for name in ("config", "logs", "data"):
            (self.folder / name).mkdir(parents=True, exist_ok=True)
        for plan in self.layout.controls:
            config: Any = plan.config
            found_cluster(config, self.scenario.name, self.layout.members())
        for plan in self.layout.processes:
            self.launch(plan.name)
        await self._wait_listening()
        await self._first_settings()
        await self.wait_ready([plan.name for plan in self.layout.entries])

    def plan(self, name: str) -> ProcessPlan:
        """Return the plan of a process."""
        return next(plan for plan in self.layout.processes if plan.name == name)

    def launch(self, name: str) -> None:
        """Start a process of the plan, or start it again."""
        plan = self.plan(name)
        path = self.folder / "config" / f"{name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(plan.config), indent=2))
        module = _MODULES[plan.module]
        daemon = plan.module in ("entry", "control")
        where = [str(path)] if daemon else ["--config", str(path)]
        with (self.folder / "logs" / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *where, *plan.arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._running[name].pid

    def alive(self, name: str) -> bool:
        """Return whether a process runs."""
        return name in self._running and self._running[name].poll() is None

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        os.kill(self.pid(name), number)

    async def kill(self, name: str) -> None:
        """End a process at once."""
        self.signal(name, signal.SIGKILL)
        await self.exit_code(name, STOP_TIMEOUT_S)

    async def exit_code(self, name: str, timeout_s: float) -> int:
        """Wait for a process to end and return its exit code."""
        process = self._running[name]
        async with asyncio.timeout(timeout_s):
            while process.poll() is None:
                await asyncio.sleep(POLL_S)
        return process.returncode

    async def close(self) -> None:
        """End every process."""
        for process in self._running.values():
            if process.poll() is None:
                # A stopped process takes no other signal until it goes on.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._running.values():
            process.wait()
        if self._session is not None:
            await self._session.close()

    async def fault(self, action: str, **fault: object) -> Any:
        """Ask the proxy for a fault: ``cut``, ``heal``, ``delay`` or ``reset``."""
        url = f"http://127.0.0.1:{self.layout.proxy_port}/{action}"
        async with self.session.post(url, json=fault) as response:
            return await response.json()

    async def get(self, name: str, path: str, **options: Any) -> Any:
        """Return the JSON that a process answers at a path."""
        url = f"http://{self.plan(name).address}{path}"
        async with self.session.get(url, **options) as response:
            return await response.json()

    async def post(self, name: str, path: str, body: object) -> Any:
        """Post JSON to a process and return its answer."""
        url = f"http://{self.plan(name).address}{path}"
        async with self.session.post(url, json=body) as response:
            return await response.json()

    def workspace_headers(self, workspace: str) -> dict[str, str]:
        """Return the headers of a caller of a workspace."""
        return {"Authorization": f"Bearer {self.layout.workspace_keys[workspace]}"}

    def operator_headers(self) -> dict[str, str]:
        """Return the headers of the operator."""
        return {"Authorization": f"Bearer {self.layout.operator_key}"}

    async def edit(self, name: str, changes: dict[str, object], **more: object) -> Any:
        """Set values by path through one instance, on top of its newest revision."""
        url = f"http://{self.plan(name).address}/v1/settings"
        headers = self.operator_headers()
        if "base_revision" not in more:
            async with self.session.get(url, headers=headers) as response:
                more["base_revision"] = (await response.json())["revision"]
        listed = [
            {"path": path, "unset": True} if value is None else {"path": path, "value": value}
            for path, value in changes.items()
        ]
        body = {"changes": listed, **more}
        async with self.session.patch(url, json=body, headers=headers) as response:
            return await response.json()

    async def order_zone(
        self, name: str, zone: str, *, out_of_service: bool, reason: str = ""
    ) -> Any:
        """Take an availability zone out of service, or back, through an instance."""
        url = f"http://{self.plan(name).address}/v1/zones/{zone}"
        body = {"out_of_service": out_of_service, "reason": reason}
        async with self.session.post(url, json=body, headers=self.operator_headers()) as response:
            return await response.json()

    async def restore(self) -> None:
        """Undo every fault and start whatever was ended."""
        for plan in self.layout.processes:
            if self.alive(plan.name):
                self.signal(plan.name, signal.SIGCONT)
            else:
                self.launch(plan.name)
        await self._wait_listening()
        for zone in self.scenario.availability_zones:
            await self.fault("heal", availability_zone=zone)
        for plan in self.layout.processes:
            await self.fault("heal", process=plan.name)
            if plan.module in ("engine", "service"):
                await self.post(plan.name, "/faults", {})
        await self.wait_ready([plan.name for plan in self.layout.entries])

    async def wait_ready(self, names: list[str], timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until entry instances say that they serve."""
        for name in names:
            await self.wait_for(lambda name=name: self._is_ready(name), timeout_s, f"{name} ready")

    async def wait_for(self, condition: Any, timeout_s: float, what: str) -> None:
        """Wait until an asynchronous condition holds.

        Raises
        ------
        FleetError
            If it does not in time.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while not await condition():
            if asyncio.get_running_loop().time() > deadline:
                raise FleetError(f"not in time: {what}; logs are in {self.folder / 'logs'}")
            await asyncio.sleep(POLL_S)

    async def _is_ready(self, name: str) -> bool:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            answer = await self.get(name, "/readyz")
            return bool(answer["ready"])
        return False

    async def _wait_listening(self) -> None:
        for plan in self.layout.processes:
            await self.wait_for(
                lambda plan=plan: self._listens(plan), START_TIMEOUT_S, f"{plan.name} listens"
            )

    async def _listens(self, plan: ProcessPlan) -> bool:
        if not self.alive(plan.name):
            raise FleetError(f"{plan.name} ended; see {self.folder / 'logs'}")
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", plan.port)
        except OSError:
            return False
        writer.close()
        return True

    async def _first_settings(self) -> None:
        control = self.layout.controls[0].name

        async def accepted() -> bool:
            answer = await self.edit(control, self.layout.settings(), base_revision=0)
            if answer.get("status") == "invalid":
                raise FleetError(str(answer["problems"]))
            return answer.get("status") in ("accepted", "conflict")

        await self.wait_for(accepted, START_TIMEOUT_S, "first settings")
        await self.wait_for(self._settings_everywhere, START_TIMEOUT_S, "settings everywhere")

    async def _settings_everywhere(self) -> bool:
        for plan in self.layout.entries:
            answer = await self.get(plan.name, "/readyz")
            if not answer["ready"] or answer["revision"] < 1:
                return False
        return True
