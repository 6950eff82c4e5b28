"""Guarantees for every request: at most once, correct refusals, complete answers and streams."""

import asyncio

import pytest

from reachlink.delivery import Outcome
from reachlink.kernel import steady_time
from reachlink.requests import RequestFailedError, RetryLimits, StreamCutError
from reachlink.requests.tests.world import (
    BROKEN,
    NOT_RUN,
    OK,
    World,
    answering,
    event,
    failing,
    stream,
    wait_until,
    world,
    world_with_script,
)
from reachlink.routing import RequestKind
from reachlink.upstreams import UpstreamUnreachableError

UNREACHABLE = UpstreamUnreachableError("refused")


def failure_of(setup: World, kind: RequestKind, **route) -> RequestFailedError:
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(setup.run(kind, **route))
    return caught.value


def test_a_whole_answer_is_passed_on_unchanged():
    setup = world_with_script(script=answering(404, b"no", b" such", headers=[("X", "1")]))
    sink = asyncio.run(setup.run(RequestKind.ONCE))
    assert (sink.head.status, sink.body, sink.head.headers) == (404, b"no such", [("X", "1")])


def test_a_request_that_may_have_run_is_not_sent_again():
    setup = world_with_script(script=failing(BROKEN))
    error = failure_of(setup, RequestKind.ONCE)
    assert (error.status, error.outcome) == (502, Outcome.UNKNOWN)
    assert len(setup.adapter.sent) == 1


SOCKET_ERRORS: list[BaseException] = [
    OSError("no route"),
    ConnectionResetError("reset by peer"),
    BrokenPipeError("broken pipe"),
    TimeoutError("timed out"),
]
ANY_ERRORS: list[BaseException] = [
    KeyError("service"),
    RuntimeError("closed"),
    asyncio.CancelledError(),
]


@pytest.mark.parametrize("error", SOCKET_ERRORS + ANY_ERRORS, ids=repr)
@pytest.mark.parametrize("kind", RequestKind)
def test_an_error_of_something_else_does_not_end_a_request_without_an_answer(kind, error):
    setup = world_with_script(
        "a a", "m" if kind is RequestKind.STREAM else "p", script=failing(error)
    )
    failed = failure_of(setup, kind)
    assert (failed.status, failed.outcome) == (502, Outcome.UNKNOWN)
    assert setup.outcomes == [failed.reason]


@pytest.mark.parametrize("error", SOCKET_ERRORS + ANY_ERRORS, ids=repr)
@pytest.mark.parametrize("kind", RequestKind)
def test_an_error_in_the_middle_of_an_answer_is_not_taken_for_a_gone_caller(kind, error):
    prefix = "m" if kind is RequestKind.STREAM else "p"
    begun = event(1) if kind is RequestKind.STREAM else b"half"
    setup = world_with_script("a a", prefix, script=answering(200, begun, error))
    with pytest.raises((RequestFailedError, StreamCutError)):
        asyncio.run(setup.run(kind))
    assert setup.outcomes != ["cancelled"]


@pytest.mark.parametrize("error", SOCKET_ERRORS, ids=repr)
def test_a_repeatable_call_is_sent_again_after_a_socket_error(error):
    setup = world("a b", p1=[failing(error)], p2=[OK])
    assert asyncio.run(setup.run(RequestKind.REPEATABLE)).body == b"whole"
    assert [sent.replica for sent in setup.adapter.sent] == ["p1", "p2"]


@pytest.mark.parametrize("error", [OSError("no buffer"), *ANY_ERRORS], ids=repr)
@pytest.mark.parametrize("refused_before", [False, True])
def test_an_error_before_a_replica_has_the_request_is_reported_as_not_run(refused_before, error):
    setup = world_with_script("a a", script=NOT_RUN)
    placer = setup.runner._dispatcher._waiting_placer
    placed = placer.place_or_wait

    async def place(request, tried):
        if refused_before and not tried:
            return await placed(request, tried)
        raise error

    placer.place_or_wait = place
    failed = failure_of(setup, RequestKind.ONCE)
    assert (failed.status, failed.outcome) == (503, Outcome.NOT_RUN)
    assert failed.retry_after_s is not None


def test_a_truncated_answer_is_not_passed_on_and_not_reported_as_not_run():
    setup = world_with_script(script=answering(200, b"half", BROKEN))
    error = failure_of(setup, RequestKind.ONCE)
    assert error.status == 502 and len(setup.adapter.sent) == 1


