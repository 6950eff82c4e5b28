"""Streams go on at another replica while the one before still works on them."""

import asyncio
import json
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from engines import ModelReplica, Run  # noqa: E402
from harness import CannotRunError, Record, System, main  # noqa: E402
from standins import AppReplica, Consumer, PlatformList, table  # noqa: E402

# Streams of the consumers of one zone, and time between their starts in seconds.
STREAMS = 15
STREAM_EVERY_S = 0.3
# Prompt tokens and most tokens out; the consumer's guess of the latter.
USAGE, GUESS = "1460,2224", 300
# Events that come out, of four tokens each: more than the guess in trouble, as guessed else.
LONG_EVENTS, AS_GUESSED_EVENTS = (300, 480), (60, 75)
# The rule's time after which the replica before must have stopped, in seconds.
STILL_AT_WORK_S = 0.4
SEED = 1


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


async def serve(system: System, consumer: Consumer, events: tuple[int, int]) -> list[str]:
    """Send the streams; return how each ended."""
    pick = random.Random(SEED)

    async def one(number: int, length: int) -> str:
        data = json.dumps({"events": length}).encode()
        end, _ = await consumer.call(
            system.entries[0], "/chat/1", f"stream-{number:02d}", 39000, USAGE, GUESS, data
        )
        return end

    tasks = []
    for number in range(STREAMS):
        tasks.append(asyncio.ensure_future(one(number, pick.randint(*events))))
        await asyncio.sleep(STREAM_EVERY_S)
    return list(await asyncio.gather(*tasks))


def doubled(models: list[ModelReplica]) -> list[str]:
    """Return the continuations during which the replica before was still at work."""
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
            worked_s = at_work(earlier, began + STILL_AT_WORK_S, ended)
            if worked_s > 0.0:
                breaks.append(
                    f"TWICE: {run.request_id} goes on at {replica.id} from {began:.3f} to "
                    f"{ended:.3f}; later than {STILL_AT_WORK_S} s after that begin, {before.id} "
                    f"works on it for {worked_s:.3f} s more"
                )
    return breaks


def at_work(run: Run, since: float, until: float) -> float:
    """Return for how long a replica worked on a run between two times, in seconds."""
    total = 0.0
    ends = [at for at, _ in run.states[1:]] + [until]
    for (began, state), end in zip(run.states, ends, strict=True):
        if state in ("reads", "works"):
            total += max(0.0, min(end, until) - max(began, since))
    return total


if __name__ == "__main__":
    main(FOLDER, play)
