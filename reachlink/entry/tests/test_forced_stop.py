"""A second signal waits for what still runs, with all that it needs, and says what it cuts."""

import asyncio
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from reachlink.entry import _forced_stop
from reachlink.entry._caller_connections import CallerConnections
from reachlink.entry._forced_stop import FORCED_PATIENCE_S, NAMING_S, forced_patience_s
from reachlink.entry._planned_stop import PlannedStop
from reachlink.entry._relay_daemon import RelayDaemon
from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    EventLog,
    OwnInstance,
    Replica,
    chat_body,
    chat_event,
    wait_until,
)
from reachlink.kernel import _lifecycle, steady_time

CHAT = "/v1/chat/completions"
SHORT_S = 0.3
MANY = 40


class _Protocol:
    transport = None


class _Request(dict[str, str]):
    path = "/x"
    protocol = _Protocol()
    writer = SimpleNamespace(output_size=0)


class Gate:
    """A service whose answers wait until they are released."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.replica = Replica(self._serve)

    async def _serve(self, request, writer):
        if request.path != CHAT:
            await self.released.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        request_id = request.headers["X-Request-Id"]
        writer.write(ENGINE_HEAD + chat_event(request_id, 0))
        await self.released.wait()
        writer.write(chat_event(request_id, 1, final=True))
        writer.close()


async def forced(instance: OwnInstance) -> "asyncio.Task[None]":
    """Begin a planned stop and force it, as two signals do."""
    draining = asyncio.create_task(instance.daemon.drain())
    await wait_until(lambda: instance.node.draining)
    draining.cancel()
    return asyncio.create_task(instance.daemon.stop())


@pytest.mark.parametrize("path", ["/readings/x", CHAT])
def test_a_forced_stop_does_not_end_background_work_under_requests_that_still_run(path):
    async def story():
        gate = Gate()
        async with OwnInstance(gate.replica) as instance:
            caller = await instance.connect()
            caller.send(path, chat_body(stream=True))
            await wait_until(lambda: bool(gate.replica.requests))
            stopping = await forced(instance)
            await asyncio.wait({stopping}, timeout=SHORT_S)
            ended = [task for task in instance.daemon._tasks if task.done()]
            gate.released.set()
            answer = await caller.answer()
            await stopping
            still = [task for task in instance.daemon._tasks if not task.done()]
            return ended, answer, still

    ended, answer, still = asyncio.run(story())
    assert ended == [] and still == []
    assert answer.status == 200


def test_a_forced_stop_does_not_say_that_it_cuts_a_request_which_it_answers():
    async def story():
        gate = Gate()
        async with OwnInstance(gate.replica) as instance:
            caller = await instance.connect()
            caller.send("/readings/x")
            await wait_until(lambda: bool(gate.replica.requests))
            stopping = await forced(instance)
            await asyncio.sleep(0)
            gate.released.set()
            answer = await caller.answer()
            await stopping
            return answer, instance.log

    answer, log = asyncio.run(story())
    assert answer.status == 200
    assert not log.named("requests_cut") and not log.named("request_cut")


def test_a_forced_stop_does_not_cut_requests_without_naming_them(monkeypatch):
    monkeypatch.setattr(_forced_stop, "FORCED_PATIENCE_S", SHORT_S)

    async def story():
        gate = Gate()
        async with OwnInstance(gate.replica) as instance:
            caller = await instance.connect()
            caller.send("/readings/x")
            await wait_until(lambda: bool(gate.replica.requests))
            await (await forced(instance))
            return gate.replica.requests[0], instance.log

    request, log = asyncio.run(story())
    [line] = log.named("request_cut")
    assert line["path"] == "/readings/x"
    assert line["request_id"] == request.headers["X-Request-Id"]
    assert log.named("requests_cut") == [{"count": 1}]


def test_a_forced_stop_that_cuts_many_requests_does_not_log_a_line_for_each(monkeypatch):
    monkeypatch.setattr(_forced_stop, "FORCED_PATIENCE_S", SHORT_S)

    async def story():
        gate = Gate()
        async with OwnInstance(gate.replica) as instance:
            callers = [await instance.connect() for _ in range(MANY)]
            for caller in callers:
                caller.send("/readings/x")
            await wait_until(lambda: instance.daemon._connections.running_count == MANY)
            await (await forced(instance))
            return instance.log

    log = asyncio.run(story())
    assert log.named("requests_cut") == [{"count": MANY}]
    assert 0 < len(log.named("request_cut")) < MANY


def test_a_relaying_instance_does_not_end_background_work_under_requests_that_still_run():
    async def story():
        log, running = EventLog(), asyncio.Event()
        daemon = cast(Any, RelayDaemon.__new__(RelayDaemon))
        connections = CallerConnections(lambda: 60.0)
        connections._log = cast(Any, log)
        background = asyncio.create_task(asyncio.sleep(60.0))
        daemon.__dict__.update(relay_parts(connections, log, background))

        async def handle(request):
            await running.wait()
            return SimpleNamespace()

        request = SimpleNamespace(protocol=_Protocol(), path="/x")
        handling = asyncio.create_task(connections.handle(cast(Any, request), handle))
        await wait_until(lambda: connections.running_count == 1)
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.wait({stopping}, timeout=SHORT_S)
        ended_early = background.done()
        running.set()
        await asyncio.gather(handling, stopping)
        await asyncio.wait({background})
        return ended_early, log

    ended_early, log = asyncio.run(story())
    assert not ended_early
    assert not log.named("requests_cut")


def test_a_relaying_instance_that_stands_still_when_answers_are_due_does_not_cut_them():
    async def story():
        log, answered = EventLog(), asyncio.Event()
        daemon = cast(Any, RelayDaemon.__new__(RelayDaemon))
        connections = CallerConnections(lambda: 60.0)
        connections._log = cast(Any, log)
        stop = PlannedStop(steady_time(), SHORT_S)
        daemon.__dict__.update(relay_parts(connections, log, asyncio.create_task(asyncio.sleep(0))))
        daemon._node.planned_stop = stop
        daemon._node.runner = SimpleNamespace(in_progress=[], end_unanswered=answered.set)
        daemon._tasks.append(asyncio.create_task(daemon._end_in_time()))

        async def handle(request):
            await answered.wait()
            return SimpleNamespace()

        handling = asyncio.create_task(connections.handle(cast(Any, _Request()), handle))
        await wait_until(lambda: connections.running_count == 1)
        stopping = asyncio.create_task(daemon.stop())
        await asyncio.sleep(SHORT_S / 2)
        time.sleep(max(0.0, cast(float, stop.answers_due_at) - steady_time()) + 0.01)
        await asyncio.wait({handling}, timeout=SHORT_S)
        handling.cancel()
        await stopping
        return answered.is_set(), log

    was_answered, log = asyncio.run(story())
    assert was_answered
    assert not log.named("requests_cut")


def relay_parts(
    connections: CallerConnections, log: EventLog, background: "asyncio.Task[None]"
) -> dict[str, Any]:
    """Return what a relaying daemon closes when it stops."""

    async def closed() -> None:
        return None

    part = SimpleNamespace(close=lambda: None)
    ending = SimpleNamespace(close=closed, stop_listening=closed)
    node = SimpleNamespace(
        log=log,
        running_requests=1,
        connections=connections,
        readers=part,
        replica_reach=SimpleNamespace(server=part),
        client=ending,
        bus=part,
        metrics=part,
        planned_stop=None,
        runner=SimpleNamespace(in_progress=[], end_unanswered=lambda: None),
    )
    return {
        "_node": node,
        "_tasks": [background],
        "_border": ending,
        "_runners": [],
        "_platform": ending,
    }


def test_a_second_signal_does_not_leave_a_drain_running_beside_the_stop():
    async def story():
        begun, order = asyncio.Event(), []

        async def drain() -> None:
            begun.set()
            try:
                await asyncio.sleep(60.0)
            finally:
                await asyncio.sleep(0.0)
                order.append("drain ended")

        interrupt = asyncio.create_task(begun.wait())
        is_forced = await _lifecycle._first_done(drain(), interrupt)
        order.append("stop")
        return is_forced, order

    assert asyncio.run(story()) == (True, ["drain ended", "stop"])


def test_a_forced_stop_does_not_wait_beyond_the_end_of_the_planned_one():
    stop = PlannedStop(100.0, 8.0)
    assert forced_patience_s(stop, 106.0) == 108.0 - NAMING_S - 106.0
    assert stop.answers_due_at < 108.0 - NAMING_S
    assert forced_patience_s(stop, 108.0) == 0.0
    assert forced_patience_s(PlannedStop(100.0, 900.0), 106.0) == FORCED_PATIENCE_S
    assert forced_patience_s(PlannedStop(100.0), 106.0) == FORCED_PATIENCE_S
    assert forced_patience_s(None, 106.0) == FORCED_PATIENCE_S
