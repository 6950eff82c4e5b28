"""Calls that may run once, beside replicas that fail in every phase and instances that stand still.

Not one of the cases. From a built checkout: ``PYTHONPATH=target/deps python3
review/tried/calls_once.py --seed 1``. Ends with 1 where a call ran twice, or where its caller was
told that it has not run although it has.
"""

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

from aiohttp import web

FOLDER = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(FOLDER))

from harness import NOT_EXECUTED, REQUEST_ID, CannotRunError, Record, System, main  # noqa: E402
from standins import AppReplica, Consumer, PlatformList, table  # noqa: E402

_parser = argparse.ArgumentParser()
_parser.add_argument("--seed", type=int, default=1)
_parser.add_argument("--seconds", type=float, default=30.0)
OPTIONS = _parser.parse_args()
CALL_EVERY_S = 0.01
# What a replica does with a call, and how often.
PHASES = {
    "runs": 12, "closes unread": 1, "closes read": 1, "runs and closes": 1, "half an answer": 1,
    "not executed": 2, "runs late": 1, "another's answer": 1,
}  # fmt: skip
# Statuses that promise that a call has not run and never will.
PROMISES = {"429", "503", "408", "421"}


class FailingReplica(AppReplica):
    """A plain replica that fails in a random phase of a call."""

    def __init__(self, *words, random: Random, ran: Counter) -> None:  # type: ignore[no-untyped-def, type-arg]
        super().__init__(*words)
        self.random = random
        self.ran = ran

    async def start(self) -> None:
        """Listen, at the port of before if there is one."""
        if not self.address:
            await super().start()
            return
        server = web.Server(self.handle, handler_cancellation=False, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a call, or fail it."""
        name = request.headers[REQUEST_ID]
        (phase,) = self.random.choices(list(PHASES), list(PHASES.values()))
        assert request.transport is not None
        if phase == "closes unread":
            request.transport.abort()
            return web.Response()
        body = await request.read()
        if phase == "closes read":
            request.transport.abort()
            return web.Response()
        if phase == "not executed":
            return web.Response(status=503, headers={NOT_EXECUTED: "1", REQUEST_ID: name})
        self.ran[name] += 1
        self.record.add("replica", self.id, phase, name)
        await asyncio.sleep(1.2 if phase == "runs late" else 0.02)
        if phase == "runs and closes":
            request.transport.abort()
        fields = self.fields(request)
        if phase == "another's answer":
            fields[REQUEST_ID] = "another"
        if phase == "half an answer":
            response = web.StreamResponse(headers={**fields, "Content-Length": "100"})
            await response.prepare(request)
            await response.write(b"half")
            request.transport.abort()
            return response
        return web.Response(body=b"done " + body, headers=fields)


async def stand_still(system: System, random: Random) -> None:
    """Stop one entry instance after the other for a moment."""
    while True:
        await asyncio.sleep(random.uniform(0.3, 0.8))
        entry = random.choice(system.entries)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0.05, 0.7))
        entry.signal(signal.SIGCONT)


async def restart(replicas: list[FailingReplica], random: Random) -> None:
    """End one replica after the other, and start it at the same address within a second."""
    while True:
        await asyncio.sleep(random.uniform(1.0, 2.0))
        replica = random.choice(replicas)
        await replica.close()
        await asyncio.sleep(random.uniform(0.0, 0.8))
        await replica.start()


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the calls; return how the rule was broken."""
    random, ran = Random(OPTIONS.seed), Counter[str]()
    system = System(record, lambda: listed.address)
    listed = PlatformList(system.network.ip(100), record)
    consumer = Consumer(system, record)
    zones = ["zone-a", "zone-b", "zone-c"]
    apps = [
        FailingReplica(system.network.ip(121 + n), zone, record, random=random, ran=ran)
        for n, zone in enumerate(zones)
    ]
    ends: dict[str, str] = {}

    async def call(number: int) -> None:
        name = f"call-{number:05d}"
        entry = random.choice(system.entries)
        ends[name], _ = await consumer.call(
            entry, f"/submit/{number}", name, 3000, data=name.encode()
        )

    try:
        for server in (listed, *apps):
            await server.start()
        listed.replicas = [*apps]
        listed.note_change()
        await asyncio.sleep(listed.LAG_S + 0.1)
        await system.start(table())
        troubles = [asyncio.create_task(stand_still(system, random))] if trouble else []
        troubles.append(asyncio.create_task(restart(apps, random)))
        calls = []
        for number in range(round(OPTIONS.seconds / CALL_EVERY_S)):
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(CALL_EVERY_S)
        for task in troubles:
            task.cancel()
        for entry in system.entries:
            entry.signal(signal.SIGCONT)
        await asyncio.gather(*calls)
        await asyncio.sleep(2.0)
        for end, count in Counter(ends.values()).most_common():
            record.add("calls that ended", end + ":", count)
        if not any(end == "200 sealed" for end in ends.values()):
            raise CannotRunError("no call was served")
        twice = [f"TWICE: {name} ran {count} times" for name, count in ran.items() if count > 1]
        denied = [
            f"REFUSED: {name} ran and got {end}"
            for name, end in ends.items()
            if ran[name] and end.split()[0] in PROMISES
        ]
        return [*twice, *denied]
    finally:
        await consumer.close()
        await system.close()
        for server in (listed, *apps):
            await server.close()


if __name__ == "__main__":
    main(Path(tempfile.mkdtemp(prefix="calls-once-")), play)
