"""Claims of a caller's idempotency key end with the request that made them."""

import asyncio
from types import SimpleNamespace

import pytest

from reachlink.control import ClaimCommand, ClaimResult, ClaimStatus, CompleteCommand
from reachlink.entry.tests.own_instance import (
    MODEL,
    OwnInstance,
    Replica,
    chat_body,
    serve_tokens,
    wait_until,
)
from reachlink.placement import Decision, Verdict

KEY_HEADERS = b"Idempotency-Key: k\r\nReachlink-Repeatable: no\r\n"


class SlowClaims:
    """Stands for the control instances, which answer claims only after `answer` is set."""

    def __init__(self) -> None:
        self.claimed = 0
        self.completed: list[CompleteCommand] = []
        self.answer = asyncio.Event()

    async def propose(self, command: object, timeout_s: float) -> ClaimResult | None:
        if isinstance(command, ClaimCommand):
            self.claimed += 1
            await self.answer.wait()
            return ClaimResult(ClaimStatus.GRANTED)
        assert isinstance(command, CompleteCommand)
        self.completed.append(command)
        return None


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
