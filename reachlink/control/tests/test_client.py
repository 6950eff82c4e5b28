"""The client finds a living control instance and repeats only what may be repeated."""

import asyncio

import pytest

from reachlink.control import (
    ControlClient,
    FenceCommand,
    FenceResult,
    OutcomeUnknownError,
)
from reachlink.control._protocol import (
    AuditAnswer,
    AuditRequest,
    LostAnswer,
    MembersRequest,
    ProposeAnswer,
)
from reachlink.messaging import CallTimeoutError, encode

ADD = MembersRequest("add", "n4", "127.0.0.1:1", "z")


class FakeBus:
    """Answers by address; an address without an answer is silent."""

    def __init__(self, answers):
        self.answers = answers
        self.asked: list[str] = []

    async def call(self, address, channel, body, timeout_s):
        self.asked.append(address)
        if address not in self.answers:
            raise CallTimeoutError(address)
        return encode(self.answers[address])


def ask(client, request):
    return asyncio.run(client.request(request, 5.0))


def test_reads_move_on_from_a_dead_instance():
    """Found by a full run: a read waited its whole time for a killed voter."""
    bus = FakeBus({"b": AuditAnswer([])})
    client = ControlClient(bus, ["a", "b"])
    assert ask(client, AuditRequest(0, 1)) == AuditAnswer([])
    assert bus.asked == ["a", "b"]


def test_a_silent_instance_is_passed_over_for_a_while():
    bus = FakeBus({"b": LostAnswer("no leader"), "c": LostAnswer("no leader")})
    client = ControlClient(bus, ["a", "b", "c"])

    async def propose():
        await client.propose(FenceCommand("x", 1.0), 0.9)

    with pytest.raises(OutcomeUnknownError):
        asyncio.run(propose())
    assert bus.asked.count("a") == 1
    assert bus.asked.count("b") >= 2


def test_a_command_is_repeated_until_answered():
    bus = FakeBus({"b": ProposeAnswer(FenceResult(1, 7))})
    client = ControlClient(bus, ["a", "b"])
    result = asyncio.run(client.propose(FenceCommand("x", 1.0), 5.0))
    assert result == FenceResult(1, 7)


@pytest.mark.parametrize("answers", [{}, {"a": LostAnswer("leadership ended")}])
def test_a_membership_change_that_may_be_done_is_not_sent_again(answers):
    """Found by reading: a lost answer sent the change a second time."""
    bus = FakeBus(answers)
    with pytest.raises(OutcomeUnknownError):
        ask(ControlClient(bus, ["a", "b"]), ADD)
    assert bus.asked == ["a"]
