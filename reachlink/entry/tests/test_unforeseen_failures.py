"""A failure that no handler knows is answered; a caller has left if its connection is closed."""

import asyncio
from unittest.mock import AsyncMock

import msgspec
import pytest

from reachlink.entry import _sinks
from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    OwnInstance,
    Replica,
    chat_body,
    chat_event,
    serve_tokens,
    wait_until,
)
from reachlink.upstreams import CallResponse

CHAT = "/v1/chat/completions"
# An answer that is longer than what the system holds for a connection.
LONG_EVENTS = 200
EVENT_CHARACTERS = 100_000
FAILURES = [
    KeyError("k"),
    OSError("o"),
    ConnectionResetError("c"),
    TimeoutError("t"),
    asyncio.CancelledError("a"),
]


def failing(error: BaseException):
    def fail(*args: object, **kwargs: object) -> None:
        raise error

    return fail


@pytest.mark.parametrize("error", FAILURES, ids=lambda error: type(error).__name__)
@pytest.mark.parametrize(
    "path, body, step",
    [
        ("/readings/x", b"{}", "on_answer"),
        (CHAT, chat_body(), "admit"),
        (CHAT, chat_body(stream=True), "admit"),
    ],
    ids=["call", "whole", "stream"],
)
def test_a_failure_before_the_answer_begins_is_not_answered_by_a_closed_connection(
    path, body, step, error
):
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            setattr(instance.node.guard, step, failing(error))
            caller = await instance.connect()
            caller.send(path, body)
            answer = await caller.answer()
            assert (answer.status, answer.headers["Content-Type"]) == (500, "application/json")
            told = answer.error()
            assert (told["code"], told["outcome"]) == ("internal_error", "unknown")
            [line] = instance.log.named("request_failed")
            assert line["error"] == type(error).__name__
            assert line["request_id"] == told["request_id"]
            delattr(instance.node.guard, step)
            caller.send(path, body)
            assert (await caller.answer()).status == 200

    asyncio.run(story())


@pytest.mark.parametrize("error", FAILURES, ids=lambda error: type(error).__name__)
def test_a_failure_within_a_stream_is_not_a_cut_answer(error):
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            instance.node.guard.on_answer = failing(error)
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=True))
            answer = await caller.answer()
            return answer, instance.log.named("request_failed")

    answer, failed = asyncio.run(story())
    assert answer.status == 200
    *_, last, rest = answer.body.split(b"\n\n")
    event, data = last.split(b"\n")
    assert (event, rest) == (b"event: error", b"")
    told = msgspec.json.decode(data.removeprefix(b"data: "))["error"]
    assert (told["code"], told["outcome"]) == ("internal_error", "unknown")
    assert [line["error"] for line in failed] == [type(error).__name__]


def test_a_header_field_that_cannot_be_sent_is_not_the_end_of_the_connection():
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            adapter = instance.node.adapter("plain-service")
            answered = CallResponse(200, "a\x01b", b"{}")
            adapter.call = AsyncMock(return_value=answered)
            caller = await instance.connect()
            caller.send("/readings/x")
            answer = await caller.answer()
            return answer, instance.log.named("request_failed")

    answer, failed = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (500, "unknown")
    assert len(failed) == 1


def test_a_caller_that_leaves_is_not_taken_for_a_failure():
    async def story():
        reached = asyncio.Event()

        async def serve_nothing(request, writer):
            reached.set()
            await asyncio.sleep(60.0)

        async with OwnInstance(Replica(serve_nothing)) as instance:
            caller = await instance.connect()
            caller.send("/readings/x")
            await reached.wait()
            caller.close()
            await wait_until(lambda: not instance.node.running_requests)
            return instance.log.named("request_failed"), instance.log.named("caller_left")

    failed, left = asyncio.run(story())
    assert failed == []
    assert [line["draining"] for line in left] == [False]


def test_a_caller_that_takes_nothing_of_a_stream_is_not_closed_without_a_word(monkeypatch):
    monkeypatch.setattr(_sinks, "SLOW_READER_S", 0.2)

    async def serve_long(request, writer):
        writer.write(ENGINE_HEAD)
        for offset in range(LONG_EVENTS):
            text = "x" * EVENT_CHARACTERS
            writer.write(chat_event(request.headers["X-Request-Id"], offset, text=text))
            await writer.drain()

    async def story():
        async with OwnInstance(Replica(serve_long)) as instance:
            caller = await instance.connect(receive_buffer_bytes=4096)
            caller.send(CHAT, chat_body(stream=True))
            await wait_until(lambda: bool(instance.log.named("caller_left")))
            return instance.log.named("caller_left")

    [line] = asyncio.run(story())
    assert line["reason"] == "the caller reads too slowly"
