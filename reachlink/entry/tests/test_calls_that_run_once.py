"""A call that may run once is not sent again for what is no answer to it."""

import asyncio

import pytest

from reachlink.entry.tests.own_instance import OwnInstance, Replica, chat_body, serve_tokens

ONCE = b"Reachlink-Repeatable: no\r\n"


def whole(request_id: str, status: bytes, body: bytes = b"{}") -> bytes:
    head = b"HTTP/1.1 %b\r\nX-Request-Id: %b\r\nContent-Length: %d\r\n\r\n"
    return head % (status, request_id.encode(), len(body)) + body


def ids(replica: Replica) -> list[str]:
    return [request.headers["X-Request-Id"] for request in replica.requests]


@pytest.mark.parametrize(
    ("path", "body"), [("/readings/x", b"{}"), ("/v1/chat/completions", chat_body())]
)
def test_a_late_surplus_refusal_of_an_earlier_call_is_not_taken_for_that_of_the_next(path, body):
    async def scenario():
        async def serve(request, writer):
            earlier, now = ids(troubled)[0], request.headers["X-Request-Id"]
            status = b"200 OK" if earlier == now else b"503 Full"
            writer.write(whole(earlier, status))

        async def serve_others(request, writer):
            if request.path == "/readings/x":
                writer.write(whole(request.headers["X-Request-Id"], b"200 OK"))
            else:
                await serve_tokens(request, writer)

        troubled, other = Replica(serve), Replica(serve_others)
        async with OwnInstance(troubled, other) as instance:
            caller = await instance.connect()
            while len(troubled.requests) < 1:
                caller.send("/readings/x", headers=ONCE)
                assert (await caller.answer()).status == 200
            while len(troubled.requests) < 2:
                caller.send(path, body, ONCE)
                answer = await caller.answer()
        assert set(ids(troubled)).isdisjoint(ids(other))
        assert (answer.status, answer.error()["outcome"]) == (502, "unknown")

    asyncio.run(scenario())
