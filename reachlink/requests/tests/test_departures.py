"""Estimated shutdown times, and prompts that wait while a generation resumes."""

import asyncio
from random import Random

import pytest

from reachlink.kernel import steady_time
from reachlink.requests import (
    Allocation,
    LoadUpdate,
    PeerLoad,
    ReplicaTracker,
    ReplicaUsage,
    ShutdownTimes,
)
from reachlink.requests._load_updates import RESUME_TOLERANCE_S
from reachlink.requests._shutdown_times import INITIAL_REPORT_AGE_S, RETENTION_S, SHUTDOWN_NOTICE_S
from reachlink.requests.tests.world import answering, stream, world_with_script
from reachlink.routing import RequestKind
from reachlink.scheduling import ReplicaOption, choose_replica, prefill_ends_before_resume


@pytest.mark.parametrize("notice_s", [0.5, 1.2, 2.5])
def test_length_of_shutdown_notices_is_learned(notice_s):
    times = ShutdownTimes()
    for number in range(20):
        name = f"r{number}"
        times.note_leaving(name, 100.0 * number)
        times.note_gone(name, 100.0 * number + notice_s)
    times.note_leaving("next", 9000.0)
    learned = times.expected_at("next") - 9000.0
    plausible = abs(notice_s - SHUTDOWN_NOTICE_S) <= 1.0
    assert abs(learned - (notice_s if plausible else SHUTDOWN_NOTICE_S)) < 0.05


def test_reported_time_takes_precedence_over_usual_notice():
    times = ShutdownTimes()
    times.note_leaving("r1", 10.0)
    times.note_reported_time("r1", 10.6, leaves_in_s=4.0)
    assert times.expected_at("r1") == 14.6 - INITIAL_REPORT_AGE_S
    assert times.has_reported_time("r1")


def test_age_of_reports_is_learned():
    times = ShutdownTimes()
    for number in range(20):
        name, at = f"r{number}", 100.0 * number
        times.note_reported_time(name, at, leaves_in_s=2.0)
        times.note_gone(name, at + 1.3)
    times.note_reported_time("next", 9000.0, leaves_in_s=3.0)
    assert abs(times.expected_at("next") - 9002.3) < 0.01


def test_nothing_is_learned_from_crash_at_implausible_time():
    times = ShutdownTimes()
    times.note_leaving("r1", 10.0)
    times.note_gone("r1", 18.0)
    times.note_gone("r9", 18.0)
    times.note_leaving("r2", 20.0)
    assert times.expected_at("r2") == 20.0 + SHUTDOWN_NOTICE_S
    assert times.expected_at("r9") is None


def test_old_shutdown_notices_are_dropped():
    times = ShutdownTimes()
    times.note_leaving("r1", 10.0)
    times.note_leaving("r2", 10.0 + RETENTION_S)
    assert times.expected_at("r1") is None


def test_replica_at_which_generation_resumes_is_avoided():
    def option(joins_in_s: float | None) -> ReplicaOption:
        return ReplicaOption("r", True, 0, 8, resumes_in_s=joins_in_s)

    assert prefill_ends_before_resume(option(None), 0.35)
    assert prefill_ends_before_resume(option(0.5), 0.35)
    assert not prefill_ends_before_resume(option(0.2), 0.35)
    assert not prefill_ends_before_resume(option(-RESUME_TOLERANCE_S / 2), 0.35)
    assert choose_replica([option(0.2)], 0, Random(1)) == "r"


def test_other_instances_receive_the_time_at_which_a_generation_resumes():
    tracker = ReplicaTracker()
    tracker.add("r1", Allocation("g1", 3000, is_copy=True, resumes_at=12.0))
    tracker.add("r1", Allocation("g2", 3000, is_copy=True, resumes_at=9.0))
    (usage,) = tracker.usages(10.0)
    assert usage.resumes_in_s == 2.0
    peer_load = PeerLoad()
    peer_load.update(LoadUpdate("e1", [usage]), 10.1)
    peer_load.update(LoadUpdate("e2", [ReplicaUsage("r1", 1, 3000, resumes_in_s=1.0)]), 10.1)
    assert peer_load.usage_at("r1", 10.6).resumes_in_s == pytest.approx(0.5)
    assert peer_load.usage_at("r1", 11.6).resumes_in_s == pytest.approx(0.5)
    assert peer_load.usage_at("r1", 12.9).resumes_in_s is None


def test_prompt_waits_until_generation_has_resumed_and_is_not_refused():
    async def play() -> tuple[float, bytes]:
        world = world_with_script("a", "m", script=answering(200, stream(1, 2)))
        loop = asyncio.get_running_loop()
        began = loop.time()
        world.tracker.add("m1", Allocation("g1", 3000, is_copy=True, resumes_at=began + 0.05))
        sink = await world.run(RequestKind.STREAM, output_tokens=10)
        return loop.time() - began, sink.body

    passed, body = asyncio.run(play())
    assert body == stream(1, 2)
    assert passed >= 0.05


def test_generation_that_never_resumes_delays_prompts_only_briefly():
    async def play() -> bytes:
        world = world_with_script("a", "m", script=answering(200, stream(1, 2)))
        now = steady_time()
        world.runner._parts.tracker.add(
            "m1", Allocation("g1", 3000, is_copy=True, resumes_at=now + 0.3)
        )
        world.runner._parts.tracker.add(
            "m1", Allocation("g2", 3000, is_copy=True, resumes_at=now + 0.6)
        )
        return (await world.run(RequestKind.STREAM, output_tokens=10)).body

    assert asyncio.run(play()) == stream(1, 2)
