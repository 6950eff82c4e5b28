"""Callers are answered where an engine takes requests and stays silent."""

import asyncio

import msgspec
import pytest

from reachlink.entry import _answers
from reachlink.entry.tests.own_instance import OwnInstance, Replica, chat_body
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
