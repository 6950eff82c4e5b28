"""Replicas that send bytes without end, in the head of an answer or in its body."""

import asyncio
import itertools
from functools import partial

import msgspec
import pytest

from reachlink.delivery import Delivery, StallDetector
from reachlink.entry import _answers
from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    OwnInstance,
    Replica,
    chat_body,
    chat_event,
    wait_until,
)
from reachlink.limits import BufferBudget, BufferKind
from reachlink.testing._endless import (
    ENDLESS_BODIES,
    ENDLESS_HEADS,
    PIECE_BYTES,
    SENT_MAX_BYTES,
    EndlessBytes,
    send_endlessly,
)

CHAT = "/v1/chat/completions"
CALL = "/readings/x"
# What may be read of an answer before its connection is closed, with the kernel's buffers.
READ_MAX_BYTES = 24 << 20
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


class EndlessReplica(Replica):
    """Sends without end to the first request, and counts the bytes."""

    def __init__(self, endless: EndlessBytes, head: bytes) -> None:
        super().__init__(self._serve_once)
        self._endless = endless
        self._head = head
        self.sent = 0

    async def _serve_once(self, request, writer):
        writer.write(self._head)
        self.sent += await send_endlessly(self._endless, writer)


def play(endless: EndlessBytes, path: str, body: bytes, head: bytes = b""):
    replica = EndlessReplica(endless, head)

    async def story():
        async with OwnInstance(replica) as instance:
            caller = await instance.connect()
            caller.send(path, body, b"Reachlink-Repeatable: no\r\n")
            answer = await caller.answer()
            await wait_until(lambda: replica.sent > 0)
            return answer

    return asyncio.run(story()), replica


REQUESTS = {
    "call": (CALL, b"{}", b"Content-Type: application/json\r\n\r\n"),
    "whole": (CHAT, chat_body(), b"Content-Type: text/event-stream\r\n\r\n"),
    "stream": (CHAT, chat_body(stream=True), b"Content-Type: text/event-stream\r\n\r\n"),
}


@pytest.mark.parametrize("request_kind", REQUESTS)
@pytest.mark.parametrize("endless", ENDLESS_HEADS)
def test_a_head_without_end_is_given_up_and_told_as_unknown(endless, request_kind):
    path, body, _ = REQUESTS[request_kind]
    answer, replica = play(ENDLESS_HEADS[endless], path, body)
    assert (answer.status, answer.error()["outcome"]) == (502, "unknown")
    assert replica.sent < READ_MAX_BYTES


@pytest.mark.parametrize("request_kind", REQUESTS)
@pytest.mark.parametrize("endless", ENDLESS_BODIES)
def test_a_body_without_end_is_given_up_and_told_as_unknown(endless, request_kind):
    path, body, fields = REQUESTS[request_kind]
    answer, replica = play(ENDLESS_BODIES[endless], path, body, CHUNKED + fields)
    assert (answer.status, answer.error()["outcome"]) == (502, "unknown")
    assert replica.sent < READ_MAX_BYTES


def test_a_body_that_stops_being_one_is_told_at_once():
    """What is no chunk comes after the head was read."""

    async def serve(request, writer):
        writer.write(CHUNKED + b"Content-Type: application/json\r\n\r\n1\r\na\r\n")
        await writer.drain()
        await asyncio.sleep(0.2)
        writer.write(b"no chunk\r\n")
        await writer.drain()
        await asyncio.Event().wait()

    async def story():
        async with OwnInstance(Replica(serve)) as instance:
            caller = await instance.connect()
            caller.send(CALL, b"{}", b"Reachlink-Repeatable: no\r\n")
            # A call may take as long as the test waits for its answer.
            return await caller.answer()

    answer = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (502, "unknown")


# Characters of an answer that tells what went wrong, with the request's id and the field names.
ERROR_MAX_CHARS = 2_000


@pytest.mark.parametrize("request_kind", REQUESTS)
def test_what_a_replica_sent_is_not_repeated_in_the_error_as_a_whole(request_kind):
    path, body, _ = REQUESTS[request_kind]
    answer, _ = play(ENDLESS_HEADS["no_http"], path, body)
    assert answer.status == 502
    assert len(answer.body) <= ERROR_MAX_CHARS


# Events of one write.
EVENTS = 100
EVENT_TEXT = "x" * 500
# Budget of an instance for what it holds, where there is one.
BUDGET_BYTES = 6 << 20


class EndlessEngine(Replica):
    """Sends events of its generation without end, and counts the bytes."""

    def __init__(self) -> None:
        super().__init__(self._serve_events)
        self.sent = 0
        self.closed = False

    async def _serve_events(self, request, writer):
        writer.write(ENGINE_HEAD)
        offsets = itertools.count()
        request_id = request.headers["X-Request-Id"]
        try:
            while self.sent < SENT_MAX_BYTES:
                batch = itertools.islice(offsets, EVENTS)
                piece = b"".join(chat_event(request_id, n, text=EVENT_TEXT) for n in batch)
                writer.write(piece)
                self.sent += len(piece)
                await writer.drain()
                # The other side runs in the same process.
                await asyncio.sleep(0)
        finally:
            self.closed = True


