"""A planned stop cuts streams whose replica is silent for a moment and goes on."""

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from engines import ModelReplica  # noqa: E402
from harness import BOUNDS, CannotRunError, Program, Record, System, main  # noqa: E402
from standins import (  # noqa: E402
    AppReplica,
    Consumer,
    PlatformList,
    send_as_guessed,
    table,
)

# Time between the starts of two streams, in seconds.
STREAM_EVERY_S = 0.3
# Prompt tokens and most tokens out; the consumers' guess of the latter.
USAGE, GUESS = "1700,2224", 300
# Events that come out of the streams, of four tokens each. The first five end 1.1 s after the
# replica's memory has run out for the first time; two of the others 1.7 s after it has run out
# again, and the last one, the newest, would soon end then.
EVENTS = [215, 211, 207, 203, 199, 503, 497, *[520] * 7, 416]
# So many of the long ones alone fit into its memory to their ends.
FITTING = 8
# When the planned stop begins, in seconds after the first stream was sent.
STOP_AT_S = 23.0
GRACE_S = BOUNDS["grace_s"]


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    system = System(record, lambda: listed.address)
    listed = PlatformList(system.network.ip(100), record)
    consumer = Consumer(system, record)
    zones = ["zone-a", "zone-b", "zone-c"]
    models = [ModelReplica(system.network.ip(111 + n), z, record) for n, z in enumerate(zones)]
    apps = [AppReplica(system.network.ip(121 + n), z, record) for n, z in enumerate(zones)]
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
        await send_as_guessed(consumer, system.entries[1:], USAGE)
        cut = await stop_while_serving(system, consumer, record, trouble)
        passed_on = {run.request_id for one in models for run in [*one.ended, *one.runs.values()]}
        return [line for name, line in cut.items() if name in passed_on]
    finally:
        await consumer.close()
        await system.close()
        for server in servers:
            await server.close()


async def stop_while_serving(
    system: System, consumer: Consumer, record: Record, trouble: bool
) -> dict[str, str]:
    """Serve streams through one daemon, stop it as planned, and return the streams it cut."""
    entry = system.entries[0]
    begun = record.now()
    calls = []
    for number, events in enumerate(EVENTS if trouble else EVENTS[-FITTING:]):
        calls.append(asyncio.ensure_future(watched(consumer, record, entry, number, events)))
        await asyncio.sleep(STREAM_EVERY_S)
    await asyncio.sleep(max(0.0, begun + STOP_AT_S - record.now()))
    entry.signal(signal.SIGTERM)
    stopped = record.now()
    await asyncio.sleep(GRACE_S)
    if entry.running:
        entry.signal(signal.SIGKILL)
    ends = await asyncio.gather(*calls)
    if not any(end == "200 sealed" for end, _ in ends):
        raise CannotRunError("no stream was served")
    # In the last sixth of the grace a replica may still be at work.
    until = stopped + GRACE_S * 5 / 6
    return {
        name(number): f"LOST: {name(number)} was cut at {at:.3f}, {at - stopped:.1f} s after the "
        "SIGTERM"
        for number, (end, at) in enumerate(ends)
        if end == "cut" and stopped < at < until
    }


def name(number: int) -> str:
    """Return the id of a stream."""
    return f"stream-{number:02d}"


async def watched(
    consumer: Consumer, record: Record, entry: Program, number: int, events: int
) -> tuple[str, float]:
    """Send one stream; return how and when it ended."""
    data = json.dumps({"events": events}).encode()
    end, _ = await consumer.call(entry, "/chat/1", name(number), 39000, USAGE, GUESS, data)
    return end, record.now()


if __name__ == "__main__":
    main(FOLDER, play)
