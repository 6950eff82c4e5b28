"""Requests that wait for room are answered, whatever becomes of what they wait for."""

import asyncio
from typing import Any

import pytest

from reachlink.entry.tests.own_instance import (
    MODEL,
    OwnInstance,
    Replica,
    chat_body,
    serve_tokens,
    wait_until,
)
from reachlink.membership import SettingsAnswer
from reachlink.placement import Decision, Verdict

CHAT = "/v1/chat/completions"
LONG_PROMPT = [{"role": "user", "content": "word " * 1000}]
LONG_TOKENS = 500


class Room:
    """Stands for the placement policy: there is room as soon as `free` is set."""

    def __init__(self) -> None:
        self.free = False

    def choose(self, request, candidates, random) -> Decision:
        if not candidates:
            return Decision(Verdict.NONE_ALIVE)
        if not self.free:
            return Decision(Verdict.WAIT)
        if request.prompt_tokens > LONG_TOKENS:
            raise KeyError("no such thing")
        return Decision(Verdict.PLACE, candidates[0].name)


def waiting_room(instance: OwnInstance):
    dispatcher = instance.node.dispatcher(instance.node.tree.service(MODEL))
    room: Any = Room()
    dispatcher._policy = room
    return dispatcher, room


def test_a_failure_of_one_placement_does_not_keep_the_others_waiting():
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            dispatcher, room = waiting_room(instance)
            failing, other = await instance.connect(), await instance.connect()
            failing.send(CHAT, chat_body(messages=LONG_PROMPT))
            await wait_until(lambda: dispatcher.waiting == 1)
            other.send(CHAT, chat_body())
            await wait_until(lambda: dispatcher.waiting == 2)
            room.free = True
            return await failing.answer(), await other.answer()

    failed, served = asyncio.run(story())
    assert (failed.status, failed.error()["code"]) == (500, "internal_error")
    assert served.status == 200


WITHOUT_SERVICE: dict[str, Any] = {}
OTHER_UPSTREAM = {f"services.{MODEL}.kind": "model", f"services.{MODEL}.upstream": "other"}
PLAIN_NOW = {f"services.{MODEL}.kind": "plain"}


@pytest.mark.parametrize(
    "values", [WITHOUT_SERVICE, OTHER_UPSTREAM, PLAIN_NOW], ids=["removed", "moved", "plain"]
)
@pytest.mark.parametrize("free", [True, False], ids=["room", "no-replica"])
@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
def test_a_change_of_the_service_while_its_requests_wait_does_not_leave_them_waiting(
    values, free, stream
):
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            dispatcher, room = waiting_room(instance)
            caller = await instance.connect()
            caller.send(CHAT, chat_body(stream=stream))
            await wait_until(lambda: dispatcher.waiting == 1)
            instance.node.settings.take(SettingsAnswer(2, True, values=values))
            await instance.node.on_settings()
            if not free:
                instance.node.directory.update([], 0.0)
            room.free = free
            return await caller.answer()

    answer = asyncio.run(story())
    assert answer.status == (200 if free else 503)


async def serve_and_change(request, writer, instance: OwnInstance) -> None:
    instance.node.settings.take(SettingsAnswer(2, True, values=WITHOUT_SERVICE))
    await instance.node.on_settings()
    await serve_tokens(request, writer)


@pytest.mark.parametrize(
    "path, body",
    [("/readings/x", b"{}"), (CHAT, chat_body()), (CHAT, chat_body(stream=True))],
    ids=["call", "whole", "stream"],
)
def test_a_service_and_workspace_that_are_removed_while_a_request_runs_do_not_end_it(path, body):
    async def story():
        replica = Replica(serve_tokens)
        async with OwnInstance(replica) as instance:
            replica.serve = lambda request, writer: serve_and_change(request, writer, instance)
            caller = await instance.connect()
            caller.send(path, body)
            return await caller.answer()

    assert asyncio.run(story()).status == 200


def test_a_body_that_is_read_while_its_service_is_removed_is_refused_as_not_run():
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            caller = await instance.connect()
            body = chat_body()
            caller.send(CHAT, body[:5], b"Content-Length: %d\r\n" % len(body))
            await wait_until(lambda: instance.node.running_requests == 1)
            instance.node.settings.take(SettingsAnswer(2, True, values=WITHOUT_SERVICE))
            caller.writer.write(body[5:])
            return await caller.answer()

    answer = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (404, "not_run")
