"""The steady clock continues while the machine is suspended; the timer clock stops."""

import asyncio
import time
from pathlib import Path

from reachlink.kernel import SystemClock, steady_time, watch_suspensions

ROOT = Path(__file__).parents[2]
# These modules define the steady clock, or compare both clocks to detect suspensions.
EXEMPT = {"kernel/_clock.py", "kernel/_suspension.py"}


class SuspendableMachine:
    """Simulated clocks of a machine that can be suspended."""

    def __init__(self) -> None:
        self.awake_s = 50.0
        self.suspended_s = 7.0

    def boottime(self, clock: int = time.CLOCK_BOOTTIME) -> float:
        assert clock == time.CLOCK_BOOTTIME
        return self.awake_s + self.suspended_s

    def timers(self) -> float:
        return self.awake_s


def test_the_steady_clock_continues_while_the_machine_is_suspended(monkeypatch):
    machine = SuspendableMachine()
    monkeypatch.setattr(time, "clock_gettime", machine.boottime)
    monkeypatch.setattr(time, "monotonic", machine.timers)
    before = steady_time(), SystemClock().monotonic()
    machine.suspended_s += 30.0
    assert steady_time() - before[0] == 30.0
    assert SystemClock().monotonic() - before[1] == 30.0


def test_no_module_uses_the_clock_that_stops_during_suspensions():
    """No other module uses `time.monotonic`, which stops during a suspension."""
    assert _users_of_the_timer_clock() == []


def _users_of_the_timer_clock() -> list[str]:
    sources = [*ROOT.rglob("*.py"), *(ROOT.parent / "platform").rglob("*.py")]
    return [
        str(path)
        for path in sources
        if not {"tests", "testing"} & set(path.parts)
        and not any(str(path).endswith(name) for name in EXEMPT)
        and ("time.monotonic" in path.read_text() or "import monotonic" in path.read_text())
    ]


def test_a_suspension_is_reported_once_with_its_duration():
    machine = SuspendableMachine()
    suspensions: list[float] = []

    async def work():
        watch = asyncio.create_task(
            watch_suspensions(suspensions.append, machine.boottime, machine.timers)
        )
        await asyncio.sleep(0.15)
        assert suspensions == []
        machine.suspended_s += 4.0
        machine.awake_s += 0.3
        await asyncio.sleep(0.25)
        watch.cancel()

    asyncio.run(work())
    assert [round(seconds, 6) for seconds in suspensions] == [4.0]
