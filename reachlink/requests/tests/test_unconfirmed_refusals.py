"""A replica's refusal that it does not confirm is no promise that its request has not run."""

import asyncio

import pytest

from reachlink.delivery import Outcome
from reachlink.requests import RequestFailedError
from reachlink.requests.tests.world import NOT_RUN, answering, world, world_with_script
from reachlink.routing import RequestKind

PROMISES = [408, 421, 429, 503]
KINDS = [(RequestKind.ONCE, "p"), (RequestKind.STREAM, "m")]


# Guards against a caller who sends a request that has run once more, as it was told 503.
@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize(("kind", "prefix"), KINDS)
def test_a_request_that_may_have_run_is_told_so_whatever_its_replica_answers(kind, prefix, status):
    setup = world_with_script("a a a", prefix, script=answering(status, b"busy"))
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.run(kind, max_attempts=3))
    assert (caught.value.status, caught.value.outcome) == (502, Outcome.UNKNOWN)
    assert len(setup.adapter.sent) == 1
    assert setup.outcomes == ["unconfirmed_refusal"]


@pytest.mark.parametrize(("kind", "prefix"), KINDS)
def test_one_after_a_confirmed_refusal_ends_the_attempts(kind, prefix):
    setup = world("a a a", prefix)
    scripts = [NOT_RUN, answering(503), answering()]
    setup.adapter.scripts = {name: scripts for name in setup.zones}
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.run(kind, max_attempts=3))
    assert (caught.value.status, caught.value.outcome) == (502, Outcome.UNKNOWN)
    assert len(setup.adapter.sent) == 2


@pytest.mark.parametrize(("kind", "prefix"), KINDS)
def test_it_is_no_sign_that_the_request_crashed_the_replica(kind, prefix):
    setup = world_with_script("a a", prefix, script=answering(503))
    with pytest.raises(RequestFailedError):
        asyncio.run(setup.run(kind))
    assert setup.adapter.touched == []


def test_a_request_that_may_repeat_goes_elsewhere():
    setup = world("a a")
    scripts = [answering(503, b"busy"), answering(200, b"whole")]
    setup.adapter.scripts = {name: scripts for name in setup.zones}
    sink = asyncio.run(setup.run(RequestKind.REPEATABLE))
    assert (sink.head.status, sink.body, len(setup.adapter.sent)) == (200, b"whole", 2)


@pytest.mark.parametrize("status", PROMISES)
def test_a_request_that_may_repeat_gets_the_last_refusal_unchanged(status):
    script = answering(status, b"busy", headers=[("Retry-After", "2")])
    setup = world_with_script("a a", script=script)
    sink = asyncio.run(setup.run(RequestKind.REPEATABLE))
    assert (sink.head.status, sink.body) == (status, b"busy")
    assert sink.head.headers == [("Retry-After", "2")]
