"""A planned stop ends when what was asked is answered."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from reachlink.entry._daemon import DRAIN_POLL_S
from reachlink.entry._unsent_answers import UnsentAnswers
from reachlink.entry.tests.own_instance import (
    WAIT_S,
    OwnInstance,
    Replica,
    serve_tokens,
    wait_until,
)

# More than the buffers of the system hold for a connection within a machine.
LONG_BYTES = 8 << 20
RECEIVE_BUFFER_BYTES = 4096


async def serve_long(request, writer):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES
    writer.write(head + b"x" * LONG_BYTES)


def test_a_drain_does_not_end_under_an_answer_that_is_not_sent():
    async def story():
        replica = Replica(serve_long)
        async with OwnInstance(replica) as instance:
            caller = await instance.connect(RECEIVE_BUFFER_BYTES)
            caller.send("/readings/x")
            await wait_until(lambda: bool(replica.requests) and not instance.node.running_requests)
            draining = asyncio.create_task(instance.daemon.drain())
            await asyncio.wait({draining}, timeout=10 * DRAIN_POLL_S)
            assert not draining.done()
            answer = await caller.answer()
            await draining
            return answer, instance.log.named("answers_cut")

    answer, cut = asyncio.run(story())
    assert len(answer.body) == LONG_BYTES
    assert not cut


def test_a_drain_does_not_wait_for_ever_for_a_caller_that_reads_nothing():
    transport = SimpleNamespace(get_write_buffer_size=lambda: 1)
    unsent = UnsentAnswers(lambda: [cast(Any, SimpleNamespace(transport=transport))])

    async def story():
        async with asyncio.timeout(WAIT_S):
            await unsent.sent(2 * DRAIN_POLL_S)

    asyncio.run(story())
    assert unsent.count == 1


def test_answers_given_once_a_planned_stop_has_begun_announce_that_the_connection_closes():
    async def story():
        begun, release = asyncio.Event(), asyncio.Event()

        async def serve(request, writer):
            begun.set()
            await release.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        async with OwnInstance(Replica(serve)) as instance:
            caller = await instance.connect()
            caller.send("/readings/x")
            await begun.wait()
            draining = asyncio.create_task(instance.daemon.drain())
            await wait_until(lambda: instance.node.draining)
            release.set()
            answer = await caller.answer()
            await draining
            return answer

    answer = asyncio.run(story())
    assert answer.status == 200 and answer.headers["Connection"] == "close"


def test_a_planned_stop_answers_a_request_that_follows_an_answer_closely():
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            caller = await instance.connect()
            caller.send("/readings/x")
            await caller.answer()
            draining = asyncio.create_task(instance.daemon.drain())
            await asyncio.sleep(2 * DRAIN_POLL_S)
            caller.send("/readings/x")
            answer = await caller.answer()
            await draining
            return answer

    answer = asyncio.run(story())
    assert answer.status == 200 and answer.headers["Connection"] == "close"
