"""Load tool: sends a workload at its set times and records what callers see."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import uvloop

from reachlink.kernel import load_config
from reachlink.testing._measures import AnswerRecord, Targets
from reachlink.testing._workload import Arrival

PATIENCE_S = 60.0


class LoadPlan(msgspec.Struct, kw_only=True):
    """What one load process does.

    ``start_at`` is a reading of the machine's monotonic clock.
    """

    addresses: list[str]
    keys: dict[str, str]
    model: str
    max_tokens: int = 1024
    arrivals: list[Arrival]
    start_at: float
    targets: Targets
    output: str


class LoadProcess:
    """Sends the arrivals of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._records: list[AnswerRecord] = []

    async def run(self) -> list[AnswerRecord]:
        """Send everything and return what came of it, with the processor time used."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            tasks = []
            for arrival in self._plan.arrivals:
                due = self._plan.start_at + arrival.due_s
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                tasks.append(asyncio.ensure_future(self._one(session, arrival, due)))
            await asyncio.gather(*tasks)
        return self._records

    async def _one(self, session: aiohttp.ClientSession, arrival: Arrival, due: float) -> None:
        record = AnswerRecord(index=arrival.index, workspace=arrival.workspace, due_s=arrival.due_s)
        self._records.append(record)
        address = self._plan.addresses[arrival.index % len(self._plan.addresses)]
        record.late_send_s = time.monotonic() - due
        try:
            async with session.post(
                f"http://{address}/v1/chat/completions",
                json=self._body(arrival),
                headers={"Authorization": f"Bearer {self._plan.keys[arrival.workspace]}"},
            ) as response:
                record.status = response.status
                if response.status != 200:
                    await self._refused(record, response, due)
                else:
                    await self._read(record, response, due)
        except (aiohttp.ClientError, OSError, TimeoutError):
            record.outcome = "broken"
        record.end_s = time.monotonic() - due

    def _body(self, arrival: Arrival) -> dict[str, Any]:
        return {
            "model": self._plan.model,
            "stream": True,
            "seed": arrival.seed,
            "max_tokens": self._plan.max_tokens,
            "messages": [{"role": "user", "content": arrival.prompt}],
        }

    async def _refused(
        self, record: AnswerRecord, response: aiohttp.ClientResponse, due: float
    ) -> None:
        error = msgspec.json.decode(await response.read())["error"]
        record.outcome = error.get("outcome", "")
        record.retry_after_s = error.get("retry_after")
        record.refused_after_s = time.monotonic() - due

    async def _read(
        self, record: AnswerRecord, response: aiohttp.ClientResponse, due: float
    ) -> None:
        targets = self._plan.targets
        last = due
        rest = b""
        while piece := await response.content.readany():
            now = time.monotonic()
            data = rest + piece
            count = data.count(b"\n\n")
            rest = data[data.rfind(b"\n\n") + 2 :] if count else data
            if b"event: error" in data:
                record.outcome = "error"
                return
            if b"data: [DONE]" in data:
                record.done = True
            if record.first_token_s is None:
                record.first_token_s = now - due
                record.stall_s += max(0.0, now - due - targets.first_token_s)
            else:
                record.gaps_ms.append(round(1000 * (now - last), 2))
                record.stall_s += max(0.0, now - last - targets.gap_s)
            record.tokens += count
            last = now
        # The final event and the end mark are no tokens.
        record.tokens = max(0, record.tokens - 2) if record.done else record.tokens


def main() -> None:
    """Carry out the plan in the file that ``--config`` names."""
    plan = load_config(Path(sys.argv[sys.argv.index("--config") + 1]), LoadPlan)
    records = uvloop.run(LoadProcess(plan).run())
    used = time.process_time()
    Path(plan.output).write_bytes(msgspec.json.encode({"cpu_s": used, "records": records}))


if __name__ == "__main__":
    main()
