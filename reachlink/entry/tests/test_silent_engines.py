"""Callers are answered where an engine takes requests and stays silent."""

import asyncio
from functools import partial

import msgspec
import pytest

from reachlink.delivery import StallDetector
from reachlink.entry import _answers
from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    OwnInstance,
    Replica,
    chat_body,
    chat_event,
)
from reachlink.upstreams import GenerationInfo

CHAT = "/v1/chat/completions"
TIMEOUT_S = 0.2


async def serve_nothing(request, writer):
    await asyncio.Event().wait()


async def serve_broken(request, writer):
    writer.close()


async def ask(replica: Replica, stream: bool):
    async with OwnInstance(replica) as instance:
        caller = await instance.connect()
        caller.send(CHAT, chat_body(stream=stream), b"Reachlink-Repeatable: no\r\n")
        return await caller.answer()


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_an_engine_that_never_answers_does_not_leave_its_caller_without_an_answer(
    monkeypatch, stream
):
    monkeypatch.setattr(_answers, "ANSWER_TIMEOUT_S", TIMEOUT_S, raising=False)
    answer = asyncio.run(ask(Replica(serve_nothing), stream))
    told = answer.error()
    assert (answer.status, told["code"], told["outcome"]) == (502, "upstream_broken", "unknown")


def test_an_engine_that_never_goes_on_does_not_leave_its_caller_without_an_answer(monkeypatch):
    monkeypatch.setattr(_answers, "RESUME_TIMEOUT_S", TIMEOUT_S)
    found = msgspec.json.encode(GenerationInfo("g1", "", 1, False, False, True))
    known = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(found), found)
    answer = asyncio.run(ask(Replica(serve_broken, known, serve_nothing), stream=False))
    told = answer.error()
    assert (answer.status, told["code"], told["outcome"]) == (502, "upstream_broken", "unknown")


# Resumes without a token while the engine has preempted a generation: more than the number of
# broken connections after which a generation counts as lost.
SILENT_RESUMES = 8


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_an_answer_does_not_end_because_its_engine_has_preempted_it(monkeypatch, stream):
    detector = partial(StallDetector, first_token_s=0.05, floor_s=0.05, ceiling_s=0.05)
    monkeypatch.setattr(_answers, "StallDetector", detector)
    monkeypatch.setattr(_answers, "RESUME_PAUSE_S", 0.01)
    resumes = 0

    async def serve_first(request, writer):
        writer.write(ENGINE_HEAD + chat_event(request.headers["X-Request-Id"], 0))
        await writer.drain()
        ids.append(request.headers["X-Request-Id"])
        await asyncio.Event().wait()

    async def serve_rest(request, writer):
        nonlocal resumes
        resumes += 1
        writer.write(ENGINE_HEAD)
        if resumes > SILENT_RESUMES:
            writer.write(chat_event(ids[0], 1, final=True) + b"data: [DONE]\n\n")
        await writer.drain()
        await asyncio.Event().wait()

    ids: list[str] = []
    answer = asyncio.run(ask(Replica(serve_first, serve_rest=serve_rest), stream))
    assert answer.status == 200 and resumes == SILENT_RESUMES + 1
    assert answer.body.count(b'"x"') == 2 or answer.body.count(b"xx") == 1
