"""What operators are told of held requests, whichever entry instance answers."""

import asyncio
from random import Random

import pytest

from reachlink.control._held_requests import HeldRequests
from reachlink.control._protocol import QuarantineAnswer, RefusedAnswer, ReleaseAnswer
from reachlink.membership import InstanceRecord
from reachlink.messaging import CallTimeoutError, encode
from reachlink.quarantine import CHANNEL_QUARANTINE, Quarantine
from reachlink.upstreams import RequestFeatures

ENTRIES = [InstanceRecord(name, f"{name}:1", "a") for name in ("e1", "e2")]


class Clock:
    def monotonic(self) -> float:
        return 10.0


class Bus:
    """Entry instances of which some are silent."""

    def __init__(self, *silent: str) -> None:
        self.silent = silent
        self.quarantine = Quarantine(Random(1))
        for at in (1.0, 2.0, 3.0):
            self.quarantine.note_crash(RequestFeatures(255), f"r{at:.0f}", at - 0.1, at, False, at)

    async def call(self, address: str, channel: str, body: bytes, timeout_s: float) -> bytes:
        if address in self.silent:
            raise CallTimeoutError(f"{channel} at {address}")
        if channel == CHANNEL_QUARANTINE:
            return encode(self.quarantine.everything(10.0))
        return encode(True)


def asked(*silent: str) -> HeldRequests:
    return HeldRequests(Bus(*silent), lambda: ENTRIES, Clock())  # type: ignore[arg-type]


@pytest.mark.parametrize(("silent", "answers"), [((), "e1"), (("e1:1",), "e2")])
def test_what_is_held_and_why(silent, answers):
    found = asyncio.run(asked(*silent).show())
    assert isinstance(found, QuarantineAnswer)
    assert found.instance == answers
    (held,) = found.held
    assert (held.fingerprint, held.crashes) == ("00000000000000ff", 3)
    assert held.replicas == ["r1", "r2", "r3"]
    assert (held.first_crash_s_ago, held.last_crash_s_ago) == (9.0, 7.0)


def test_a_release_goes_to_one_that_answers():
    assert asyncio.run(asked("e1:1").release(255)) == ReleaseAnswer(True)


def test_where_nobody_answers_the_operator_learns_why():
    found = asyncio.run(asked("e1:1", "e2:1").show())
    assert isinstance(found, RefusedAnswer)
    assert "e2" in found.reason
