"""Answers to requests that the owner of the queue refuses."""

import asyncio

import pytest

from reachlink.delivery import Outcome
from reachlink.requests import RequestFailedError
from reachlink.requests.tests.world import OK, FakeSink, world, world_with_script
from reachlink.routing import RequestKind
from reachlink.scheduling import RefusalReason, Refuse
from reachlink.upstreams import RequestFeatures


def failure_of(setup, kind, refusal: Refuse | None) -> RequestFailedError:
    request = setup.request(kind)

    async def place_or_wait(request, tried):
        request.refusal = refusal
        return None

    setup.runner._dispatcher.place_or_wait = place_or_wait
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.runner.run(request, FakeSink()))
    return caught.value


@pytest.mark.parametrize("kind", list(RequestKind))
@pytest.mark.parametrize("reason", list(RefusalReason))
def test_the_caller_gets_the_reason_and_retry_delay_of_the_refusal(kind, reason):
    setup = world("a", "m" if kind is RequestKind.STREAM else "p")
    setup.directory.update([], 1.0)
    error = failure_of(setup, kind, Refuse(2.5, reason, place_reserved=True))
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert (error.reason, error.retry_after_s) == (reason.value, 2.5)


def test_the_answer_without_a_refusal_of_the_owner():
    setup = world("a")
    setup.directory.update([], 1.0)
    error = failure_of(setup, RequestKind.ONCE, None)
    assert (error.status, error.reason, error.retry_after_s) == (503, "no_replica", 0.1)


def test_a_placement_query_has_the_fingerprint_of_the_request():
    setup = world_with_script(script=OK)
    request = setup.request(RequestKind.ONCE)
    request.relay.features = RequestFeatures(77)
    assert setup.runner.placer.query(request, set()).fingerprint == 77
