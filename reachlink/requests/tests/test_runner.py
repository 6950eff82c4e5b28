"""What must hold of every request: at most once, true refusals, whole answers, one stream."""

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


def refused(made: World, kind: RequestKind, **route) -> RequestFailedError:
    with pytest.raises(RequestFailedError) as caught:
        asyncio.run(made.run(kind, **route))
    return caught.value


def test_a_whole_answer_is_given_as_it_came():
    made = world_with_script(script=answering(404, b"no", b" such", headers=[("X", "1")]))
    sink = asyncio.run(made.run(RequestKind.ONCE))
    assert (sink.head.status, sink.body, sink.head.headers) == (404, b"no such", [("X", "1")])


def test_what_may_have_run_once_is_not_sent_again():
    made = world_with_script(script=failing(BROKEN))
    error = refused(made, RequestKind.ONCE)
    assert (error.status, error.outcome) == (502, Outcome.UNKNOWN)
    assert len(made.adapter.sent) == 1


def test_an_answer_cut_off_is_not_given_and_not_promised_unrun():
    made = world_with_script(script=answering(200, b"half", BROKEN))
    error = refused(made, RequestKind.ONCE)
    assert error.status == 502 and len(made.adapter.sent) == 1


def test_a_refusal_of_the_replica_goes_to_another():
    made = world_with_script(script=NOT_RUN)
    name = next(iter(made.zones))
    made.adapter.scripts[name] = [OK]
    for _ in range(5):
        assert asyncio.run(made.run(RequestKind.ONCE)).body == b"whole"


def test_not_run_is_said_only_where_it_is_true():
    made = world_with_script(script=NOT_RUN)
    error = refused(made, RequestKind.ONCE)
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert error.retry_after_s is not None


def test_no_more_replicas_than_allowed():
    made = world_with_script("a a a a", script=NOT_RUN)
    refused(made, RequestKind.ONCE)
    assert len(made.adapter.sent) == 2


def test_a_replica_that_cannot_be_reached_does_not_count_as_one():
    made = world_with_script("a a a a", script=failing(UNREACHABLE))
    error = refused(made, RequestKind.ONCE, max_attempts=1)
    assert error.status == 503 and len(made.adapter.sent) == 4


def test_a_repeatable_request_is_sent_again():
    made = world_with_script(script=OK)
    for name in made.zones:
        made.adapter.scripts[name] = [failing(BROKEN), OK]
    made.adapter.scripts["p2"] = [OK]
    assert asyncio.run(made.run(RequestKind.REPEATABLE)).body == b"whole"


def test_a_repeatable_request_gets_the_last_failure_where_all_fail():
    made = world_with_script(script=answering(500, b"sorry"))
    sink = asyncio.run(made.run(RequestKind.REPEATABLE))
    assert sink.head.status == 500 and len(made.adapter.sent) == 2


def test_a_slow_replica_is_given_up_for_a_repeatable_request():
    made = world("a a", p1=[answering(200, 5.0, b"late")], p2=[OK])
    for _ in range(3):
        assert asyncio.run(made.run(RequestKind.REPEATABLE, objective_s=0.05)).body == b"whole"


def test_a_success_that_is_not_the_replicas_own_is_not_given():
    made = world_with_script(script=answering(200, b"x", genuine=False))
    assert refused(made, RequestKind.ONCE).status == 502


def test_the_time_handed_on_is_what_remains():
    made = world_with_script(script=OK)
    asyncio.run(made.run(RequestKind.ONCE, timeout_s=0.5))
    assert 0.3 < made.adapter.sent[0].left_s <= 0.5


def test_at_its_timeout_a_request_gets_its_answer():
    made = world_with_script(script=answering(200, 9.0))
    error = refused(made, RequestKind.ONCE, timeout_s=0.05)
    assert (error.status, error.outcome) == (504, Outcome.UNKNOWN)


def test_retries_are_bounded_by_the_budget():
    made = world_with_script("a a a a", script=NOT_RUN)
    for _ in range(40):
        refused(made, RequestKind.ONCE, objective_s=0.01)
    assert len(made.adapter.sent) <= 40 * 1.1 + 3


def test_many_instances_share_what_may_be_sent_again():
    made = world_with_script("a a a a", script=NOT_RUN)
    parts = made.runner._parts
    parts.retry_limits, parts.instance_count = RetryLimits(share=0.0, burst=8.0), lambda: 8
    for _ in range(40):
        refused(made, RequestKind.ONCE, objective_s=0.01)
    assert len(made.adapter.sent) <= 40 + 1


def test_nothing_new_goes_to_a_replica_that_leaves():
    made = world_with_script(script=OK)
    made.list_replicas("p1")
    for _ in range(10):
        asyncio.run(made.run(RequestKind.ONCE))
    assert {s.replica for s in made.adapter.sent} == {"p2"}


