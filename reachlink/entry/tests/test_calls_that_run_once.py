"""A call that may run once is not sent again for what is no answer to it."""

import asyncio

import pytest

from reachlink.entry.tests.own_instance import OwnInstance, Replica, chat_body, serve_tokens

ONCE = b"Reachlink-Repeatable: no\r\n"


OK, FULL = b"200 OK", b"503 Full"
CALL, CHAT = "/readings/x", "/v1/chat/completions"


def whole(status: bytes, request_id: str) -> bytes:
    """Return a whole answer, which names its request if that is given; refusals are confirmed."""
    fields = b"X-Request-Id: %b\r\n" % request_id.encode() if request_id else b""
    if status == FULL:
        fields += b"X-Fleet-Not-Run: 1\r\n"
    return b"HTTP/1.1 %b\r\n%bContent-Length: 2\r\n\r\n{}" % (status, fields)


def ids(replica: Replica) -> list[str]:
    return [request.headers["X-Request-Id"] for request in replica.requests]


async def serve(request, writer) -> None:
    """Answer soundly, and name the request."""
    if request.path == CALL:
        writer.write(whole(OK, request.headers["X-Request-Id"]))
    else:
        await serve_tokens(request, writer)


class Troubled:
    """Sends a surplus refusal on the connection of its first call, once the next one is there."""

    def __init__(self, names_requests: bool) -> None:
        self._names_requests = names_requests
        self._first: tuple[str, asyncio.StreamWriter] | None = None

    async def serve(self, request, writer) -> None:
        request_id = request.headers["X-Request-Id"] if self._names_requests else ""
        if self._first is None:
            self._first = request_id, writer
        elif self._first[1] is writer:
            # Its own answer never comes.
            writer.write(whole(FULL, self._first[0]))
            return
        writer.write(whole(OK, request_id))


@pytest.mark.parametrize(("path", "body"), [(CALL, b"{}"), (CHAT, chat_body())])
def test_a_late_surplus_refusal_of_an_earlier_call_is_not_taken_for_that_of_the_next(path, body):
    async def scenario():
        troubled, other = Replica(Troubled(names_requests=True).serve), Replica(serve)
        async with OwnInstance(troubled, other) as instance:
            caller = await instance.connect()
            while len(troubled.requests) < 1:
                caller.send(CALL, headers=ONCE)
                assert (await caller.answer()).status == 200
            while len(troubled.requests) < 2:
                caller.send(path, body, ONCE)
                answer = await caller.answer()
        assert set(ids(troubled)).isdisjoint(ids(other))
        assert (answer.status, answer.error()["outcome"]) == (502, "unknown")

    asyncio.run(scenario())


def test_a_call_that_may_run_once_gets_a_connection_on_which_no_unnamed_answer_can_come():
    async def scenario():
        troubled, other = Replica(Troubled(names_requests=False).serve), Replica(serve)
        async with OwnInstance(troubled, other) as instance:
            caller = await instance.connect()
            while len(troubled.requests) < 2:
                caller.send(CALL, headers=ONCE)
                assert (await caller.answer()).status == 200
        assert set(ids(troubled)).isdisjoint(ids(other))

    asyncio.run(scenario())
