"""Pace of replicas as observed in answers, events and calls, and its use in placement."""

import asyncio
import contextlib
import math
from collections import Counter
from random import Random

import pytest

from reachlink.requests import RequestFailedError
from reachlink.requests.tests.world import (
    PLAIN,
    FakeAnswer,
    SentRequest,
    World,
    answering,
    event,
    world,
    world_with_script,
)
from reachlink.routing import RequestKind
from reachlink.scheduling import NOMINAL_PACE, Pace, SchedulingSettings
from reachlink.testing import run_virtually
from reachlink.upstreams import AnswerHead, LoadSample

SHORT = 300
# Random seed with which three streams that are placed at once go to three replicas.
ONE_TO_EACH = 0
# Fraction of the calls that are placed by request counts, whatever the pace estimates are.
LOOK_SHARE = 0.01


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr("reachlink.requests.tests.world.steady_time", loop_time)


def play(made: World, *kinds: RequestKind, rounds: int = 1, tokens: int = 1000) -> float:
    """Run requests of some kinds concurrently, round by round; return the time at the end."""
    made.parts.clock = loop_time

    async def work() -> float:
        for _ in range(rounds):
            await asyncio.gather(*(made.run(kind, tokens, tokens) for kind in kinds))
        return loop_time()

    ended: float = run_virtually(work())
    made.parts.clock = lambda: ended
    return ended


def paces(made: World, service: str, names: str) -> list[float]:
    """Return the steady pace of some replicas; pace-aware scheduling must be on."""
    found = [
        made.tracker.paces.pace_if_reported(service, name, made.parts.clock())
        for name in names.split()
    ]
    return [(pace or NOMINAL_PACE).steady for pace in found]


def options(made: World) -> dict[str, Pace | None]:
    found = made.runner.placer.options.for_service(PLAIN, set())
    return {option.name: option.pace for option in found}


def telling(pace: float | None, *pieces: bytes | float):
    return answering(200, *(pieces or (b"whole",)), load=LoadSample(1, 0, 24, pace))


def events(count: int, apart_s: float) -> list[bytes | float]:
    return [piece for number in range(count) for piece in (event(number), apart_s)]


def test_first_reported_pace_is_used_for_next_decision():
    made = world("a a", p1=[telling(0.55)], p2=[telling(1.2)])
    play(made)
    assert options(made) == {"p1": None, "p2": None}
    play(made, RequestKind.REPEATABLE, rounds=12)
    found = options(made)
    assert [(found[name] or NOMINAL_PACE).steady for name in ("p1", "p2")] == [0.55, 1.2]


@pytest.mark.parametrize("pace,asked", [(None, True), (0.55, False)])
def test_placement_gets_no_pace_if_none_is_reported_or_setting_is_off(pace, asked):
    made = world_with_script("a a", script=telling(pace))
    made.parts.scheduling = SchedulingSettings(pace=asked)
    play(made, RequestKind.REPEATABLE)
    assert set(options(made).values()) == {None}


def test_restarted_replica_has_nominal_pace():
    made = world_with_script("a", script=telling(1.2))
    play(made, RequestKind.REPEATABLE)
    assert paces(made, "plain", "p1") == [1.2]
    made.tracker.reset_replica("p1")
    assert paces(made, "plain", "p1") == [1.0]


# In the second case, calls time out after 0.2 s, and the slow replica gets few of them.
@pytest.mark.parametrize("work_s,at_least", [(0.06, 2.0), (0.1, 1.5)])
def test_slow_replica_without_reports_is_detected_from_calls_within_a_second(work_s, at_least):
    made = world(
        "a a a",
        p1=[telling(1.0, work_s, b"whole")],
        p2=[telling(None, 2.5 * work_s, b"whole")],
        p3=[telling(None, work_s, b"whole")],
    )
    rounds = int(1.0 / min(0.2 + work_s, 2.5 * work_s))
    # Each replica gets a call in each round. The effect on placement is tested elsewhere.
    made.parts.scheduling = SchedulingSettings(pace=False)
    assert play(made, *[RequestKind.REPEATABLE] * 3, rounds=rounds) <= 1.0
    told, slow, quick = paces(made, "plain", "p1 p2 p3")
    assert slow > at_least * quick and slow > at_least * told


def test_slow_engine_that_reports_nominal_pace_is_detected_from_events():
    made = world(
        "a a a",
        "m",
        m1=[telling(1.0, *events(40, 0.03))],
        m2=[telling(1.0, *events(40, 0.08))],
        m3=[telling(1.0, *events(40, 0.03))],
    )
    made.parts.random = Random(ONE_TO_EACH)
    play(made, *[RequestKind.STREAM] * 3, tokens=SHORT)
    assert sorted(s.replica for s in made.adapter.sent) == ["m1", "m2", "m3"]
    assert paces(made, "model", "m1 m2 m3") == [1.0, pytest.approx(2.67, rel=0.05), 1.0]


def test_streams_are_spread_over_equal_replicas_by_power_of_two_choices():
    """The busier of two drawn replicas is chosen only if it is drawn twice.

    The first stream goes to any replica, the second to another one with probability 8/9, and
    the third to the idle one with probability 5/9.
    """
    plays = 400
    found = Counter(spread(Random(seed)) for seed in range(plays))
    shares = {(1, 1, 1): 40 / 81, (2, 1): 40 / 81, (3,): 1 / 81}
    assert found.keys() <= shares.keys()
    for counts, share in shares.items():
        # Three standard deviations.
        assert abs(found[counts] / plays - share) <= 3.0 * math.sqrt(share * (1 - share) / plays)