def test_a_request_refused_by_a_replica_goes_to_another():
    setup = world_with_script(script=NOT_RUN)
    name = next(iter(setup.zones))
    setup.adapter.scripts[name] = [OK]
    for _ in range(5):
        assert asyncio.run(setup.run(RequestKind.ONCE)).body == b"whole"


def test_a_request_refused_by_all_replicas_is_reported_as_not_run():
    setup = world_with_script(script=NOT_RUN)
    error = failure_of(setup, RequestKind.ONCE)
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert error.retry_after_s is not None


def test_a_request_goes_to_at_most_max_attempts_replicas():
    setup = world_with_script("a a a a", script=NOT_RUN)
    failure_of(setup, RequestKind.ONCE)
    assert len(setup.adapter.sent) == 2


def test_an_unreachable_replica_does_not_count_as_an_attempt():
    setup = world_with_script("a a a a", script=failing(UNREACHABLE))
    error = failure_of(setup, RequestKind.ONCE, max_attempts=1)
    assert error.status == 503 and len(setup.adapter.sent) == 4


def test_a_repeatable_request_is_sent_again():
    setup = world_with_script(script=OK)
    for name in setup.zones:
        setup.adapter.scripts[name] = [failing(BROKEN), OK]
    setup.adapter.scripts["p2"] = [OK]
    assert asyncio.run(setup.run(RequestKind.REPEATABLE)).body == b"whole"


def test_a_repeatable_request_gets_the_last_failure_if_all_attempts_fail():
    setup = world_with_script(script=answering(500, b"sorry"))
    sink = asyncio.run(setup.run(RequestKind.REPEATABLE))
    assert sink.head.status == 500 and len(setup.adapter.sent) == 2


def test_a_repeatable_request_leaves_a_slow_replica():
    setup = world("a a", p1=[answering(200, 5.0, b"late")], p2=[OK])
    for _ in range(3):
        assert asyncio.run(setup.run(RequestKind.REPEATABLE, objective_s=0.05)).body == b"whole"


def test_a_success_that_is_not_genuine_is_not_passed_on():
    setup = world_with_script(script=answering(200, b"x", genuine=False))
    assert failure_of(setup, RequestKind.ONCE).status == 502


def test_a_replica_gets_the_remaining_time():
    setup = world_with_script(script=OK)
    asyncio.run(setup.run(RequestKind.ONCE, timeout_s=0.5))
    assert 0.3 < setup.adapter.sent[0].left_s <= 0.5


def test_a_request_gets_its_final_answer_at_its_timeout():
    setup = world_with_script(script=answering(200, 9.0))
    error = failure_of(setup, RequestKind.ONCE, timeout_s=0.05)
    assert (error.status, error.outcome) == (504, Outcome.UNKNOWN)


def test_retries_are_bounded_by_the_budget():
    setup = world_with_script("a a a a", script=NOT_RUN)
    for _ in range(40):
        failure_of(setup, RequestKind.ONCE, objective_s=0.01)
    assert len(setup.adapter.sent) <= 40 * 1.1 + 3


def test_instances_share_the_retry_limits():
    setup = world_with_script("a a a a", script=NOT_RUN)
    parts = setup.runner._parts
    parts.retry_limits, parts.instance_count = RetryLimits(share=0.0, burst=8.0), lambda: 8
    for _ in range(40):
        failure_of(setup, RequestKind.ONCE, objective_s=0.01)
    assert len(setup.adapter.sent) <= 40 + 1


def test_a_leaving_replica_gets_no_new_requests():
    setup = world_with_script(script=OK)
    setup.list_replicas("p1")
    for _ in range(10):
        asyncio.run(setup.run(RequestKind.ONCE))
    assert {s.replica for s in setup.adapter.sent} == {"p2"}


def test_an_unreachable_zone_costs_one_attempt():
    setup = world_with_script("b b b a", script=failing(UNREACHABLE))
    setup.adapter.scripts["p4"] = [OK]
    asyncio.run(setup.run(RequestKind.ONCE))
    far = [s for s in setup.adapter.sent if s.replica != "p4"]
    assert len(far) <= 1


def test_a_stream_is_passed_on_in_whole_events():
    body = stream(1, 9)
    setup = world_with_script("a a", "m", script=answering(200, body[:30], body[30:31], body[31:]))
    sink = asyncio.run(setup.run(RequestKind.STREAM))
    assert sink.body == body and sink.ended


