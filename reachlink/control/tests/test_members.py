"""Operators' changes of the membership, at a leader that is the only voter."""

import asyncio

import pytest

from reachlink.agreement import Member, ReplicaService, Storage
from reachlink.control import ControlMachine
from reachlink.control._protocol import MembersAnswer, MembersRequest, RefusedAnswer
from reachlink.control._server import ControlServer
from reachlink.kernel import SystemClock

OWN = Member("n1", "n1:1", "zone", True)


class SilentBus:
    """Bus on which nobody answers."""

    def send(self, address: str, channel: str, body: bytes) -> None:
        pass


@pytest.fixture
def with_leader(tmp_path):
    """Run a scenario with the service and the server of the only voter."""

    async def scenario(work):
        storage = Storage(tmp_path)
        loaded = storage.load()
        loaded.log.snapshot_members = [OWN]
        machine = ControlMachine()
        clock = SystemClock()
        send = lambda address, payload: None  # noqa: E731
        service = ReplicaService("n1", storage, loaded, machine, send, clock)
        server = ControlServer(service, machine, storage, SilentBus(), clock)
        running = asyncio.create_task(service.run())
        async with asyncio.timeout(10.0):
            while not service.core.is_leader or not service.applied:
                await asyncio.sleep(0.01)
            await work(service, server)
        running.cancel()
        await asyncio.wait({running})
        storage.close()

    return lambda work: asyncio.run(scenario(work))


def test_a_promotion_whose_answer_was_lost_is_acknowledged_when_it_is_sent_again(with_leader):
    async def work(service, server):
        before = service.core.state.log.last_index
        assert await server.answer(MembersRequest("promote", "n1")) == MembersAnswer([OWN])
        assert service.core.state.log.last_index == before

    with_leader(work)


def test_a_promotion_is_not_acknowledged_before_the_membership_is_synced(with_leader):
    async def work(service, server):
        members = [OWN, Member("n2", "n2:1", "zone", False)]
        service.core.propose_members(members, SystemClock().monotonic())
        refused = await server.answer(MembersRequest("promote", "n1"))
        assert refused == RefusedAnswer("the previous change is not committed yet", "n1:1")

    with_leader(work)


def test_refused_changes_do_not_fill_the_log(with_leader):
    async def work(service, server):
        added = await server.answer(MembersRequest("add", "n2", "n2:1", "zone"))
        assert isinstance(added, MembersAnswer)
        before = service.core.state.log.last_index
        refused = await server.answer(MembersRequest("promote", "n2"))
        assert refused == RefusedAnswer("n2 has not caught up yet", "n1:1")
        assert service.core.state.log.last_index == before

    with_leader(work)
