"""Whoever has no whole answer when the process is ended is told so before."""

import asyncio
from typing import Any

import msgspec
import pytest

from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    MODEL,
    Answer,
    OwnInstance,
    RawCaller,
    Replica,
    chat_body,
    chat_event,
    wait_until,
)
from reachlink.placement import Decision, Verdict
from reachlink.settings import hash_key

CHAT = "/v1/chat/completions"
CALL = "/readings/x"
GRACE_S = 2.0
LONG_WAITS = {f"services.{MODEL}.limits.queue_wait_s": 60.0}
# More than the buffers of the system hold for a connection within a machine.
LONG_EVENTS, EVENT_CHARACTERS = 200, 100_000
OPERATOR_KEY = b"key-of-an-operator"
OPERATOR = {
    "operators.o1.key_hash": hash_key(OPERATOR_KEY.decode()),
    "operators.o1.role": "operator",
}
ONCE = b"Reachlink-Repeatable: no\r\n"


async def serve_one_token(request, writer):
    """Begin an answer, and never end it."""
    if request.path == CHAT:
        writer.write(ENGINE_HEAD + chat_event(request.headers["X-Request-Id"], 0))
        await writer.drain()
    await asyncio.Event().wait()


class NoRoom:
    """Stands for the placement policy: no replica has room."""

    def choose(self, request, candidates, random) -> Decision:
        return Decision(Verdict.WAIT)


def without_room(instance: OwnInstance):
    dispatcher = instance.node.dispatcher(instance.node.tree.service(MODEL))
    policy: Any = NoRoom()
    dispatcher._policy = policy
    return dispatcher


async def stop_and_kill(instance: OwnInstance) -> bool:
    """Stop an instance as planned, end it with its grace, return whether it was done before."""
    draining = asyncio.create_task(instance.daemon.drain())
    await asyncio.wait({draining}, timeout=GRACE_S)
    was_done = draining.done()
    draining.cancel()
    for protocol in list(instance.daemon._connections._connections):
        if protocol.transport is not None:
            protocol.transport.abort()
    return was_done


async def answer_at_stop(instance: OwnInstance, caller: RawCaller) -> Answer:
    answer, _ = await asyncio.gather(caller.answer(), stop_and_kill(instance))
    return answer


def last_error(answer: Answer) -> dict[str, Any]:
    """Return the error event that ends a stream."""
    *_, last, rest = answer.body.split(b"\n\n")
    event, data = last.split(b"\n")
    assert (event, rest) == (b"event: error", b"")
    error: dict[str, Any] = msgspec.json.decode(data.removeprefix(b"data: "))["error"]
    return error


@pytest.mark.parametrize(
    "path, body, headers",
    [(CALL, b"{}", b""), (CALL, b"{}", ONCE), (CHAT, chat_body(), b"")],
    ids=["call", "once", "whole"],
)
def test_what_a_replica_still_works_on_is_not_cut_without_an_answer(path, body, headers):
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, stop_grace_s=GRACE_S) as instance:
            caller = await instance.connect()
            caller.send(path, body, headers)
            await wait_until(lambda: bool(replica.requests))
            return await answer_at_stop(instance, caller), instance.log

    answer, log = asyncio.run(story())
    error = answer.error()
    assert (answer.status, error["code"]) == (504, "instance_stopping")
    assert error["outcome"] == "unknown"
    [line] = log.named("request_unfinished")
    assert line["request_id"] == error["request_id"]


def test_a_stream_is_not_cut_without_the_word_that_it_goes_on_elsewhere():
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, stop_grace_s=GRACE_S) as instance:
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=True))
            await wait_until(lambda: instance.node.carried._held != {})
            answer = await answer_at_stop(instance, caller)
            await asyncio.wait(instance.node.tasks or {asyncio.create_task(asyncio.sleep(0))})
            return answer, list(instance.node.carried._held), instance.log

    answer, carried, log = asyncio.run(story())
    error = last_error(answer)
    assert (error["code"], error["outcome"]) == ("instance_stopping", "ran")
    assert b"\nid: " in b"\n" + answer.body
    # Its guardian cancels it, after the grace to reconnect.
    assert carried == ["g1"]
    assert not log.named("generation_cancelled") and not log.named("generation_not_cancelled")


