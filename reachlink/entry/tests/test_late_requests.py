"""What can't end before the process is ended is refused at once, as not run."""

import asyncio

import pytest

from reachlink.entry._plain import CALL_TIMEOUT_S
from reachlink.entry.tests.own_instance import (
    MODEL,
    PLAIN,
    OwnInstance,
    Replica,
    chat_body,
    serve_tokens,
    wait_until,
)
from reachlink.entry.tests.test_end_of_planned_stop import (
    CALL,
    CHAT,
    GRACE_S,
    LONG_WAITS,
    ONCE,
    serve_one_token,
    without_room,
)
from reachlink.entry.tests.test_waiting_requests import waiting_room

LONG_GRACE_S = 2 * CALL_TIMEOUT_S
KINDS = [(CALL, b"{}", b""), (CHAT, chat_body(), b""), (CHAT, chat_body(stream=True), b"")]
KIND_NAMES = ["call", "whole", "stream"]


async def ask_late(instance: OwnInstance, path: str, body: bytes, headers: bytes = b""):
    """Return the answer to a request that comes on an open connection after the SIGTERM."""
    caller = await instance.connect()
    draining = asyncio.create_task(instance.daemon.drain())
    await wait_until(lambda: instance.node.draining)
    caller.send(path, body, headers)
    answer = await caller.answer()
    draining.cancel()
    return answer


@pytest.mark.parametrize("path, body, headers", KINDS, ids=KIND_NAMES)
def test_a_late_request_that_takes_longer_than_the_grace_is_not_begun(path, body, headers):
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, stop_grace_s=GRACE_S) as instance:
            for service in (MODEL, PLAIN):
                instance.node.durations.add(service, 10 * GRACE_S)
            return await ask_late(instance, path, body, headers), replica

    answer, replica = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (503, "not_run")
    assert "Retry-After" in answer.headers
    assert replica.requests == []


@pytest.mark.parametrize("path, body, headers", KINDS, ids=KIND_NAMES)
def test_a_late_request_of_unknown_length_is_not_begun(path, body, headers):
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, stop_grace_s=GRACE_S) as instance:
            return await ask_late(instance, path, body, headers), replica

    answer, replica = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (503, "not_run")
    assert replica.requests == []


@pytest.mark.parametrize("path, body, headers", KINDS, ids=KIND_NAMES)
def test_a_late_request_that_ends_in_time_is_not_refused(path, body, headers):
    async def story():
        async with OwnInstance(Replica(serve_tokens), stop_grace_s=GRACE_S) as instance:
            caller = await instance.connect()
            for _ in range(3):
                caller.send(path, body, headers)
                assert (await caller.answer()).status == 200
            return await ask_late(instance, path, body, headers)

    assert asyncio.run(story()).status == 200


@pytest.mark.parametrize("path, body", [(CALL, b"{}"), (CHAT, chat_body())], ids=["call", "whole"])
@pytest.mark.parametrize("grace_s, status", [(GRACE_S, 503), (0.0, 200)], ids=["short", "unknown"])
def test_a_late_request_that_may_run_once_is_not_begun_on_a_guess(path, body, grace_s, status):
    async def story():
        async with OwnInstance(Replica(serve_tokens), stop_grace_s=grace_s) as instance:
            for service in (MODEL, PLAIN):
                instance.node.durations.add(service, 0.001)
            return await ask_late(instance, path, body, ONCE)

    assert asyncio.run(story()).status == status


def test_a_late_call_that_may_run_once_is_not_refused_where_the_longest_ends_in_time():
    async def story():
        async with OwnInstance(Replica(serve_tokens), stop_grace_s=LONG_GRACE_S) as instance:
            return await ask_late(instance, CALL, b"{}", ONCE)

    assert asyncio.run(story()).status == 200


@pytest.mark.parametrize("grace_s", [GRACE_S, LONG_GRACE_S], ids=["short", "long"])
def test_a_request_that_waits_for_a_place_does_not_wait_on_if_it_cannot_end_in_time(grace_s):
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, settings=LONG_WAITS, stop_grace_s=grace_s) as instance:
            instance.node.durations.add(MODEL, 10.0)
            dispatcher = without_room(instance)
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=True))
            await wait_until(lambda: dispatcher.waiting == 1)
            answering = asyncio.create_task(caller.answer())
            draining = asyncio.create_task(instance.daemon.drain())
            # Half of the short grace: its final answer would come later.
            await asyncio.wait({answering}, timeout=GRACE_S / 2)
            draining.cancel()
            answered = answering.done()
            answer = answering.result() if answered else None
            answering.cancel()
            caller.close()
            return answered, answer, dispatcher.waiting

    answered, answer, waiting = asyncio.run(story())
    assert answered is (grace_s == GRACE_S)
    if answer is not None:
        assert (answer.status, answer.error()["outcome"]) == (503, "not_run")
        assert waiting == 0


def test_a_request_does_not_begin_in_a_place_that_comes_too_late():
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, settings=LONG_WAITS, stop_grace_s=GRACE_S) as instance:
            instance.node.durations.add(MODEL, GRACE_S / 2)
            dispatcher, room = waiting_room(instance)
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=True))
            await wait_until(lambda: dispatcher.waiting == 1)
            draining = asyncio.create_task(instance.daemon.drain())
            await wait_until(lambda: not instance.node.can_end_in(GRACE_S / 2))
            room.free = True
            answer = await caller.answer()
            draining.cancel()
            return answer, replica

    answer, replica = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (503, "not_run")
    assert replica.requests == []
