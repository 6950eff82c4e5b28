"""Requests that crash replicas, on each kind of route."""

import asyncio
import itertools

import pytest

from reachlink.quarantine import EARLY_CRASH_S, HeldRequestError
from reachlink.requests import RequestFailedError, StreamCutError
from reachlink.requests.tests.world import BROKEN, World, event, failing, stream, wait_until, world
from reachlink.requests.tests.world import answering as answers
from reachlink.routing import RequestKind
from reachlink.upstreams import Continuation, MovedMemory, RequestFeatures

GUILTY = RequestFeatures(7)


async def ask(setup: World, kind: RequestKind, features: RequestFeatures = GUILTY, **route):
    """Return the status, reason and retry delay that the caller gets."""
    try:
        await setup.run(kind, features=features, **route)
    except RequestFailedError as error:
        return error.status, error.reason, error.retry_after_s
    except StreamCutError as error:
        return 0, error.reason, None
    return 200, "", None


def crash(setup: World, number: int, late: bool = False) -> None:
    """Record that the request crashed replica `number` 0.1 s ago."""
    now = setup.now()
    setup.quarantine.note_crash(GUILTY, f"r{number}", now - 0.1, now, late, now)


async def crash_until_held(setup: World, kind: RequestKind, **route) -> list[str]:
    """Repeat the request until it is not sent any more; return the replicas that received it."""
    for _ in range(10):
        sent = len(setup.adapter.sent)
        await ask(setup, kind, **route)
        if len(setup.adapter.sent) == sent:
            break
        # Each replica that received the request has been probed after its connection broke.
        await wait_until(
            lambda: set(setup.adapter.touched) >= {s.replica for s in setup.adapter.sent}
        )
        await asyncio.sleep(0.0)
        # The replicas are healthy again, as after successes of other requests.
        for name in setup.zones:
            setup.tracker.state(name).health.on_success(setup.now())
    return [one.replica for one in setup.adapter.sent]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_request_is_held_after_crashing_three_replicas(kind):
    prefix = "m" if kind is RequestKind.STREAM else "p"

    async def scenario():
        setup = world("a a a a a", prefix)
        setup.adapter.scripts = {name: [failing(BROKEN)] for name in setup.zones}
        setup.adapter.down = set(setup.zones)
        assert len(await crash_until_held(setup, kind)) == 3
        # Refused at once, without a retry delay.
        assert await ask(setup, kind) == (502, "held_after_crashes", None)
        assert setup.outcomes[-1] == "held_after_crashes"

    asyncio.run(scenario())


def test_a_replica_that_only_drops_connections_does_not_hold_a_request():
    async def scenario():
        setup = world("a a a", "p")
        setup.adapter.scripts = {name: [failing(BROKEN)] for name in setup.zones}
        for _ in range(6):
            assert (await ask(setup, RequestKind.ONCE))[1] != "held_after_crashes"

    asyncio.run(scenario())


def test_a_held_stream_is_not_sent_to_another_replica():
    """The request is held because it crashed other replicas after their answers had begun."""

    async def scenario():
        setup = world("a a a", "m")
        setup.adapter.scripts = {name: [answers(200, stream(0, 2), BROKEN)] for name in setup.zones}
        for at in range(6):
            crash(setup, at, late=True)
        assert setup.quarantine.held(setup.now())
        assert (await ask(setup, RequestKind.STREAM))[0] == 502

    asyncio.run(scenario())


def test_a_request_that_is_held_while_it_waits_at_a_replica_is_stopped():
    """Otherwise it would start at the replica and crash it."""

    async def scenario():
        setup = world("a a", "m")
        setup.adapter.scripts = {name: [answers(200, 3.0, event(0))] for name in setup.zones}
        asking = asyncio.create_task(ask(setup, RequestKind.STREAM))
        await wait_until(lambda: setup.adapter.sent)
        await asyncio.sleep(0.0)
        for at in range(3):
            crash(setup, at)
        # The head of the answer was passed on, so that the stream is cut.
        assert await asking == (0, "held_after_crashes", None)

    asyncio.run(scenario())


# A part that replicas crash under, and one that its requests share with sound ones.
DEADLY, SHARED = 21, 22
_numbers = itertools.count(100)


def new_request(*parts: int) -> RequestFeatures:
    """Return a request with these parts and one of its own."""
    number = next(_numbers)
    return RequestFeatures(number, (*parts, number + 100_000))


def crash_under(setup: World, *parts: int, replica: str) -> None:
    now = setup.now()
    setup.quarantine.note_crash(new_request(*parts), replica, now - 0.1, now, False, now)


