"""An order about a zone that a frozen control daemon kept undoes a newer one."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import CannotRunError, Program, Record, System, main  # noqa: E402
from standins import AppReplica, Consumer, PlatformList, table  # noqa: E402

ZONE = "zone-b"
START, END = f"/reachlink/Evacuation.Start/{ZONE}", f"/reachlink/Evacuation.End/{ZONE}"
# Figures of the deployments whose operators evacuate zones.
BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 6,
    "drain_ms": 4000,
    "config_apply_ms": 2500,
    "max_skew_ms": 6000,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 15,
    "pass_ms": 200,
    "again_s": 4.6,
}
# For how long one control daemon stands still, in seconds; the sheet's day has 7.3 s.
FREEZE_S = 7.0
# When the operator ends the evacuation, and orders it again, after the freeze has begun.
END_AFTER_S, AGAIN_AFTER_S = 0.5, 4.5
# Pause before the operator turns to another daemon, in seconds.
PAUSE_S = 0.2
# Time between two requests of consumers, in seconds, and how long they go on at the end.
REQUEST_EVERY_S = 0.1
WATCH_S = 20.0


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    system = System(record, lambda: listed.address)
    system.bounds.update(BOUNDS)
    system.contracts += ["health", "pool", "places"]
    listed = PlatformList(system.network.ip(100), record)
    consumer = Consumer(system, record)
    zones = ["zone-a", "zone-b", "zone-c"]
    apps = [AppReplica(system.network.ip(121 + n), zone, record) for n, zone in enumerate(zones)]
    emptied = apps[zones.index(ZONE)]
    try:
        for server in [listed, *apps]:
            await server.start()
        listed.replicas = list(apps)
        listed.note_change()
        await asyncio.sleep(listed.LAG_S + 0.1)
        await system.start(table())
        await asyncio.sleep(2.0)
        traffic = asyncio.ensure_future(send(system, consumer))
        await asyncio.sleep(2.0)
        if not emptied.arrivals:
            raise CannotRunError("the zone served nothing before")
        acked_at, calm_at = await give_orders(system, record, trouble)
        await asyncio.sleep(WATCH_S)
        traffic.cancel()
        return late_arrivals(record, emptied, acked_at, calm_at)
    finally:
        await consumer.close()
        await system.close()
        for server in [listed, *apps]:
            await server.close()


async def send(system: System, consumer: Consumer) -> None:
    """Send requests to all entry daemons, until cancelled."""
    calls: set[asyncio.Future[tuple[str, bytes]]] = set()
    number = 0
    while True:
        entry = system.entries[number % len(system.entries)]
        call = asyncio.ensure_future(consumer.call(entry, "/submit/1", f"request-{number:04d}"))
        calls.add(call)
        call.add_done_callback(calls.discard)
        number += 1
        await asyncio.sleep(REQUEST_EVERY_S)


async def give_orders(system: System, record: Record, trouble: bool) -> tuple[float, float]:
    """Evacuate the zone, take it back, and evacuate it again.

    Returns
    -------
    tuple of float
        When the last order was acknowledged, and when the core is calm again.
    """
    frozen, *others = system.controls
    await order(record, system, START, others)
    await asyncio.sleep(3.0)
    began = record.now()
    if trouble:
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(END_AFTER_S)
    # The operator chooses the daemon that stands still first.
    await order(record, system, END, [frozen, *others])
    await asyncio.sleep(max(0.0, began + AGAIN_AFTER_S - record.now()))
    acked_at = await order(record, system, START, others)
    await asyncio.sleep(max(0.0, began + FREEZE_S - record.now()))
    if trouble:
        frozen.signal(signal.SIGCONT)
    return acked_at, record.now() + BOUNDS["contact_ms"] / 1000.0


async def order(record: Record, system: System, path: str, daemons: list[Program]) -> float:
    """Give an order to one daemon after the other; return when it was acknowledged."""
    ends = record.now() + BOUNDS["ack_ms"] / 1000.0
    while record.now() < ends:
        for daemon in daemons:
            if await system.operate("POST", daemon, path) == 200:
                return record.now()
            await asyncio.sleep(PAUSE_S)
    raise CannotRunError(f"{path} was not acknowledged")


def late_arrivals(
    record: Record, emptied: AppReplica, acked_at: float, calm_at: float
) -> list[str]:
    """Return the requests that reached the zone after all bounds of the rule."""
    bound_s = (BOUNDS["evacuate_ms"] + BOUNDS["max_skew_ms"]) / 1000.0
    # Machines are in touch a contact time after the core has become calm.
    since = max(acked_at + bound_s, calm_at + BOUNDS["contact_ms"] / 1000.0)
    late = [(at, one) for at, one in emptied.arrivals if at > since]
    record.add("the last order was acknowledged at", f"{acked_at:.3f}")
    record.add("bound with all that stretches it:", f"{since:.3f}", "later:", len(late))
    return [
        f"EVAC: {one} reached {emptied.id} at {at:.3f}, {at - acked_at:.1f} s after the ack"
        for at, one in late
    ]


if __name__ == "__main__":
    main(FOLDER, play)
