"""Generations whose engine answers with an error, but does not say that it has not run them."""

import asyncio

import pytest

from reachlink.entry.tests.own_instance import (
    ENGINE_HEAD,
    Answer,
    EventLog,
    OwnInstance,
    Replica,
    ReplicaRequest,
    chat_body,
    chat_event,
)

ONCE = b"Reachlink-Repeatable: no\r\n"
CONFIRMED = b"X-Fleet-Not-Run: 1\r\n"
DETAIL = b'{"error": {"code": "odd", "message": "an odd request"}}'
LEAVING = b'{"error": {"code": "leaving", "message": "bye"}}'


def failing(status: int, fields: bytes = b"", body: bytes = DETAIL) -> list[Replica]:
    """Return engines that run each generation and then answer with a status."""

    async def serve(request: ReplicaRequest, writer: asyncio.StreamWriter) -> None:
        head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, fields, len(body))
        writer.write(head + body)

    return [Replica(serve) for _ in range(3)]


def generate(
    engines: list[Replica], headers: bytes = b"", stream: bool = False
) -> tuple[Answer, EventLog]:
    """Return the answer to a request for a generation, and what the instance has logged."""

    async def story() -> tuple[Answer, EventLog]:
        async with OwnInstance(*engines) as instance:
            caller = await instance.connect()
            caller.send("/v1/chat/completions", chat_body(stream=stream), headers)
            return await caller.answer(), instance.log

    return asyncio.run(story())


def runs(engines: list[Replica]) -> int:
    return sum(len(one.requests) for one in engines)


# Guards against a generation that each engine runs in turn, as the one before answered 503.
@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
@pytest.mark.parametrize("status", [404, 408, 409, 429, 503])
def test_a_generation_that_has_run_is_not_sent_again_whatever_its_engine_answers(status, stream):
    engines = failing(status)
    answer, log = generate(engines, ONCE, stream)
    assert runs(engines) == 1
    told = answer.error()
    assert (answer.status, told["code"], told["outcome"]) == (502, "upstream_broken", "unknown")


@pytest.mark.parametrize("status", [404, 408, 409, 429, 500, 503])
def test_a_refusal_that_its_engine_confirms_is_tried_elsewhere(status):
    engines = failing(status, CONFIRMED)
    answer, log = generate(engines, ONCE)
    assert runs(engines) > 1
    assert (answer.status, answer.error()["outcome"]) == (503, "not_run")
    assert {sent["outcome"] for sent in log.named("request_sent")} == {"not_run"}


def test_misdirected_needs_no_confirmation():
    answer, _ = generate(failing(421), ONCE)
    assert (answer.status, answer.error()["outcome"]) == (503, "not_run")


@pytest.mark.parametrize("headers", [b"", ONCE], ids=["repeatable", "once"])
@pytest.mark.parametrize(("fields", "outcome"), [(b"", "unknown"), (CONFIRMED, "not_run")])
@pytest.mark.parametrize("status", [400, 413, 422])
def test_an_invalid_request_is_told_so_and_whether_it_may_have_run(
    status, fields, outcome, headers
):
    engines = failing(status, fields)
    answer, _ = generate(engines, headers)
    told = answer.error()
    assert (answer.status, told["code"], told["outcome"]) == (status, "odd", outcome)
    assert told["message"] == "an odd request"
    assert runs(engines) == 1


@pytest.mark.parametrize("status", [404, 429, 503])
def test_a_generation_that_may_repeat_is_tried_elsewhere_and_told_that_it_may_have_run(status):
    engines = failing(status)
    answer, _ = generate(engines)
    assert runs(engines) > 1
    assert (answer.status, answer.error()["outcome"]) == (502, "unknown")


def test_a_generation_that_its_engine_still_has_is_delivered_after_a_refusal():
    request_ids: list[str] = []

    async def serve(request: ReplicaRequest, writer: asyncio.StreamWriter) -> None:
        request_ids.append(request.headers["X-Request-Id"])
        writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")

    async def serve_rest(request: ReplicaRequest, writer: asyncio.StreamWriter) -> None:
        event = chat_event(request_ids[0], 0, final=True)
        writer.write(ENGINE_HEAD + event + b"data: [DONE]\n\n")
        await writer.drain()
        writer.close()

    info = (
        b'{"generation": "g1", "request_id": "r", "tokens": 1, "finished": true,'
        b' "cancelled": false, "attached": false}'
    )
    known = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(info), info)
    engine = Replica(serve, known, serve_rest)
    answer, _ = generate([engine], ONCE)
    assert answer.status == 200
    assert len(engine.requests) == 1


def test_an_engine_that_leaves_with_it_gets_no_further_requests():
    async def story() -> None:
        (engine, *_) = failing(503, body=LEAVING)
        async with OwnInstance(engine) as instance:
            caller = await instance.connect()
            caller.send("/v1/chat/completions", chat_body(), ONCE)
            assert (await caller.answer()).status == 502
            caller.send("/v1/chat/completions", chat_body(), ONCE)
            assert (await caller.answer()).status == 503
        assert len(engine.requests) == 1

    asyncio.run(story())