@pytest.mark.parametrize("kind", list(RequestKind))
def test_new_request_with_a_part_under_which_replicas_crash_is_told_that_it_has_not_run(kind):
    async def scenario():
        setup = world("a a", "m" if kind is RequestKind.STREAM else "p")
        for number in range(3):
            crash_under(setup, SHARED, DEADLY, replica=f"r{number}")
        status, reason, retry_after_s = await ask(setup, kind, new_request(SHARED, DEADLY))
        assert (status, reason) == (503, "held_after_crashes")
        assert retry_after_s == pytest.approx(3600.0, abs=1.0)
        assert setup.adapter.sent == []
        await ask(setup, kind, new_request(SHARED))
        assert len(setup.adapter.sent) == 1

    asyncio.run(scenario())


def test_request_with_the_part_that_was_sent_before_is_told_that_it_may_have_run():
    async def scenario():
        setup = world("a a", "p")
        for number in range(2):
            crash_under(setup, DEADLY, replica=f"r{number}")
        setup.adapter.scripts = {name: [failing(BROKEN)] for name in setup.zones}
        setup.adapter.down = set(setup.zones)
        found = await ask(setup, RequestKind.REPEATABLE, new_request(DEADLY))
        assert found == (502, "held_after_crashes", None)
        assert len(setup.adapter.sent) == 1

    asyncio.run(scenario())


def test_replica_that_crashes_just_after_the_first_event_counts_as_much_as_one_before():
    async def scenario():
        setup = world("a a a", "m")
        setup.adapter.scripts = {name: [answers(200, event(0), BROKEN)] for name in setup.zones}
        setup.adapter.down = set(setup.zones)
        for number in range(2):
            crash_under(setup, DEADLY, replica=f"r{number}")
        await ask(setup, RequestKind.STREAM, new_request(DEADLY))
        await wait_until(lambda: setup.quarantine.held(setup.now()))

    asyncio.run(scenario())


def test_stream_that_goes_on_clears_the_parts_that_it_shares_with_those_that_crash():
    async def scenario():
        setup = world("a a", "m")
        for number in range(3):
            crash_under(setup, SHARED, DEADLY, replica=f"r{number}")
        events = answers(200, event(0), EARLY_CRASH_S + 0.1, event(1), 60.0)
        setup.adapter.scripts = {name: [events] for name in setup.zones}
        asking = asyncio.create_task(ask(setup, RequestKind.STREAM, new_request(SHARED)))
        await wait_until(lambda: SHARED not in setup.quarantine.suspects)
        assert DEADLY in setup.quarantine.suspects
        asking.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("status", [404, 500, 504])
def test_request_is_still_suspect_after_an_answer_that_does_not_show_that_it_ran(status):
    async def scenario():
        setup = world("a a", "p")
        crash(setup, 1)
        setup.adapter.scripts = {name: [answers(status, b"no")] for name in setup.zones}
        await ask(setup, RequestKind.ONCE)
        assert GUILTY.fingerprint in setup.quarantine.suspects

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.REPEATABLE])
def test_whole_answer_clears_the_parts_that_it_shares_with_those_that_crash(kind):
    async def scenario():
        setup = world("a a", "p")
        crash_under(setup, SHARED, DEADLY, replica="r1")
        await ask(setup, kind, new_request(SHARED))
        assert SHARED not in setup.quarantine.suspects
        assert DEADLY in setup.quarantine.suspects

    asyncio.run(scenario())


def test_request_that_waits_for_a_replica_is_refused_when_its_part_becomes_held():
    async def scenario():
        setup = world("a a", "p")
        waiting = asyncio.Event()

        async def wait_for_ever(request, tried):
            waiting.set()
            await asyncio.Event().wait()

        setup.runner._dispatcher._waiting_placer.place_or_wait = wait_for_ever
        asking = asyncio.create_task(ask(setup, RequestKind.ONCE, new_request(DEADLY)))
        await waiting.wait()
        for number in range(3):
            crash_under(setup, DEADLY, replica=f"r{number}")
        status, reason, _ = await asking
        assert (status, reason) == (503, "held_after_crashes")

    asyncio.run(scenario())


def test_stream_is_not_resumed_elsewhere_once_its_part_is_held():
    async def scenario():
        setup = world("a a", "m")
        for number in range(3):
            crash_under(setup, DEADLY, replica=f"r{number}")
        request = setup.request(RequestKind.STREAM)
        request.relay.features = new_request(DEADLY)
        replica = setup.directory.live("model")[0]
        resumed = Continuation(4, MovedMemory("r1:1", "handle"))
        with pytest.raises(HeldRequestError):
            await setup.runner._dispatcher.open(request, replica, resumed)
        assert setup.adapter.sent == []

    asyncio.run(scenario())
