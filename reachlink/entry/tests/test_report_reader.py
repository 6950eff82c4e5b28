"""Reports of replicas that leave are read until one tells when."""

import asyncio
from dataclasses import replace

from reachlink.entry._report_reader import ReportReader
from reachlink.membership import ListedInstance, ReplicaDirectory
from reachlink.requests import ReplicaReport, ReplicaTracker, ShutdownTimes
from reachlink.requests.tests.world import FakeAdapter, wait_until
from reachlink.upstreams import LoadReport, LoadSample, Replica


class Reports(FakeAdapter):
    """Tells that the replica leaves at the second reading, and when at the fourth."""

    def __init__(self) -> None:
        super().__init__()
        self.read = 0

    async def report(self, replica: Replica) -> LoadReport:
        self.read += 1
        told = LoadReport(leaving=self.read >= 2)
        return replace(told, leaves_in_s=1.2) if self.read >= 4 else told


def test_a_leaving_replica_is_read_until_it_has_told_when():
    async def play() -> tuple[int, ShutdownTimes, ReplicaDirectory]:
        adapter, directory, departures = Reports(), ReplicaDirectory(), ShutdownTimes()
        directory.update([ListedInstance("r1", "chat", "a", "r1:1")], 0.0)
        clock = asyncio.get_running_loop().time
        reader = ReportReader(
            "e1", adapter, directory, ReplicaTracker(), lambda: ["chat"], clock, departures
        )
        task = asyncio.create_task(reader.run())
        await wait_until(lambda: departures.has_reported_time("r1"))
        # Nothing is due from here on: a reading that had begun is over by now.
        assert reader._due() == []
        task.cancel()
        return adapter.read, departures, directory

    read, departures, directory = asyncio.run(play())
    assert read == 4
    assert not directory.may_get_work("r1")
    assert departures.expected_at("r1") is not None


def test_a_replica_that_is_gone_for_good_is_passed_on_once():
    directory, tracker = ReplicaDirectory(), ReplicaTracker()
    directory.update([ListedInstance("r1", "chat", "a", "r1:1")], 0.0)
    reader = ReportReader("e1", Reports(), directory, tracker, list, lambda: 5.0, ShutdownTimes())
    woken = []
    reader.on_departure = lambda: woken.append(True)
    reader.take([ReplicaReport("r1", True, 0, 0, 0.1, gone=True)])
    assert not directory.may_get_work("r1")
    assert [news.gone for news in reader.news()] == [True]
    reader.take([ReplicaReport("r1", True, 0, 0, 0.1, gone=True)])
    assert woken == [True]


def reader_of(directory: ReplicaDirectory, tracker: ReplicaTracker) -> ReportReader:
    return ReportReader("e1", Reports(), directory, tracker, list, lambda: 5.0, ShutdownTimes())


def test_a_report_of_the_life_before_says_nothing_of_the_new_one():
    directory, tracker = ReplicaDirectory(), ReplicaTracker()
    directory.update([ListedInstance("r1", "chat", "a", "r1:1")], 0.0)
    reader = reader_of(directory, tracker)
    reader.take([ReplicaReport("r1", False, 100, 1, 1.0, born=100)])
    reader.take([ReplicaReport("r1", False, 0, 0, 0.5, born=200)])
    # Read before, heard after: by way of an instance that is behind.
    reader.take([ReplicaReport("r1", True, 900, 9, 0.1, born=100)])
    reader.take([ReplicaReport("r1", True, 0, 0, 0.1, gone=True, born=100)])
    assert directory.may_get_work("r1")
    assert tracker.state("r1").report.kv_used_tokens == 0
    reader.take([ReplicaReport("r1", True, 0, 0, 0.05, born=200)])
    assert not directory.may_get_work("r1")


class Paces(FakeAdapter):
    """Tells a pace with each report, as of one life after the other."""

    def __init__(self) -> None:
        super().__init__()
        self.told = [(100, 1.2), (200, 0.55), (100, 1.2)]

    async def report(self, replica: Replica) -> LoadReport:
        born, pace = self.told.pop(0)
        return LoadReport(born=born, load=LoadSample(1, 0, 24, pace))


def test_a_pace_that_comes_with_a_report_counts_for_the_life_that_it_is_of():
    directory, tracker, adapter = ReplicaDirectory(), ReplicaTracker(), Paces()
    directory.update([ListedInstance("r1", "chat", "a", "r1:1")], 0.0)
    directory.set_restart_listener(tracker.reset_replica)
    reader = ReportReader("e1", adapter, directory, tracker, list, lambda: 5.0, ShutdownTimes())
    replica = directory.find("r1")
    assert replica is not None
    steadies = []
    for _ in range(3):
        asyncio.run(reader._read(replica))
        steadies.append(tracker.paces.pace("r1", 5.0).steady)
    assert steadies == [1.2, 0.55, 0.55]
