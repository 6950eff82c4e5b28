"""A generation that was replaced is cancelled until its engine has answered."""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from reachlink.entry._cancellation import GIVE_UP_AFTER_S, Cancellation
from reachlink.membership import ListedInstance, ReplicaDirectory
from reachlink.pacing import PacingTracker
from reachlink.testing import run_virtually
from reachlink.upstreams import Replica, UpstreamBrokenError, UpstreamUnreachableError

ENGINE = Replica("m1", "model", "a", "127.0.0.1:1")


@dataclass
class Engine:
    """Engine that fails the first attempts to cancel."""

    failures: list[Exception | None] = field(default_factory=list)
    attempts: int = 0

    async def cancel(self, replica: Replica, generation: str, if_detached: bool) -> None:
        self.attempts += 1
        failure = self.failures.pop(0) if self.failures else None
        if isinstance(failure, TimeoutError):
            await asyncio.Event().wait()
        if failure is not None:
            raise failure


@dataclass
class Log:
    events: list[str] = field(default_factory=list)

    def info(self, event: str, **fields: Any) -> None:
        self.events.append(event)


def cancel(engine: Engine, listed: bool = True) -> tuple[bool, Log, float]:
    """Cancel a generation; return whether the engine answered, the log, and the time it took."""
    log = Log()

    async def scenario():
        def clock() -> float:
            return asyncio.get_running_loop().time()

        directory = ReplicaDirectory()
        if listed:
            one = ListedInstance("m1", "model", "a", ENGINE.address)
            directory.update([one], clock())
        cancellation = Cancellation(directory, PacingTracker(Random(1)), log, clock)
        answered = await cancellation.run(engine, ENGINE, "g1")
        return answered, log, clock()

    return run_virtually(scenario())


@pytest.mark.parametrize(
    "failure",
    [UpstreamUnreachableError("refused"), UpstreamBrokenError("reset"), TimeoutError()],
    ids=["unreachable", "broken", "silent"],
)
def test_a_generation_is_cancelled_again_until_its_engine_answers(failure):
    engine = Engine([failure, failure, failure])
    answered, log, _ = cancel(engine)
    assert answered and engine.attempts == 4
    assert log.events == ["generation_not_cancelled", "generation_cancelled"]


def test_an_engine_that_never_answers_is_given_up():
    engine = Engine([UpstreamBrokenError("reset")] * 1000)
    answered, log, took_s = cancel(engine)
    assert not answered and log.events[-1] == "generation_given_up"
    assert took_s <= GIVE_UP_AFTER_S + 2.0


def test_an_engine_that_is_gone_gets_nothing():
    engine = Engine()
    answered, log, _ = cancel(engine, listed=False)
    assert not answered and not engine.attempts and log.events == ["generation_given_up"]
