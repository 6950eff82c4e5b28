"""Calls whose replica refuses by status, but does not say that it has not run them."""

import asyncio
from collections import Counter

import pytest

from reachlink.control import ClaimCommand, ClaimResult, ClaimStatus, CompleteCommand
from reachlink.entry.tests.own_instance import (
    Answer,
    EventLog,
    OwnInstance,
    Replica,
    ReplicaRequest,
    wait_until,
)

ONCE = b"Reachlink-Repeatable: no\r\n"
CALL = "/readings/x"
PROMISES = [408, 429, 503]
CONFIRMED = b"X-Fleet-Not-Run: 1\r\n"
LEAVING = b'{"error": {"code": "leaving", "message": "bye"}}'


class Refusing:
    """Replicas that run each call and then answer with a status.

    Attributes
    ----------
    ran : Counter
        How often each call was run, by the body.
    """

    def __init__(self, status: int, fields: bytes = b"", body: bytes = b"{}") -> None:
        self.ran: Counter[bytes] = Counter()
        self._raw = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (
            status,
            fields,
            len(body),
            body,
        )

    def replicas(self, count: int = 3) -> list[Replica]:
        return [Replica(self._serve) for _ in range(count)]

    async def _serve(self, request: ReplicaRequest, writer: asyncio.StreamWriter) -> None:
        self.ran[request.body] += 1
        writer.write(self._raw)


def ask(service: Refusing, headers: bytes = b"", body: bytes = b"call") -> tuple[Answer, EventLog]:
    """Return the answer to one call, and what the instance has logged."""

    async def story() -> tuple[Answer, EventLog]:
        async with OwnInstance(*service.replicas()) as instance:
            caller = await instance.connect()
            caller.send(CALL, body, headers)
            return await caller.answer(), instance.log

    return asyncio.run(story())


# Guards against a call that runs up to three times, as each replica's 503 sends it to the next.
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("fields", [b"", b"Retry-After: 1\r\n"], ids=["", "retry_after"])
def test_a_call_that_has_run_is_not_sent_again_whatever_its_replica_answers(status, fields):
    service = Refusing(status, fields)
    answer, log = ask(service, ONCE)
    assert service.ran == {b"call": 1}
    told = answer.error()
    assert (answer.status, told["code"], told["outcome"]) == (502, "upstream_broken", "unknown")
    (sent,) = log.named("request_sent")
    assert (sent["outcome"], sent["status"]) == ("unconfirmed_refusal", status)


@pytest.mark.parametrize("status", PROMISES)
def test_a_refusal_that_its_replica_confirms_is_tried_elsewhere(status):
    service = Refusing(status, CONFIRMED)
    answer, log = ask(service, ONCE)
    assert service.ran[b"call"] > 1
    assert (answer.status, answer.error()["outcome"]) == (503, "not_run")
    assert {sent["outcome"] for sent in log.named("request_sent")} == {"not_run"}


def test_misdirected_needs_no_confirmation():
    service = Refusing(421)
    answer, _ = ask(service, ONCE)
    assert (answer.status, answer.error()["outcome"]) == (503, "not_run")


@pytest.mark.parametrize("status", PROMISES)
def test_a_call_that_may_repeat_is_tried_elsewhere_and_told_that_it_may_have_run(status):
    service = Refusing(status)
    answer, _ = ask(service)
    assert service.ran[b"call"] > 1
    told = answer.error()
    assert (answer.status, told["code"], told["outcome"]) == (502, "upstream_failed", "unknown")


@pytest.mark.parametrize("status", [400, 404, 409, 422, 500, 502, 504])
def test_statuses_that_promise_nothing_are_passed_on_unchanged(status):
    for fields in (b"", CONFIRMED):
        answer, _ = ask(Refusing(status, fields, b"text"), ONCE)
        assert (answer.status, answer.body) == (status, b"text")


def test_a_replica_that_leaves_with_it_gets_no_further_calls():
    service = Refusing(503, body=LEAVING)

    async def story() -> None:
        (replica,) = replicas = service.replicas(1)
        async with OwnInstance(*replicas) as instance:
            caller = await instance.connect()
            caller.send(CALL, b"first", ONCE)
            assert (await caller.answer()).status == 502
            caller.send(CALL, b"second", ONCE)
            assert (await caller.answer()).status == 503
        assert len(replica.requests) == 1

    asyncio.run(story())


class OneClaim:
    """Stands for the control instances; grants one claim and keeps how it ended."""

    def __init__(self) -> None:
        self.completed: list[CompleteCommand] = []
        self._claimed = False

    async def propose(self, command: object, timeout_s: float) -> ClaimResult | None:
        if isinstance(command, CompleteCommand):
            self.completed.append(command)
            return None
        assert isinstance(command, ClaimCommand)
        status = ClaimStatus.UNKNOWN if self._claimed else ClaimStatus.GRANTED
        self._claimed = True
        return ClaimResult(status)


def test_a_key_whose_call_may_have_run_stays_claimed():
    service = Refusing(503)

    async def story():
        async with OwnInstance(*service.replicas()) as instance:
            claims = instance.node.control = OneClaim()
            caller = await instance.connect()
            for status, outcome in ((502, "unknown"), (409, "unknown")):
                caller.send(CALL, b"call", ONCE + b"Idempotency-Key: k\r\n")
                answer = await caller.answer()
                assert (answer.status, answer.error()["outcome"]) == (status, outcome)
            await wait_until(lambda: bool(claims.completed))
            (completed,) = claims.completed
            assert (completed.outcome, completed.answer) == ("unknown", None)

    asyncio.run(story())
    assert service.ran == {b"call": 1}
