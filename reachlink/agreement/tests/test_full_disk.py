"""A replica with a full disk retries its writes and acknowledges nothing meanwhile."""

import asyncio
import errno

import pytest

from reachlink.agreement import Member, NotLeaderError, ReplicaService, Storage
from reachlink.agreement._files import Files
from reachlink.kernel import SystemClock

OWN = Member("n1", "n1:1", "zone", True)


class LimitedDisk(Files):
    """Disk that, while full, writes half of the data and then raises ENOSPC."""

    def __init__(self) -> None:
        self.full = False
        self.refused = 0

    def write(self, descriptor: int, data: bytes) -> None:
        if not self.full:
            super().write(descriptor, data)
            return
        self.refused += 1
        super().write(descriptor, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "No space left on device")


class Machine:
    """State machine that records the applied commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, term: int, command: bytes) -> int:
        self.commands.append(command)
        return len(self.commands)

    def on_members(self, index: int, members: list[Member]) -> None:
        pass

    def snapshot(self) -> bytes:
        return b""

    def restore(self, data: bytes) -> None:
        pass


async def wait_until(condition) -> None:
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_writes_are_retried_while_the_disk_is_full_and_nothing_is_acknowledged(tmp_path):
    disk = LimitedDisk()

    async def scenario() -> None:
        storage = Storage(tmp_path, disk)
        loaded = storage.load()
        loaded.log.snapshot_members = [OWN]
        machine = Machine()
        send = lambda address, payload: None  # noqa: E731
        service = ReplicaService("n1", storage, loaded, machine, send, SystemClock())
        running = asyncio.create_task(service.run())
        await wait_until(lambda: service.core.is_leader)
        assert await service.propose(b"one") == 1

        disk.full = True
        pending = asyncio.create_task(service.propose(b"two"))
        await wait_until(lambda: disk.refused >= 2)
        assert not pending.done() and not running.done()
        with pytest.raises(NotLeaderError):
            await service.propose(b"three")

        disk.full = False
        assert await pending == 2
        assert await service.propose(b"four") == 3
        running.cancel()
        await asyncio.wait({running})
        storage.close()

    asyncio.run(scenario())
    storage = Storage(tmp_path)
    kept = [entry.data for entry in storage.load().log.entries if entry.data]
    storage.close()
    assert kept == [b"one", b"two", b"four"]
