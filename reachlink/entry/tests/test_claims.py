"""Claims of a caller's idempotency key end with the request that made them."""

import asyncio
from types import SimpleNamespace

import pytest

from reachlink.control import ClaimCommand, ClaimResult, ClaimStatus, CompleteCommand
from reachlink.control._claims import ClaimBook
from reachlink.entry.tests.own_instance import (
    MODEL,
    OwnInstance,
    Replica,
    chat_body,
    serve_tokens,
    wait_until,
)
from reachlink.pacing import Hold, HoldReason
from reachlink.placement import Decision, Verdict

KEY_HEADERS = b"Idempotency-Key: k\r\nReachlink-Repeatable: no\r\n"


class SlowClaims:
    """Stands for control instances that answer claims once `answer` is set, ends if `complete`."""

    def __init__(self) -> None:
        self.claimed = 0
        self.completed: list[CompleteCommand] = []
        self.answer = asyncio.Event()
        self.complete = asyncio.Event()
        self.complete.set()

    async def propose(self, command: object, timeout_s: float) -> ClaimResult | None:
        if isinstance(command, ClaimCommand):
            self.claimed += 1
            await self.answer.wait()
            return ClaimResult(ClaimStatus.GRANTED)
        assert isinstance(command, CompleteCommand)
        await self.complete.wait()
        self.completed.append(command)
        return None


class BookedClaims:
    """Stands for control instances that keep claims by a clock of their own."""

    def __init__(self) -> None:
        self.book = ClaimBook()
        self.now = 0.0

    async def propose(self, command: object, timeout_s: float) -> ClaimResult:
        if isinstance(command, ClaimCommand):
            return self.book.claim(command, self.now)
        assert isinstance(command, CompleteCommand)
        return self.book.complete(command)


def test_a_claim_is_not_forgotten_while_its_request_runs():
    async def story():
        begun, goes_on = asyncio.Event(), asyncio.Event()

        async def serve_late(request, writer):
            begun.set()
            await goes_on.wait()
            await serve_tokens(request, writer)

        replica = Replica(serve_late)
        async with OwnInstance(replica, settings={"defaults.answers.keep_s": 1.0}) as instance:
            claims = instance.node.control = BookedClaims()
            first, second = await instance.connect(), await instance.connect()
            first.send("/readings/x", headers=KEY_HEADERS)
            await begun.wait()
            claims.now = 60.0
            second.send("/readings/x", headers=KEY_HEADERS)
            answer = await second.answer()
            goes_on.set()
            assert (await first.answer()).status == 200
            return answer, len(replica.requests)

    answer, runs = asyncio.run(story())
    assert (answer.status, answer.error()["code"]) == (409, "in_progress")
    assert runs == 1


@pytest.mark.parametrize(
    "path, body", [("/readings/x", b"{}"), ("/v1/chat/completions", chat_body())]
)
def test_a_claim_does_not_stay_open_where_its_caller_leaves_before_it_is_granted(path, body):
    async def story():
        replica = Replica(serve_tokens)
        async with OwnInstance(replica) as instance:
            claims = instance.node.control = SlowClaims()
            caller = await instance.connect()
            caller.send(path, body, headers=KEY_HEADERS)
            await wait_until(lambda: claims.claimed == 1)
            caller.close()
            await wait_until(lambda: not instance.node.running_requests)
            await asyncio.gather(*instance.node.tasks)
            return claims.completed, replica.requests

    completed, requests = asyncio.run(story())
    assert [command.outcome for command in completed] == ["not_run"]
    assert not requests


def test_a_claim_of_a_caller_that_leaves_the_queue_does_not_refuse_its_next_request():
    async def story():
        replica = Replica(serve_tokens)
        async with OwnInstance(replica) as instance:
            claims = instance.node.control = SlowClaims()
            claims.answer.set()
            dispatcher = instance.node.dispatcher(instance.node.tree.service(MODEL))
            full = Decision(Verdict.WAIT)
            dispatcher._policy = SimpleNamespace(choose=lambda *args: full)
            caller = await instance.connect()
            caller.send("/v1/chat/completions", chat_body(), headers=KEY_HEADERS)
            await wait_until(lambda: dispatcher.waiting == 1)
            caller.close()
            await wait_until(lambda: not instance.node.running_requests)
            await asyncio.gather(*instance.node.tasks)
            return claims.completed, replica.requests

    completed, requests = asyncio.run(story())
    assert [command.outcome for command in completed] == ["not_run"]
    assert not requests


def test_a_claim_of_a_caller_that_leaves_before_its_call_is_sent_does_not_refuse_its_next_request():
    async def story():
        replica = Replica(serve_tokens)
        async with OwnInstance(replica) as instance:
            claims = instance.node.control = SlowClaims()
            claims.answer.set()
            looks = 0

            def hold(*args: object) -> Hold:
                nonlocal looks
                looks += 1
                return Hold(0.01, HoldReason.BACKOFF)

            instance.node.hold = hold
            instance.node.admitted = lambda upstream: []
            caller = await instance.connect()
            caller.send("/readings/x", headers=KEY_HEADERS)
            await wait_until(lambda: looks > 0)
            caller.close()
            await wait_until(lambda: not instance.node.running_requests)
            await asyncio.gather(*instance.node.tasks)
            return claims.completed, replica.requests

    completed, requests = asyncio.run(story())
    assert [command.outcome for command in completed] == ["not_run"]
    assert not requests


def test_an_answer_does_not_wait_for_control_instances_that_are_away():
    async def story():
        async with OwnInstance(Replica(serve_tokens)) as instance:
            claims = instance.node.control = SlowClaims()
            claims.answer.set()
            claims.complete = asyncio.Event()
            caller = await instance.connect()
            caller.send("/readings/x", headers=KEY_HEADERS)
            answer = await caller.answer()
            open_claims = list(claims.completed)
            claims.complete.set()
            await asyncio.gather(*instance.node.tasks)
            return answer, open_claims, claims.completed

    answer, before, after = asyncio.run(story())
    assert (answer.status, before) == (200, [])
    assert [command.outcome for command in after] == ["ran"]


def test_a_claim_does_not_stay_open_when_a_planned_stop_breaks_its_call_off():
    grace_s = 1.0

    async def story():
        begun = asyncio.Event()

        async def serve_never(request, writer):
            begun.set()
            await asyncio.Event().wait()

        async with OwnInstance(Replica(serve_never), stop_grace_s=grace_s) as instance:
            claims = instance.node.control = SlowClaims()
            claims.answer.set()
            caller = await instance.connect()
            caller.send("/readings/x", headers=KEY_HEADERS)
            await begun.wait()
            draining = asyncio.create_task(instance.daemon.drain())
            answer = await caller.answer()
            await draining
            return answer, claims.completed

    answer, completed = asyncio.run(story())
    assert (answer.status, answer.error()["outcome"]) == (504, "unknown")
    assert [command.outcome for command in completed] == ["unknown"]
