"""A replica whose task is cancelled ends, whatever arrives at that moment."""

import asyncio

import pytest

from reachlink.agreement import ReplicaService, Storage
from reachlink.agreement.tests.test_full_disk import OWN, Machine, wait_until
from reachlink.kernel import SystemClock

# Turns of the event loop from a wake-up until the replica goes on.
TURNS = 4
END_S = 5.0


@pytest.mark.parametrize("turns", range(TURNS))
def test_a_replica_that_is_cancelled_while_it_is_woken_up_ends(tmp_path, turns):
    async def scenario() -> bool:
        storage = Storage(tmp_path)
        loaded = storage.load()
        loaded.log.snapshot_members = [OWN]
        send = lambda address, payload: None  # noqa: E731
        service = ReplicaService("n1", storage, loaded, Machine(), send, SystemClock())
        running = asyncio.create_task(service.run())
        await wait_until(lambda: service.core.is_leader)
        while not service._wakeup._waiters:
            await asyncio.sleep(0)
        service._wakeup.set()
        for _ in range(turns):
            await asyncio.sleep(0)
        running.cancel()
        done, _ = await asyncio.wait({running}, timeout=END_S)
        running.cancel()
        await asyncio.wait({running})
        storage.close()
        return bool(done)

    assert asyncio.run(scenario())
