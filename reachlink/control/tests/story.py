"""What a scenario about operators' settings does and has done so far."""

import asyncio
import contextlib

import aiohttp
import msgspec

from reachlink.control import AuditRecord
from reachlink.testing import Fleet

WAIT_S = 60.0
PATH = "defaults.limits.queue_length"
UNSURE = ("control_unavailable", "outcome_unknown")


class Story:
    """What a scenario has done so far."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.accepted: dict[int, str] = {}
        self.answers: list[dict] = []
        self.started = ""
        self.before = 0
        self.counter = 0

    def entries(self, zone: str = "") -> list[str]:
        return [
            p.name for p in self.fleet.layout.entries if not zone or p.availability_zone == zone
        ]

    async def send(self, where: str, edit_id: str, value: int, base: int) -> dict:
        """Send one edit until its outcome is known, resending under its id."""
        for _ in range(60):
            with contextlib.suppress(aiohttp.ClientError, OSError):
                body = await self.fleet.edit(
                    where, {PATH: value}, base_revision=base, edit_id=edit_id
                )
                if body.get("error", {}).get("code") not in UNSURE:
                    self.answers.append(body)
                    if body.get("status") == "accepted":
                        self.accepted[body["revision"]] = edit_id
                    return body
            await asyncio.sleep(0.2)
        raise AssertionError(f"the outcome of {edit_id} stays unknown")

    async def edit(self, where: str) -> dict:
        """Send a new edit on the newest revision until it is accepted."""
        self.counter += 1
        base = await self.revision(where)
        for attempt in range(60):
            edit_id = f"{id(self)}-{self.counter}-{attempt}"
            body = await self.send(where, edit_id, self.counter, base)
            if body["status"] == "accepted":
                return body
            base = body["revision"]
        raise AssertionError("the edit was never accepted")

    async def revision(self, name: str) -> int:
        headers = self.fleet.operator_headers()
        return (await self.fleet.get(name, "/v1/settings", headers=headers))["revision"]

    async def everywhere(self, revision: int, names: list[str] | None = None) -> None:
        async def reached() -> bool:
            for name in names or self.entries():
                if await self.revision(name) < revision:
                    return False
            return True

        await self.fleet.wait_for(reached, WAIT_S, f"revision {revision} everywhere")

    async def leader(self) -> str:
        found = ""

        async def known() -> bool:
            nonlocal found
            for plan in self.fleet.layout.controls:
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    timeout = aiohttp.ClientTimeout(total=1.0)
                    health = await self.fleet.get(plan.name, "/healthz", timeout=timeout)
                    if health["role"] == "leader":
                        found = plan.name
            return bool(found)

        await self.fleet.wait_for(known, WAIT_S, "a leader")
        return found

    async def audit(self) -> list[AuditRecord]:
        records: list[AuditRecord] = []
        while True:
            since = records[-1].sequence if records else 0
            page = await self.fleet.get(
                "entry-4",
                "/v1/audit",
                params={"since": str(since), "limit": "1000"},
                headers=self.fleet.operator_headers(),
            )
            if not page["records"]:
                return records
            records += msgspec.convert(page["records"], list[AuditRecord])
