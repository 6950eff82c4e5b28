"""Streams go on at another replica while the one before still works on them."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from engines import READS, WORKS, ModelReplica, Run  # noqa: E402
from harness import CannotRunError, Record, System, main  # noqa: E402
from standins import (  # noqa: E402
    AppReplica,
    Consumer,
    PlatformList,
    send_as_guessed,
    table,
)

# Time between the starts of two streams of the consumers of one zone, in seconds.
STREAM_EVERY_S = 0.3
# Prompt tokens and most tokens out; the consumers' guess of the latter.
USAGE, GUESS = "1460,2224", 300
# Events that come out of the streams, of four tokens each: more than the guess in trouble, as
# guessed else. The first two end 1.65 s after the replica's memory has run out.
LONG_EVENTS, AS_GUESSED_EVENTS = [286, 280, *[420] * 13], [75] * 15
# The rule's time after which the replica before must have stopped, in seconds.
STILL_AT_WORK_S = 0.4


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    system = System(record, lambda: listed.address)
    listed = PlatformList(system.network.ip(100), record)
    consumer = Consumer(system, record)
    zones = ["zone-a", "zone-b", "zone-c"]
    models = [
        # Most replicas drop a request once its channel closes; the first one does not.
        ModelReplica(system.network.ip(111 + n), zone, record, drops=n > 0)
        for n, zone in enumerate(zones)
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
        await send_as_guessed(consumer, system.entries[1:], USAGE)
        ends = await serve(system, consumer, LONG_EVENTS if trouble else AS_GUESSED_EVENTS)
        served = sum(end == "200 sealed" for end in ends)
        record.add("streams complete:", served, "of", len(ends))
        record.add("orders to stop a run at the first replica:", models[0].stops_ordered)
        if not served:
            raise CannotRunError("no stream was served")
        return doubled(models)
    finally:
        await consumer.close()
        await system.close()
        for server in servers:
            await server.close()


async def serve(system: System, consumer: Consumer, lengths: list[int]) -> list[str]:
    """Send the streams; return how each ended."""
    tasks = []
    for number, length in enumerate(lengths):
        data = json.dumps({"events": length}).encode()
        name = f"stream-{number:02d}"
        call = consumer.call(system.entries[0], "/chat/1", name, 39000, USAGE, GUESS, data)
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(STREAM_EVERY_S)
    return [end for end, _ in await asyncio.gather(*tasks)]


def doubled(models: list[ModelReplica]) -> list[str]:
    """Return the continuations 0.4 s after whose begin the replica before is still at work."""
    breaks: list[str] = []
    runs = [(one, run) for one in models for run in [*one.ended, *one.runs.values()]]
    for replica, run in runs:
        if not run.continues:
            continue
        began, ended = run.states[0][0], run.states[-1][0]
        for before, earlier in runs:
            if earlier is run or earlier.request_id != run.request_id:
                continue
            if earlier.states[0][0] >= began:
                continue
            later = began + STILL_AT_WORK_S
            if later < ended and state_at(earlier, later) in (READS, WORKS):
                breaks.append(
                    f"TWICE: {run.request_id} goes on at {replica.id} from {began:.3f} to "
                    f"{ended:.3f}; {STILL_AT_WORK_S} s after that begin {before.id} is at work on "
                    f"it ({state_at(earlier, later)}), until {replica.id} ends for "
                    f"{at_work(earlier, later, ended):.3f} s"
                )
    return breaks


def state_at(run: Run, time: float) -> str:
    """Return the state of a run at a time."""
    return [state for at, state in run.states if at <= time][-1]


def at_work(run: Run, since: float, until: float) -> float:
    """Return for how long a replica worked on a run between two times, in seconds."""
    total = 0.0
    ends = [at for at, _ in run.states[1:]] + [until]
    for (began, state), end in zip(run.states, ends, strict=True):
        if state in (READS, WORKS):
            total += max(0.0, min(end, until) - max(began, since))
    return total


if __name__ == "__main__":
    main(FOLDER, play)
