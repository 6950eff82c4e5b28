"""Requests that crash replicas, on each kind of route."""

import asyncio

import pytest

from reachlink.requests import RequestFailedError, StreamCutError
from reachlink.requests.tests.world import BROKEN, World, event, failing, stream, wait_until, world
from reachlink.requests.tests.world import answering as answers
from reachlink.routing import RequestKind

FINGERPRINT = 7


async def ask(setup: World, kind: RequestKind, **route):
    """Return the status, reason and retry delay that the caller gets."""
    try:
        await setup.run(kind, fingerprint=FINGERPRINT, **route)
    except RequestFailedError as error:
        return error.status, error.reason, error.retry_after_s
    except StreamCutError as error:
        return 0, error.reason, None
    return 200, "", None


def crash(setup: World, number: int, begun: bool = False) -> None:
    """Record that the request crashed replica `number` 0.1 s ago."""
    now = setup.now()
    setup.quarantine.note_crash(FINGERPRINT, f"r{number}", now - 0.1, now, begun, now)


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
            crash(setup, at, begun=True)
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
