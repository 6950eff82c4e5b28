"""Answers that were stored under a key, when they are given again."""

import asyncio

import pytest

from reachlink.control import ClaimCommand, ClaimResult, ClaimStatus, StoredAnswer
from reachlink.entry.tests.own_instance import OwnInstance, Replica, serve_tokens


class Stored:
    """Stands for the control instances; has the answer to an earlier request with each key."""

    def __init__(self, status: int) -> None:
        self._answer = StoredAnswer(status, "text/plain", b"busy")

    async def propose(self, command: object, timeout_s: float) -> ClaimResult | None:
        if not isinstance(command, ClaimCommand):
            return None
        return ClaimResult(ClaimStatus.DONE, "e1", "id-1", self._answer)


# Guards against a key whose stored 408 tells its caller to use a new one, which runs again.
@pytest.mark.parametrize(
    ("status", "told"), [(408, 409), (421, 409), (429, 409), (503, 409), (500, 500), (200, 200)]
)
def test_a_stored_answer_that_would_promise_not_run_is_not_given_again(status, told):
    async def story():
        replica = Replica(serve_tokens)
        async with OwnInstance(replica) as instance:
            instance.node.control = Stored(status)
            caller = await instance.connect()
            headers = b"Idempotency-Key: k\r\nReachlink-Repeatable: no\r\n"
            caller.send("/readings/x", headers=headers)
            answer = await caller.answer()
            assert (answer.status, replica.requests) == (told, [])
            if told == 409:
                error = answer.error()
                assert (error["code"], error["outcome"]) == ("outcome_unknown", "unknown")
            else:
                assert answer.body == b"busy"

    asyncio.run(story())
