"""The list is read by those that have to, and by nobody else."""

import asyncio
from random import Random

from reachlink.entry import _list_reader
from reachlink.entry._list_news import ListNews
from reachlink.entry._list_reader import ListReader, ReadingRole
from reachlink.membership import ListedInstance, PlatformAdapter, ReplicaDirectory
from reachlink.requests.tests.world import wait_until


class CountingPlatform(PlatformAdapter):
    """Counts readings of a list of one replica."""

    def __init__(self) -> None:
        self.read = 0

    async def instances(self) -> list[ListedInstance]:
        self.read += 1
        return [ListedInstance("r1", "chat", "a", "r1:1")]

    async def close(self) -> None:
        pass


class Reading:
    """A reader whose role the test sets."""

    def __init__(self, role: ReadingRole) -> None:
        self.role = role
        self.platform = CountingPlatform()
        directory = ReplicaDirectory()
        self.reader = ListReader(
            self.platform,
            directory,
            ListNews(directory, lambda: None),
            lambda: 1,
            0.01,
            0.01,
            lambda: self.role,
            Random(1),
        )


def play(reading: Reading, steps) -> None:
    async def run() -> None:
        task = asyncio.create_task(reading.reader.run())
        await steps(reading)
        task.cancel()

    asyncio.run(run())


def test_who_is_told_by_another_is_ready_without_reading():
    async def steps(reading: Reading) -> None:
        await asyncio.sleep(0)
        assert reading.reader.has_read

    reading = Reading(ReadingRole.TOLD)
    play(reading, steps)
    assert reading.platform.read == 0


def test_nothing_is_read_before_it_is_known_who_reads():
    async def steps(reading: Reading) -> None:
        for _ in range(3):
            await asyncio.sleep(0)
        assert reading.platform.read == 0
        reading.role = ReadingRole.READS
        await wait_until(lambda: reading.platform.read)

    play(Reading(ReadingRole.UNKNOWN), steps)


def test_the_list_is_read_where_it_stays_unknown_who_reads(monkeypatch):
    monkeypatch.setattr(_list_reader, "PATIENCE_S", 0.01)
    monkeypatch.setattr(_list_reader, "PATIENCE_SPREAD_S", 0.01)

    async def steps(reading: Reading) -> None:
        await wait_until(lambda: reading.platform.read)

    play(Reading(ReadingRole.UNKNOWN), steps)


def test_the_list_is_read_again_after_an_error_that_nobody_expects():
    reading = Reading(ReadingRole.READS)
    answer = reading.platform.instances

    async def failing() -> list[ListedInstance]:
        if not reading.platform.read:
            await answer()
            raise RecursionError("nested too deeply")
        return await answer()

    reading.platform.instances = failing

    async def steps(reading: Reading) -> None:
        await wait_until(lambda: reading.reader.has_read)

    play(reading, steps)
