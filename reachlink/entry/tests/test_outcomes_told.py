"""Callers are told that a request has not run only where that is sure."""

import asyncio

import pytest

from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    OwnInstance,
    Replica,
    chat_body,
)

CHAT = "/v1/chat/completions"


async def serve_broken(request, writer):
    writer.close()


async def serve_head_and_end(request, writer):
    writer.write(ENGINE_HEAD)
    await writer.drain()
    writer.close()


async def ask(*replicas: Replica, path: str = CHAT, body: bytes = b"{}", headers: bytes = b""):
    async with OwnInstance(*replicas) as instance:
        caller = await instance.connect()
        caller.send(path, body, headers)
        return await caller.answer()


@pytest.mark.parametrize("serve", [serve_broken, serve_head_and_end])
@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_a_generation_that_may_have_run_is_not_told_as_not_run(serve, stream):
    answer = asyncio.run(ask(Replica(serve), body=chat_body(stream=stream)))
    told = answer.error()
    assert (answer.status, told["outcome"]) == (502, "unknown")
    assert told["code"] == "upstream_failed"


async def call_repeatably(replica: Replica):
    settings = {"services.readings.repeatable": True}
    async with OwnInstance(replica, settings=settings) as instance:
        caller = await instance.connect()
        caller.send("/readings/x")
        return await caller.answer()


def test_a_call_that_may_have_run_is_not_told_with_the_status_of_one_that_has_not():
    answer = asyncio.run(call_repeatably(Replica(serve_broken)))
    told = answer.error()
    assert (answer.status, told["outcome"]) == (502, "unknown")
    assert told["code"] == "upstream_failed"
