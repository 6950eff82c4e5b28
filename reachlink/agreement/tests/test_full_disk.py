"""A replica with a full disk retries its writes and acknowledges nothing meanwhile."""

import asyncio
import errno

import pytest

from reachlink.agreement import Member, NotLeaderError, ReplicaService, Storage, _service
from reachlink.agreement._files import Files
from reachlink.kernel import SystemClock

OWN = Member("n1", "n1:1", "zone", True)
MAX_ENTRY_WRITE_BYTES = 200


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
        await wait_until(lambda: not service.has_leader_contact)
        with pytest.raises(NotLeaderError):
            await service.propose(b"three")

        disk.full = False
        assert await pending == 2
        assert service.has_leader_contact
        assert await service.propose(b"four") == 3
        running.cancel()
        await asyncio.wait({running})
        storage.close()

    asyncio.run(scenario())
    storage = Storage(tmp_path)
    kept = [entry.data for entry in storage.load().log.entries if entry.data]
    storage.close()
    assert kept == [b"one", b"two", b"four"]


class NoRoomForSnapshots(Files):
    """Disk that, while full, has room for entries but not for a snapshot."""

    def __init__(self) -> None:
        self.full = True
        self.refused = 0

    def write(self, descriptor: int, data: bytes) -> None:
        if self.full and len(data) > MAX_ENTRY_WRITE_BYTES:
            self.refused += 1
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)


class LargeMachine(Machine):
    """State machine whose snapshot is larger than any of its commands."""

    def snapshot(self) -> bytes:
        return bytes(2 * MAX_ENTRY_WRITE_BYTES)


def test_a_replica_without_room_for_a_snapshot_goes_on_and_saves_it_once_there_is(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(_service, "MIN_SNAPSHOT_ENTRIES", 4)
    monkeypatch.setattr(_service, "SNAPSHOT_RETRY_INTERVAL_S", 0.05)
    disk = NoRoomForSnapshots()

    async def scenario() -> None:
        storage = Storage(tmp_path, disk)
        loaded = storage.load()
        loaded.log.snapshot_members = [OWN]
        send = lambda address, payload: None  # noqa: E731
        service = ReplicaService("n1", storage, loaded, LargeMachine(), send, SystemClock())
        running = asyncio.create_task(service.run())
        await wait_until(lambda: service.core.is_leader)
        for number in range(1, 9):
            assert await service.propose(b"command") == number
        assert disk.refused and not running.done()
        assert not list(tmp_path.glob("*.tmp"))

        disk.full = False

        async def accept_more() -> None:
            while not (tmp_path / "snapshot.bin").exists():
                await service.propose(b"command")

        await asyncio.wait_for(accept_more(), 10.0)
        accepted = await service.propose(b"last")
        running.cancel()
        await asyncio.wait({running})
        storage.close()
        again = Storage(tmp_path).load()
        # One entry of the log begins the leader's term.
        assert again.log.last_index == accepted + 1

    asyncio.run(scenario())
