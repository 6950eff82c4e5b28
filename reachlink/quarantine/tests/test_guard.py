"""Tests of the crash guard: broken connections that count as crashes, requests it stops."""

import asyncio
from random import Random

import pytest

from reachlink.quarantine import BrokenRun, CrashGuard, HeldRequestError, Quarantine
from reachlink.upstreams import (
    Replica,
    RequestFeatures,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

REPLICA = Replica("r1", "chat", "a", "r1:1")
GUILTY = RequestFeatures(1)


class Port:
    """Port of a replica with scripted results of probes; the last result repeats."""

    def __init__(self, *results: Exception | None) -> None:
        self.results = list(results)
        self.probe_count = 0

    async def touch(self, replica: Replica) -> None:
        self.probe_count += 1
        found = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        if found is not None:
            raise found


REFUSED = UpstreamUnreachableError("refused")
SILENT = UpstreamUnreachableError("silent")
SILENT.__cause__ = TimeoutError()


def broken(number: int = 0) -> BrokenRun:
    at = float(number)
    return BrokenRun(f"id-{number}", GUILTY, REPLICA, at + 0.8, at + 0.9)


def count_crashes(port: Port, runs: int = 1) -> int:
    """Return the number of crashes against a request after consecutive broken runs."""
    quarantine = Quarantine(Random(1), crashes_to_hold=1.0)

    async def work() -> int:
        guard = CrashGuard(quarantine, port.touch, lambda: 10.0)
        for number in range(runs):
            guard.on_broken(broken(number))
        # Three probes, 0.1 s apart.
        await asyncio.sleep(0.35)
        verdict = quarantine.verdict(GUILTY, 10.0)
        return len(verdict.crashes) if verdict else 0

    return asyncio.run(work())


@pytest.mark.parametrize(
    ("found", "crashes"),
    [
        ((REFUSED,), 1),
        ((UpstreamBrokenError("closed at once"),), 1),
        # The process closes its connections first and its port some milliseconds later.
        ((None, REFUSED), 1),
        # A reset in the network, or a replica that fails some of its requests.
        ((None,), 0),
        # A network partition: the state of the replica is unknown.
        ((SILENT,), 0),
        ((SILENT, REFUSED), 1),
    ],
)
def test_only_a_closed_port_is_a_crash(found, crashes):
    assert count_crashes(Port(*found)) == crashes


def test_restart_of_replica_that_answered_the_probe_is_a_crash():
    """The replica restarted before the probe; its start time, known later, shows the crash."""
    quarantine = Quarantine(Random(1), crashes_to_hold=1.0)
    now = [1.0]

    async def work() -> None:
        guard = CrashGuard(quarantine, Port(None).touch, lambda: now[0])
        guard.on_broken(broken())
        await asyncio.sleep(0.35)
        assert quarantine.held(now[0]) == []
        guard.on_replica_restarted("r2")
        assert quarantine.held(now[0]) == []
        guard.on_replica_restarted("r1")
        assert [verdict.fingerprint for verdict in quarantine.held(now[0])] == [GUILTY.fingerprint]

    asyncio.run(work())


def test_suspect_request_waits_for_running_crash_check():
    """Without the wait, a request whose third replica has just crashed could crash a fourth."""
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0):
        quarantine.note_crash(GUILTY, f"r{at}", at - 0.1, at, False, at)

    async def work() -> None:
        guard = CrashGuard(quarantine, Port(REFUSED).touch, lambda: 10.0)
        guard.on_broken(broken(5))
        guard.check(GUILTY, "id-1")
        await guard.admit(RequestFeatures(2), "other")
        with pytest.raises(HeldRequestError):
            await guard.admit(GUILTY, "id-2")

    asyncio.run(work())


def test_restart_long_after_broken_connection_is_no_crash():
    quarantine = Quarantine(Random(1), crashes_to_hold=1.0)
    now = [1.0]

    async def work() -> None:
        guard = CrashGuard(quarantine, Port(None).touch, lambda: now[0])
        guard.on_broken(broken())
        await asyncio.sleep(0.35)
        now[0] = 60.0
        guard.on_replica_restarted("r1")
        assert quarantine.held(now[0]) == []

    asyncio.run(work())


