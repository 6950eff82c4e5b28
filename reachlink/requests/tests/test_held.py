"""A request that replicas crash under, on each kind of route."""

import asyncio

import pytest

from reachlink.requests import RequestFailedError, StreamCutError
from reachlink.requests.tests.world import BROKEN, World, event, failing, stream, wait_until, world
from reachlink.requests.tests.world import answering as answers
from reachlink.routing import RequestKind

FINGERPRINT = 7


async def ask(made: World, kind: RequestKind, **route):
    """Return the status, reason and time to come back that a caller is told."""
    try:
        await made.run(kind, fingerprint=FINGERPRINT, **route)
    except RequestFailedError as error:
        return error.status, error.reason, error.retry_after_s
    except StreamCutError as error:
        return 0, error.reason, None
    return 200, "", None


def crash(made: World, number: int, begun: bool = False) -> None:
    """Note a crash of a replica of its own under the request, a moment ago."""
    now = made.now()
    made.quarantine.note_crash(FINGERPRINT, f"r{number}", now - 0.1, now, begun, now)


async def crash_until_held(made: World, kind: RequestKind, **route) -> list[str]:
    """Ask until nothing is sent any more; return where the request was sent."""
    for _ in range(10):
        sent = len(made.adapter.sent)
        await ask(made, kind, **route)
        if len(made.adapter.sent) == sent:
            break
        # What the breaks mean is found out: each replica that got it was looked at.
        await wait_until(
            lambda: set(made.adapter.touched) >= {s.replica for s in made.adapter.sent}
        )
        await asyncio.sleep(0.0)
        # Replicas come back, trusted, as if other requests had gone well there.
        for name in made.zones:
            made.book.state(name).health.on_success(made.now())
    return [one.replica for one in made.adapter.sent]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_request_goes_to_three_replicas_that_crash_and_no_more(kind):
    prefix = "m" if kind is RequestKind.STREAM else "p"

    async def work():
        made = world("a a a a a", prefix)
        made.adapter.scripts = {name: [failing(BROKEN)] for name in made.zones}
        made.adapter.down = set(made.zones)
        assert len(await crash_until_held(made, kind)) == 3
        # Told at once, finally, and without a time to come back.
        assert await ask(made, kind) == (502, "held_after_crashes", None)
        assert made.outcomes[-1] == "held_after_crashes"

    asyncio.run(work())


def test_a_replica_that_only_drops_connections_holds_nothing():
    async def work():
        made = world("a a a", "p")
        made.adapter.scripts = {name: [failing(BROKEN)] for name in made.zones}
        for _ in range(6):
            assert (await ask(made, RequestKind.ONCE))[1] != "held_after_crashes"

    asyncio.run(work())


def test_a_stream_whose_copy_would_crash_the_next_replica_is_cut():
    """Held meanwhile: what its caller has is broken off, not ended as if it were whole."""

    async def work():
        made = world("a a a", "m")
        made.adapter.scripts = {name: [answers(200, stream(0, 2), BROKEN)] for name in made.zones}
        for at in range(6):
            crash(made, at, begun=True)
        assert made.quarantine.held(made.now())
        assert (await ask(made, RequestKind.STREAM))[0] == 502

    asyncio.run(work())


def test_one_that_waits_at_a_replica_is_stopped():
    """It would begin there in a moment, and crash it."""

    async def work():
        made = world("a a", "m")
        made.adapter.scripts = {name: [answers(200, 3.0, event(0))] for name in made.zones}
        asking = asyncio.create_task(ask(made, RequestKind.STREAM))
        await wait_until(lambda: made.adapter.sent)
        await asyncio.sleep(0.0)
        for at in range(3):
            crash(made, at)
        # The head of its answer was given: the rest is broken off.
        assert await asking == (0, "held_after_crashes", None)

    asyncio.run(work())