@pytest.mark.parametrize("budget_bytes", [0, BUDGET_BYTES], ids=["no_budget", "budget"])
def test_a_whole_answer_without_end_is_not_kept_without_bound(budget_bytes):
    engine = EndlessEngine()
    held: list[int] = []

    async def story():
        async with OwnInstance(engine) as instance:
            budget = instance.node.held = BufferBudget(budget_bytes)
            budget.on_pressure_change = lambda under_pressure: None
            caller = await instance.connect()
            caller.send(CHAT, chat_body(), b"Reachlink-Repeatable: no\r\n")
            answer = asyncio.create_task(caller.answer())
            while not answer.done():
                held.append(budget.bytes_of(BufferKind.ANSWER))
                await asyncio.sleep(0.001)
            await wait_until(lambda: engine.closed)
            assert budget.total == 0
            return await answer

    answer = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (502, "ran")
    assert engine.sent < READ_MAX_BYTES
    assert max(held) <= budget_bytes // 3
    assert not budget_bytes or max(held) > 0


def test_a_stream_without_end_is_read_no_faster_than_its_caller_reads():
    engine = EndlessEngine()

    async def story() -> None:
        async with OwnInstance(engine) as instance:
            caller = await instance.connect(receive_buffer_bytes=4 << 10)
            caller.send(CHAT, chat_body(stream=True), b"Reachlink-Repeatable: no\r\n")
            # Once the buffers are full nothing more is read.
            sent = -1
            while sent != engine.sent or not sent:
                sent = engine.sent
                await asyncio.sleep(0.3)
            caller.close()
            await wait_until(lambda: engine.closed)

    asyncio.run(story())
    assert engine.sent < READ_MAX_BYTES


def repeated_event(request) -> bytes:
    return chat_event(request.headers["X-Request-Id"], 0)


def foreign_event(request) -> bytes:
    return chat_event("another", 0)


# What an engine repeats without end in place of the next event.
NO_PROGRESS = {
    "repeated_events": repeated_event,
    "foreign_events": foreign_event,
    "comments": lambda request: b": goes on\n\n",
    "empty_lines": lambda request: b"\n",
    "line": lambda request: b"a",
    "lines": lambda request: b"data: a\n",
}


class StuckEngine(Replica):
    """Begins generations, and sends without end what does not go on with them."""

    def __init__(self, repeated, pause_s: float = 0.0) -> None:
        super().__init__(self._serve_stuck, serve_rest=self._serve_stuck)
        self._repeated = repeated
        self._pause_s = pause_s
        self._request = None
        self.sent = 0

    async def _serve_stuck(self, request, writer):
        self._request = self._request or request
        request_id = self._request.headers["X-Request-Id"]
        writer.write(ENGINE_HEAD + chat_event(request_id, 0))
        one = self._repeated(self._request)
        piece = one if self._pause_s else one * (PIECE_BYTES // len(one))
        while self.sent < SENT_MAX_BYTES:
            writer.write(piece)
            self.sent += len(piece)
            await writer.drain()
            await asyncio.sleep(self._pause_s)


async def ask_engine(engine: Replica, stream: bool):
    async with OwnInstance(engine) as instance:
        caller = await instance.connect()
        caller.send(CHAT, chat_body(stream=stream), b"Reachlink-Repeatable: no\r\n")
        return await caller.answer()


def told(answer, stream: bool) -> dict:
    """Return the error of an answer whose stream may have begun."""
    if not stream:
        assert answer.status == 502
        return answer.error()
    assert b"event: error\ndata: " in answer.body
    data = answer.body.rpartition(b"event: error\ndata: ")[2]
    return msgspec.json.decode(data)["error"]


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
@pytest.mark.parametrize("repeated", NO_PROGRESS)
def test_an_engine_that_sends_without_going_on_is_given_up_by_its_bytes(
    monkeypatch, repeated, stream
):
    monkeypatch.setattr(_answers, "RESUME_PAUSE_S", 0.01)
    engine = StuckEngine(NO_PROGRESS[repeated])
    answer = asyncio.run(ask_engine(engine, stream))
    assert told(answer, stream)["outcome"] == "ran"
    assert engine.sent < READ_MAX_BYTES


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
@pytest.mark.parametrize("repeated", ["repeated_events", "foreign_events", "comments"])
def test_an_engine_that_sends_slowly_without_going_on_is_given_up_in_time(
    monkeypatch, repeated, stream
):
    detector = partial(StallDetector, first_token_s=0.05, floor_s=0.05, ceiling_s=0.05)
    monkeypatch.setattr(_answers, "StallDetector", detector)
    monkeypatch.setattr(_answers, "RESUME_PAUSE_S", 0.01)
    monkeypatch.setattr(_answers, "Delivery", partial(Delivery, max_silence_s=0.3))
    engine = StuckEngine(NO_PROGRESS[repeated], pause_s=0.01)
    answer = asyncio.run(ask_engine(engine, stream))
    assert told(answer, stream)["outcome"] == "ran"