def test_runs_broken_together_share_one_probe():
    port = Port(REFUSED)
    assert count_crashes(port, runs=8) == 8
    assert port.probe_count == 1


def hold(quarantine: Quarantine) -> None:
    for at in (1.0, 2.0, 3.0):
        quarantine.note_crash(GUILTY, f"r{at}", at - 0.1, at, False, at)


def test_waiting_request_is_stopped_when_it_becomes_held():
    async def work():
        quarantine = Quarantine(Random(1))
        guard = CrashGuard(quarantine, Port(None).touch, lambda: 10.0)
        waiting = asyncio.create_task(wait(guard))
        other = asyncio.create_task(wait(guard, RequestFeatures(2)))
        begun = asyncio.create_task(wait(guard, may_stop=False))
        await asyncio.sleep(0.0)
        hold(quarantine)
        with pytest.raises(HeldRequestError):
            await waiting
        assert not other.done()
        assert not begun.done()
        for task in (other, begun):
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

    asyncio.run(work())


async def wait(
    guard: CrashGuard, features: RequestFeatures = GUILTY, may_stop: bool = True
) -> None:
    async with guard.watched(features, lambda: may_stop):
        await asyncio.Event().wait()


def test_cancellation_by_caller_is_not_reported_as_held():
    async def work():
        guard = CrashGuard(Quarantine(Random(1)), Port(None).touch)
        task = asyncio.create_task(wait(guard))
        await asyncio.sleep(0.0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(work())


def test_complete_answer_clears_request():
    quarantine = Quarantine(Random(1))

    async def work():
        guard = CrashGuard(quarantine, Port(None).touch, lambda: 10.0)
        hold(quarantine)
        with pytest.raises(HeldRequestError):
            guard.check(GUILTY, "id-1")
        guard.on_answer(GUILTY, begun_at=9.0)
        guard.check(GUILTY, "id-2")

    asyncio.run(work())


def test_repeated_verdicts_stop_request_once():
    """At the second verdict, the request is already being cancelled."""

    async def work():
        quarantine = Quarantine(Random(1))
        guard = CrashGuard(quarantine, Port(None).touch, lambda: 10.0)
        waiting = asyncio.create_task(linger(guard))
        await asyncio.sleep(0.0)
        for _ in range(3):
            hold(quarantine)
            await asyncio.sleep(0.0)
            quarantine.note_sound(GUILTY, 10.0, True, 10.0)
        with pytest.raises(HeldRequestError):
            await waiting

    asyncio.run(work())


async def linger(guard: CrashGuard) -> None:
    """Wait, and take 0.05 s to end when stopped."""
    async with guard.watched(GUILTY):
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.05)


def with_part(number: int, part: int) -> RequestFeatures:
    return RequestFeatures(number, (part,))


def test_new_request_waits_for_the_crash_check_that_may_hold_its_part():
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0):
        quarantine.note_crash(with_part(int(at), 9), f"r{at}", at - 0.1, at, False, at)

    async def work() -> None:
        guard = CrashGuard(quarantine, Port(REFUSED).touch, lambda: 10.0)
        guard.on_broken(BrokenRun("id-3", with_part(3, 9), REPLICA, 5.0, 5.1))
        await guard.admit(with_part(4, 8), "other")
        with pytest.raises(HeldRequestError) as held:
            await guard.admit(with_part(5, 9), "id-5")
        assert not held.value.whole

    asyncio.run(work())


def test_waiting_request_is_stopped_when_its_part_becomes_held():
    async def work() -> None:
        quarantine = Quarantine(Random(1))
        guard = CrashGuard(quarantine, Port(None).touch, lambda: 10.0)
        waiting = asyncio.create_task(wait(guard, with_part(4, 9)))
        other = asyncio.create_task(wait(guard, with_part(5, 8)))
        await asyncio.sleep(0.0)
        for at in (1.0, 2.0, 3.0):
            quarantine.note_crash(with_part(int(at), 9), f"r{at}", at - 0.1, at, False, at)
        with pytest.raises(HeldRequestError):
            await waiting
        assert not other.done()
        other.cancel()

    asyncio.run(work())