def test_a_body_that_is_half_read_is_not_cut_without_an_answer():
    async def story():
        async with OwnInstance(Replica(serve_one_token), stop_grace_s=GRACE_S) as instance:
            caller = await instance.connect()
            caller.send(CALL, b"{", b"Content-Length: 1000\r\n")
            await wait_until(lambda: instance.node.running_requests == 1)
            return await answer_at_stop(instance, caller)

    answer = asyncio.run(story())
    assert answer.status == 503
    assert (answer.error()["code"], answer.error()["outcome"]) == ("instance_stopping", "not_run")
    assert "Retry-After" in answer.headers


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_a_request_that_waits_for_a_place_is_not_cut_without_an_answer(stream):
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, settings=LONG_WAITS, stop_grace_s=GRACE_S) as instance:
            dispatcher = without_room(instance)
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=stream))
            await wait_until(lambda: dispatcher.waiting == 1)
            return await answer_at_stop(instance, caller)

    answer = asyncio.run(story())
    assert answer.status == 503
    assert (answer.error()["code"], answer.error()["outcome"]) == ("instance_stopping", "not_run")


def test_a_planned_stop_does_not_outlast_its_grace():
    async def story():
        replica = Replica(serve_one_token)
        async with OwnInstance(replica, stop_grace_s=GRACE_S) as instance:
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=True))
            await wait_until(lambda: instance.node.carried._held != {})
            return await stop_and_kill(instance)

    assert asyncio.run(story())


def test_a_caller_that_reads_nothing_does_not_make_a_planned_stop_outlast_its_grace():
    async def serve_long(request, writer):
        writer.write(ENGINE_HEAD)
        for offset in range(LONG_EVENTS):
            text = "x" * EVENT_CHARACTERS
            writer.write(chat_event(request.headers["X-Request-Id"], offset, text=text))
            await writer.drain()

    async def story():
        async with OwnInstance(Replica(serve_long), stop_grace_s=GRACE_S) as instance:
            caller = await instance.connect(receive_buffer_bytes=4096)
            caller.send(CHAT, chat_body(stream=True))
            await wait_until(lambda: instance.node.carried._held != {})
            was_done = await stop_and_kill(instance)
            return was_done, instance.log, caller

    was_done, log, _ = asyncio.run(story())
    assert was_done
    assert len(log.named("request_unfinished")) == 1


def test_an_operators_change_that_is_not_decided_is_not_cut_without_an_answer():
    async def undecided(*question):
        await asyncio.Event().wait()

    async def story():
        async with OwnInstance(settings=OPERATOR, stop_grace_s=GRACE_S) as instance:
            instance.node.control.propose = undecided
            caller = await instance.connect()
            order = msgspec.json.encode({"out_of_service": True, "reason": "test"})
            caller.send("/v1/zones/a", order, key=OPERATOR_KEY)
            await wait_until(lambda: instance.node.running_requests == 1)
            return await answer_at_stop(instance, caller)

    answer = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (504, "unknown")


def test_a_planned_stop_without_a_known_end_does_not_break_off_what_runs():
    async def story():
        released, replica = asyncio.Event(), Replica(serve_one_token)

        async def serve(request, writer):
            await released.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        replica.serve = serve
        async with OwnInstance(replica) as instance:
            caller = await instance.connect()
            caller.send(CALL)
            await wait_until(lambda: bool(replica.requests))
            draining = asyncio.create_task(instance.daemon.drain())
            await asyncio.wait({draining}, timeout=GRACE_S)
            released.set()
            answer = await caller.answer()
            await draining
            return answer

    assert asyncio.run(story()).status == 200
