"""Requests that the owner of the line refuses: what their callers are told."""

import asyncio

import pytest

from reachlink.delivery import Outcome
from reachlink.requests import RequestFailedError
from reachlink.requests.tests.world import OK, FakeSink, world, world_with_script
from reachlink.routing import RequestKind
from reachlink.scheduling import RefusalReason, Refuse


def refused(made, kind, refusal: Refuse | None) -> RequestFailedError:
    request = made.request(kind)

    async def place_or_wait(request, tried):
        request.refusal = refusal
        return None

    made.runner._dispatch.place_or_wait = place_or_wait
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(made.runner.run(request, FakeSink()))
    return caught.value


@pytest.mark.parametrize("kind", list(RequestKind))
@pytest.mark.parametrize("reason", list(RefusalReason))
def test_its_reason_and_time_go_to_the_caller(kind, reason):
    made = world("a", "m" if kind is RequestKind.STREAM else "p")
    made.directory.update([], 1.0)
    error = refused(made, kind, Refuse(2.5, reason, place_reserved=True))
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert (error.reason, error.retry_after_s) == (reason.value, 2.5)


def test_without_one_callers_are_told_as_before():
    made = world("a")
    made.directory.update([], 1.0)
    error = refused(made, RequestKind.ONCE, None)
    assert (error.status, error.reason, error.retry_after_s) == (503, "no_replica", 0.1)


def test_a_question_tells_what_makes_a_request_the_same():
    made = world_with_script(script=OK)
    request = made.request(RequestKind.ONCE)
    request.relay.fingerprint = 77
    assert made.runner.placing.question(request, set()).fingerprint == 77
