"""Calls whose replicas answer with what cannot be passed on as it is."""

import asyncio

import pytest

from reachlink.control import ClaimCommand, ClaimResult, ClaimStatus, CompleteCommand
from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    OwnInstance,
    Replica,
    chat_body,
    chat_event,
    wait_until,
)
from reachlink.messaging import encode


class Claims:
    """Stands for the control instances; grants every claim."""

    def __init__(self) -> None:
        self.completed: list[CompleteCommand] = []

    async def propose(self, command: object, timeout_s: float) -> ClaimResult | None:
        encode(command)
        if isinstance(command, ClaimCommand):
            return ClaimResult(ClaimStatus.GRANTED)
        assert isinstance(command, CompleteCommand)
        self.completed.append(command)
        return None


def answering(raw: bytes) -> Replica:
    async def serve(request, writer):
        writer.write(raw)

    return Replica(serve)


@pytest.mark.parametrize("content_type", [b"a\x01b", b"\xff", b"text/\xc2\x85"])
def test_a_content_type_that_cannot_be_sent_is_not_the_end_of_the_callers_connection(content_type):
    raw = b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nContent-Length: 2\r\n\r\n{}" % content_type

    async def story():
        async with OwnInstance(answering(raw)) as instance:
            claims = instance.node.control = Claims()
            caller = await instance.connect()
            caller.send(
                "/readings/x", headers=b"Idempotency-Key: k\r\nReachlink-Repeatable: no\r\n"
            )
            answer = await caller.answer()
            await wait_until(lambda: bool(claims.completed))
            return answer, claims.completed[0].answer

    answer, stored = asyncio.run(story())
    assert (answer.status, answer.body) == (200, b"{}")
    assert answer.headers["Content-Type"] == "application/octet-stream"
    assert stored.content_type == "application/octet-stream"


@pytest.mark.parametrize("status", [b"101 Switching Protocols", b"042 None"])
def test_a_status_that_ends_no_answer_is_not_passed_on_as_one(status):
    async def serve(request, writer):
        writer.write(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
        await writer.drain()
        writer.close()

    async def story():
        async with OwnInstance(Replica(serve)) as instance:
            caller = await instance.connect()
            caller.send("/readings/x", headers=b"Reachlink-Repeatable: no\r\n")
            return await caller.answer()

    answer = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (502, "unknown")


DEEP = b"[" * 50_000


@pytest.mark.parametrize("body", [b"no json", b"{}", DEEP], ids=["text", "empty", "deep"])
def test_an_unreadable_answer_about_a_generation_is_not_a_failure_of_the_instance(body):
    async def serve(request, writer):
        writer.close()

    known = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    async def story():
        async with OwnInstance(Replica(serve, known)) as instance:
            caller = await instance.connect()
            headers = b"Reachlink-Repeatable: no\r\n"
            caller.send("/v1/chat/completions", chat_body(), headers)
            return await caller.answer()

    answer = asyncio.run(story())
    assert (answer.status, answer.error()["code"]) == (502, "upstream_broken")


@pytest.mark.parametrize(
    ("field", "told"),
    [(b"X-Fleet-Not-Run: 1\r\n", (503, "not_run")), (b"", (502, "unknown"))],
    ids=["confirmed", "unconfirmed"],
)
def test_an_unreadable_refusal_is_not_a_failure_of_the_instance(field, told):
    body = b'{"error": {"details": ' + DEEP
    head = b"HTTP/1.1 503 Busy\r\n%bContent-Length: %d\r\n\r\n" % (field, len(body))

    async def story():
        async with OwnInstance(answering(head + body)) as instance:
            caller = await instance.connect()
            caller.send("/readings/x")
            return await caller.answer()

    answer = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == told


def test_an_event_without_text_is_not_a_failure_of_the_instance():
    async def serve(request, writer):
        event = chat_event(request.headers["X-Request-Id"], 0, final=True)
        writer.write(ENGINE_HEAD + event.replace(b'"x"', b"5") + b"data: [DONE]\n\n")
        await writer.drain()
        writer.close()

    async def story():
        async with OwnInstance(Replica(serve)) as instance:
            caller = await instance.connect()
            caller.send("/v1/chat/completions", chat_body())
            return await caller.answer()

    answer = asyncio.run(story())
    told = answer.error()
    assert (answer.status, told["code"], told["outcome"]) == (502, "upstream_broken", "ran")


def test_a_call_whose_answer_ends_with_its_connection_is_delivered_whole():
    async def serve(request, writer):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"done": true}')
        await writer.drain()
        writer.close()

    async def story():
        async with OwnInstance(Replica(serve)) as instance:
            caller = await instance.connect()
            caller.send("/readings/x", headers=b"Reachlink-Repeatable: no\r\n")
            return await caller.answer()

    answer = asyncio.run(story())
    assert (answer.status, answer.body) == (200, b'{"done": true}')


@pytest.mark.parametrize("cut", [False, True], ids=["whole", "inside an event"])
def test_a_generation_that_ends_with_its_connection_is_whole_only_after_its_last_event(cut):
    async def serve(request, writer):
        request_id = request.headers["X-Request-Id"]
        events = chat_event(request_id, 0) + chat_event(request_id, 1, final=True)
        writer.write(ENGINE_HEAD + (events[:-1] if cut else events + b"data: [DONE]\n\n"))
        await writer.drain()
        writer.close()

    async def story():
        async with OwnInstance(Replica(serve)) as instance:
            caller = await instance.connect()
            headers = b"Reachlink-Repeatable: no\r\n"
            caller.send("/v1/chat/completions", chat_body(), headers)
            return await caller.answer()

    assert asyncio.run(story()).status == (502 if cut else 200)