def spread(random: Random) -> tuple[int, ...]:
    """Return the numbers of the three streams at the replicas, in descending order."""
    made = world_with_script("a a a", "m", script=telling(1.0, *events(2, 0.03)))
    made.parts.random = random
    play(made, *[RequestKind.STREAM] * 3, tokens=SHORT)
    counts = Counter(sent.replica for sent in made.adapter.sent)
    return tuple(sorted(counts.values(), reverse=True))


def test_replica_that_is_known_to_be_slow_gets_only_probe_calls():
    """Calls are placed by the measured pace; one call in a hundred probes regardless of it."""
    before, after = Counter[str](), Counter[str]()
    for seed in range(10):
        sent_before, sent = calls_until_seen_and_after(Random(seed))
        before.update(sent_before)
        after.update(sent)
    assert before["p2"] <= before.total() / 3
    assert after.total() > 2_000 and after["p2"] <= LOOK_SHARE * after.total()


def calls_until_seen_and_after(random: Random) -> tuple[list[str], list[str]]:
    """Return the replicas of calls over 10 s, before and after `p2` is measured as slow.

    Slow means more than twice the time of the other replicas.
    """
    work_s = 0.06
    made = world(
        "a a a",
        p1=[telling(1.0, work_s, b"whole")],
        p2=[telling(None, 2.5 * work_s, b"whole")],
        p3=[telling(None, work_s, b"whole")],
    )
    made.parts.random, made.parts.clock = random, loop_time
    unseen: list[int] = []

    async def call() -> None:
        while loop_time() < 10.0:
            told, slow, quick = paces(made, "plain", "p1 p2 p3")
            if slow <= 2.0 * max(told, quick):
                unseen.append(len(made.adapter.sent))
            await made.run(RequestKind.REPEATABLE)

    async def three() -> None:
        await asyncio.gather(call(), call(), call())

    run_virtually(three())
    names = [sent.replica for sent in made.adapter.sent]
    return names[: unseen[-1] + 1], names[unseen[-1] + 1 :]


def test_call_that_waited_at_replica_is_not_measured():
    waits = answering(200, 0.05, b"whole", load=LoadSample(8, 3, 8))
    made = world("a a", p1=[telling(1.0)], p2=[waits])
    play(made, RequestKind.REPEATABLE, rounds=10)
    assert {s.replica for s in made.adapter.sent} == {"p1", "p2"}
    assert made.tracker.paces.count == 1


# A replica that reports to be fast is among the two drawn of four with probability 7/16.
@pytest.mark.parametrize("lie,truth,least,most", [(0.25, 2.5, 0.0, 0.45), (8.0, 1.0, 0.005, 0.02)])
def test_replica_with_wrong_report_gets_neither_all_nor_no_calls(lie, truth, least, most):
    sent: Counter[str] = Counter()
    for seed in range(10):
        sent.update(calls_beside_a_lie(Random(seed), lie, truth))
    assert least <= sent["p1"] / sent.total() <= most


def calls_beside_a_lie(random: Random, lie: float, truth: float) -> list[str]:
    """Return the replicas of six callers' calls in 10 s while `p1` reports a wrong pace."""
    works = {"p1": (lie, truth), **dict.fromkeys(("p2", "p3", "p4"), (1.0, 1.0))}
    scripts = {
        name: [answering(200, 0.06 * takes, b"whole", load=LoadSample(1, 0, 6, told))]
        for name, (told, takes) in works.items()
    }
    made = world("a a a a")
    made.adapter.scripts.update(scripts)
    made.parts.random, made.parts.clock = random, loop_time

    async def call() -> None:
        while loop_time() < 10.0:
            await made.run(RequestKind.REPEATABLE)

    async def six() -> None:
        await asyncio.gather(*(call() for _ in range(6)))

    run_virtually(six())
    return [one.replica for one in made.adapter.sent]


def test_hanging_replica_does_not_count_as_idle():
    """Its last load sample becomes outdated, but the requests sent to it since still count."""
    hung: Counter[bool] = Counter()
    for seed in range(5):
        hung.update(name == "p1" for name in calls_beside_one_that_hangs(Random(seed)))
    assert hung[True] <= 0.12 * hung.total()


def calls_beside_one_that_hangs(random: Random) -> list[str]:
    """Return the replicas of calls, 100 per second, in the second after `p1` starts to hang."""
    sent: list[str] = []

    async def script(call: SentRequest) -> FakeAnswer:
        if 2.0 < loop_time() < 3.0:
            sent.append(call.replica)
        if call.replica == "p1" and loop_time() > 2.0:
            await asyncio.sleep(60.0)
        await asyncio.sleep(0.1)
        return FakeAnswer(AnswerHead(200, load=LoadSample(1, 0, 6, 1.0)), [b"whole"])

    made = world_with_script("a a a a", script=script)
    made.parts.random, made.parts.clock = random, loop_time

    async def call(after_s: float) -> None:
        await asyncio.sleep(after_s)
        # Calls to the hanging replica time out.
        with contextlib.suppress(RequestFailedError):
            await made.run(RequestKind.ONCE, objective_s=0.3, timeout_s=3.0)

    async def all_calls() -> None:
        await asyncio.gather(*(call(0.01 * number) for number in range(300)))

    run_virtually(all_calls())
    return sent