@pytest.mark.parametrize("pieces", [(BROKEN,), (b"half", BROKEN), (b"x" * (8 << 20), b"x")])
def test_a_stream_refused_with_a_body_that_breaks_off_gets_a_final_answer(pieces):
    setup = world_with_script("a a", "m", script=answering(500, *pieces))
    error = failure_of(setup, RequestKind.STREAM)
    assert (error.status, error.reason, error.outcome) == (502, "broken", Outcome.UNKNOWN)
    assert len(setup.adapter.sent) == 1
    assert not setup.tracker.state("m1").allocations


def test_a_stream_with_a_missing_event_does_not_look_complete():
    setup = world_with_script("a a", "m", script=answering(200, event(1), event(3)))
    with pytest.raises(StreamCutError, match="event_missing"):
        asyncio.run(setup.run(RequestKind.STREAM))


def test_a_broken_stream_without_a_copy_is_cut_and_not_restarted():
    setup = world_with_script("a a", "m", script=answering(200, stream(1, 3), BROKEN))
    with pytest.raises(StreamCutError):
        asyncio.run(setup.run(RequestKind.STREAM, output_tokens=20))
    assert len(setup.adapter.sent) == 1


def test_a_request_is_cancelled_when_its_caller_leaves():
    setup = world_with_script("a a", "m", script=answering(200, stream(1, 3), 30.0))

    async def scenario():
        running = asyncio.create_task(setup.run(RequestKind.STREAM))
        while not setup.adapter.sent:
            await asyncio.sleep(0.01)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running

    asyncio.run(scenario())
    assert setup.outcomes == ["cancelled"]
    assert all(not setup.tracker.state(n).allocations for n in setup.zones)


MISDIRECTED = answering(421, not_run=True, misdirected=True)


def test_replicas_restarted_under_other_names_fail_no_request():
    """Ten replicas of a zone restart; the list of replicas has their old names for some seconds."""
    setup = world_with_script("a " * 10 + "b", script=MISDIRECTED)
    setup.adapter.scripts["p11"] = [OK]
    setup.runner._dispatcher._parts.retry_limits = RetryLimits(share=10.0, burst=20.0)
    for _ in range(20):
        assert asyncio.run(setup.run(RequestKind.ONCE, max_attempts=1)).body == b"whole"
        # An outdated list names all of them as present.
        setup.list_replicas()
    misdirected = [sent.replica for sent in setup.adapter.sent if sent.replica != "p11"]
    assert len(misdirected) == len(set(misdirected))


def test_a_misdirected_request_takes_from_the_retry_budget():
    setup = world_with_script("a a", script=MISDIRECTED)
    parts = setup.runner._dispatcher._parts
    parts.retry_limits, parts.instance_count = RetryLimits(share=0.0, burst=1.0), lambda: 1
    error = failure_of(setup, RequestKind.ONCE, max_attempts=1)
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert len(setup.adapter.sent) == 2
    error = failure_of(setup, RequestKind.ONCE, max_attempts=1)
    assert len(setup.adapter.sent) == 2


def test_callers_in_a_zone_that_is_cut_off_get_a_longer_retry_delay():
    """The load balancer needs more than a second to route callers to other zones."""
    setup = world_with_script("a a", script=NOT_RUN)
    setup.runner._dispatcher._parts.cut_off = lambda: True
    error = failure_of(setup, RequestKind.ONCE)
    assert (error.reason, error.retry_after_s) == ("not_run", 1.2)
    setup.runner._dispatcher._parts.directory.update([], 1.0)
    error = failure_of(setup, RequestKind.ONCE)
    assert (error.reason, error.retry_after_s) == ("zone_cut_off", 1.2)


def test_a_request_past_its_deadline_ends_at_once_after_a_suspension():
    """Timers do not advance during a suspension, so that the request would run on."""

    async def scenario():
        setup = world_with_script(script=answering(200, 60.0))
        now = [steady_time()]
        setup.runner._parts.clock = lambda: now[0]
        asking = asyncio.create_task(setup.run(RequestKind.ONCE, timeout_s=30.0))
        await wait_until(lambda: setup.adapter.sent)
        now[0] += 40.0
        # Further calls while the request is ending must not fail.
        for _ in range(3):
            setup.runner.on_resumed()
            await asyncio.sleep(0.0)
        with pytest.raises(RequestFailedError) as failed:
            await asyncio.wait_for(asking, 5.0)
        assert failed.value.status == 504

    asyncio.run(scenario())