def test_a_zone_that_cannot_be_reached_costs_one_attempt():
    made = world_with_script("b b b a", script=failing(UNREACHABLE))
    made.adapter.scripts["p4"] = [OK]
    asyncio.run(made.run(RequestKind.ONCE))
    far = [s for s in made.adapter.sent if s.replica != "p4"]
    assert len(far) <= 1


def test_a_stream_is_given_on_whole_events_at_a_time():
    body = stream(1, 9)
    made = world_with_script("a a", "m", script=answering(200, body[:30], body[30:31], body[31:]))
    sink = asyncio.run(made.run(RequestKind.STREAM))
    assert sink.body == body and sink.ended


def test_a_stream_with_a_missing_event_does_not_look_complete():
    made = world_with_script("a a", "m", script=answering(200, event(1), event(3)))
    with pytest.raises(StreamCutError, match="event_missing"):
        asyncio.run(made.run(RequestKind.STREAM))


def test_a_stream_without_a_copy_is_broken_off_and_not_begun_again():
    made = world_with_script("a a", "m", script=answering(200, stream(1, 3), BROKEN))
    with pytest.raises(StreamCutError):
        asyncio.run(made.run(RequestKind.STREAM, output_tokens=20))
    assert len(made.adapter.sent) == 1


def test_a_caller_that_leaves_ends_the_work():
    made = world_with_script("a a", "m", script=answering(200, stream(1, 3), 30.0))

    async def scenario():
        running = asyncio.create_task(made.run(RequestKind.STREAM))
        while not made.adapter.sent:
            await asyncio.sleep(0.01)
        running.cancel()
        with pytest.raises(asyncio.CancelledError):
            await running

    asyncio.run(scenario())
    assert made.outcomes == ["cancelled"]
    assert all(not made.book.state(n).flights for n in made.zones)


MISDIRECTED = answering(421, not_run=True, misdirected=True)


def test_replicas_that_came_back_under_other_names_cost_no_caller_anything():
    """Ten of a zone's replicas crash and come back: lists have the names before for seconds."""
    made = world_with_script("a " * 10 + "b", script=MISDIRECTED)
    made.adapter.scripts["p11"] = [OK]
    made.runner._dispatch._parts.retry_limits = RetryLimits(share=10.0, burst=20.0)
    for _ in range(20):
        assert asyncio.run(made.run(RequestKind.ONCE, max_attempts=1)).body == b"whole"
        # A list that lags says that all are there.
        made.list_replicas()
    misdirected = [sent.replica for sent in made.adapter.sent if sent.replica != "p11"]
    assert len(misdirected) == len(set(misdirected))


def test_what_was_misdirected_takes_from_the_retry_budget():
    made = world_with_script("a a", script=MISDIRECTED)
    parts = made.runner._dispatch._parts
    parts.retry_limits, parts.instance_count = RetryLimits(share=0.0, burst=1.0), lambda: 1
    error = refused(made, RequestKind.ONCE, max_attempts=1)
    assert (error.status, error.outcome) == (503, Outcome.NOT_RUN)
    assert len(made.adapter.sent) == 2
    error = refused(made, RequestKind.ONCE, max_attempts=1)
    assert len(made.adapter.sent) == 2


def test_in_a_zone_that_is_cut_off_callers_are_told_to_come_back_when_others_are_found():
    """The balancer needs more than a second to send them elsewhere."""
    made = world_with_script("a a", script=NOT_RUN)
    made.runner._dispatch._parts.cut_off = lambda: True
    error = refused(made, RequestKind.ONCE)
    assert (error.reason, error.retry_after_s) == ("not_run", 1.2)
    made.runner._dispatch._parts.directory.update([], 1.0)
    error = refused(made, RequestKind.ONCE)
    assert (error.reason, error.retry_after_s) == ("zone_cut_off", 1.2)


def test_what_ran_out_while_the_machine_was_suspended_ends_at_once():
    """Timers stood still: the caller left long ago, and the replica works in vain."""

    async def scenario():
        made = world_with_script(script=answering(200, 60.0))
        now = [steady_time()]
        made.runner._parts.clock = lambda: now[0]
        asking = asyncio.create_task(made.run(RequestKind.ONCE, timeout_s=30.0))
        await wait_until(lambda: made.adapter.sent)
        now[0] += 40.0
        # Also where it is on its way out by then.
        for _ in range(3):
            made.runner.on_resumed()
            await asyncio.sleep(0.0)
        with pytest.raises(RequestFailedError) as failed:
            await asyncio.wait_for(asking, 5.0)
        assert failed.value.status == 504

    asyncio.run(scenario())
