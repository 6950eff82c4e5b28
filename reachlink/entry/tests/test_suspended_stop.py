"""A machine that is suspended within a planned stop does not miss the time of the final answers."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from reachlink.entry import _final_answers, _relay_daemon
from reachlink.entry._planned_stop import PlannedStop
from reachlink.entry._relay_daemon import RelayDaemon
from reachlink.entry.tests.own_instance import EventLog, OwnInstance, Replica, wait_until
from reachlink.entry.tests.test_end_of_planned_stop import CALL, serve_one_token
from reachlink.kernel import steady_time

GRACE_S = 60.0
PATIENCE_S = 2.0


class SuspendedClock:
    """Clock that goes on while the timers of the event loop stand still."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return steady_time() + self.suspended_s


def test_a_relaying_instance_does_not_end_its_requests_later_by_a_suspension(monkeypatch):
    clock = SuspendedClock()
    monkeypatch.setattr(_relay_daemon, "steady_time", clock)

    async def story() -> bool:
        ended = asyncio.Event()
        daemon = cast(Any, RelayDaemon.__new__(RelayDaemon))
        daemon._node = SimpleNamespace(
            log=EventLog(),
            planned_stop=PlannedStop(clock(), GRACE_S),
            runner=SimpleNamespace(in_progress=[], end_unanswered=ended.set),
        )
        ending = asyncio.create_task(daemon._end_in_time())
        await asyncio.sleep(0)
        clock.suspended_s = GRACE_S
        await asyncio.wait({ending}, timeout=PATIENCE_S)
        ending.cancel()
        return ended.is_set()

    assert asyncio.run(story())


def test_an_instance_does_not_break_its_requests_off_later_by_a_suspension(monkeypatch):
    clock = SuspendedClock()
    monkeypatch.setattr(_final_answers, "steady_time", clock)

    async def story() -> int:
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, stop_grace_s=GRACE_S) as instance:
            caller = await instance.connect()
            caller.send(CALL)
            await wait_until(lambda: bool(replica.requests))
            draining = asyncio.create_task(instance.daemon.drain())
            await wait_until(lambda: instance.node.draining)
            clock.suspended_s = GRACE_S
            instance.node.on_resumed(GRACE_S)
            try:
                return (await asyncio.wait_for(caller.answer(), PATIENCE_S)).status
            except TimeoutError:
                return 0
            finally:
                draining.cancel()
                replica.requests.clear()

    assert asyncio.run(story()) == 504
