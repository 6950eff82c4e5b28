"""Reads the reports of model engines, each by one entry instance for all.

A report tells earlier than the platform's list that a replica is about to be
taken away, and how much of its memory is in use.
"""

import asyncio
import hashlib
from collections.abc import Callable, Iterable

import msgspec

from reachlink.membership import LeavingSource, ReplicaDirectory
from reachlink.requests import SHUTDOWN_NOTICE_S, ReplicaReport, ReplicaTracker, ShutdownTimes
from reachlink.telemetry import get_logger
from reachlink.upstreams import LoadReport, RelayAdapter, Replica, UpstreamError

# Time between two readings of one replica, in seconds.
INTERVAL_S = 0.2
# An instance with requests at a replica reads its report itself where it has
# heard of no other reading for this long, in seconds; and so do those that share the
# reading where it is in their zone: its usual reader may be beyond a cut.
OTHERS_SILENT_S = 0.7
# Replicas whose reader is remembered: well above the 710 of the largest fleet.
MAX_REMEMBERED = 2000
# Readings younger than this are passed on, in seconds.
TOLD_S = 0.4


class ReportReader:
    """Reads the reports that fall to this instance.

    Parameters
    ----------
    name : str
        This instance.
    adapter : RelayAdapter
        Speaks with replicas.
    directory : ReplicaDirectory
        The replicas.
    tracker : ReplicaTracker
        Where readings are kept.
    engines : callable
        Returns the names of the services that are model engines.
    clock : callable
        Monotonic time in seconds.
    departures : ShutdownTimes
        Is told which replicas leave, and when.
    zone : str
        This instance's availability zone.
    """

    def __init__(
        self,
        name: str,
        adapter: RelayAdapter,
        directory: ReplicaDirectory,
        tracker: ReplicaTracker,
        engines: Callable[[], list[str]],
        clock: Callable[[], float],
        departures: ShutdownTimes,
        zone: str = "",
    ) -> None:
        self._name = name
        self._adapter = adapter
        self._directory = directory
        self._tracker = tracker
        self._engines = engines
        self._clock = clock
        self._zone = zone
        self._readers = [name]
        # Who reads each replica: asked for five times a second, changes with the readers.
        self._reader_of: dict[str, str] = {}
        self._own: dict[str, tuple[float, ReplicaReport]] = {}
        self._departures = departures
        # Called when a replica is found to leave.
        self.on_departure: Callable[[], None] = lambda: None
        self._reading: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = get_logger()

    def take_readers(self, names: Iterable[str]) -> None:
        """Take the instances that share the reading, this one included if it does."""
        readers = sorted(names)
        if readers != self._readers:
            self._readers = readers
            self._reader_of.clear()

    def news(self) -> list[ReplicaReport]:
        """Return what was read here lately."""
        now = self._clock()
        self._own = {n: item for n, item in self._own.items() if now - item[0] < TOLD_S}
        return [
            msgspec.structs.replace(news, age_s=round(now - at, 3))
            for at, news in self._own.values()
        ]

    def tell_leaving(self, replica: str, said: bool) -> None:
        """Tell the others of a replica that leaves, or seems to.

        Parameters
        ----------
        replica : str
            The replica.
        said : bool
            Whether it has said so itself.
        """
        born = self._directory.born(replica)
        news = ReplicaReport(replica, True, 0, 0, 0.0, born=born, announced_leaving=said)
        self._own[replica] = (self._clock(), news)
        self._tracker.notify_listeners()

    def tell_gone(self, replica: str) -> None:
        """Tell the others of a replica that is gone for good."""
        born = self._directory.born(replica)
        news = ReplicaReport(replica, True, 0, 0, 0.0, gone=True, born=born)
        self._own[replica] = (self._clock(), news)
        self._tracker.notify_listeners()
        self.on_departure()

    def take(self, news: Iterable[ReplicaReport]) -> None:
        """Take what another instance has read."""
        for item in news:
            self._note(item, self._clock() - item.age_s)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            for replica in self._due():
                self._reading.add(replica.name)
                task = asyncio.create_task(self._read(replica))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _due(self) -> list[Replica]:
        carrying = set(self._tracker.occupied_replicas())
        if not carrying and self._name not in self._readers:
            return []
        engines = self._engines()
        replicas = [r for service in engines for r in self._directory.staying(service)]
        replicas += self._leaving_soon(engines)
        return [
            r for r in replicas if r.name not in self._reading and self._falls_here(r, carrying)
        ]

    def _leaving_soon(self, engines: list[str]) -> list[Replica]:
        """Return the replicas that leave and whose reports have not yet told when."""
        since = self._clock() - SHUTDOWN_NOTICE_S
        names = [name for service in engines for name in self._directory.leaving(service, since)]
        found = (
            self._directory.find(name)
            for name in names
            if not self._departures.has_reported_time(name)
        )
        return [replica for replica in found if replica is not None]

    def _falls_here(self, replica: Replica, carrying: set[str]) -> bool:
        if self._usual_reader(replica.name) == self._name:
            return True
        silent = self._clock() - self._tracker.state(replica.name).reported_at
        near = self._name in self._readers and replica.availability_zone == self._zone
        return silent > OTHERS_SILENT_S and (near or replica.name in carrying)

    def _usual_reader(self, replica: str) -> str:
        """Return the instance that reads a replica: the highest hash of both names."""
        found = self._reader_of.get(replica)
        if found is None:
            if len(self._reader_of) >= MAX_REMEMBERED:
                self._reader_of.clear()
            found = self._reader_of[replica] = max(
                self._readers,
                key=lambda n: hashlib.blake2b(f"{n} {replica}".encode(), digest_size=8).digest(),
            )
        return found

    async def _read(self, replica: Replica) -> None:
        try:
            report = await self._adapter.report(replica)
        except UpstreamError:
            # Nothing is learned; streams notice a dead replica by themselves.
            return
        finally:
            self._reading.discard(replica.name)
        now = self._clock()
        news = ReplicaReport(
            replica=replica.name,
            leaving=report.leaving,
            kv_used_tokens=report.kv_used_tokens,
            running=report.running,
            age_s=0.0,
            leaves_in_s=report.leaves_in_s,
            born=report.born,
            announced_leaving=report.says_leaving,
        )
        self._own[replica.name] = (now, news)
        self._note(news, now)
        self._note_pace(replica, report, now)

    def _note_pace(self, replica: Replica, report: LoadReport, now: float) -> None:
        """Note the pace that came along with a report, unless it is of a life before."""
        if report.load is None or report.load.pace is None:
            return
        if 0 < report.born < self._directory.born(replica.name):
            return
        self._tracker.paces.record_reported(replica.upstream, replica.name, report.load.pace, now)

    def _note(self, news: ReplicaReport, read_at: float) -> None:
        if news.gone:
            self._note_gone(news)
            return
        if 0 < news.born < self._directory.born(news.replica):
            # Read before it started again.
            return
        if self._directory.record_start(news.replica, news.born, self._clock()):
            self._tracker.notify_listeners()
            self.on_departure()
        newest = self._tracker.state(news.replica).record_report(news, read_at)
        if not news.announced_leaving and not (newest and news.leaving):
            return
        self._note_departure(news, read_at)
        source = LeavingSource.ANSWER if news.announced_leaving else LeavingSource.REPORT
        if self._directory.mark_leaving(news.replica, source, self._clock()):
            self._log.info("upstream_leaving", replica=news.replica, source="report")
            self._tracker.notify_listeners()
            self.on_departure()

    def _note_gone(self, news: ReplicaReport) -> None:
        replica = news.replica
        if 0 < news.born < self._directory.born(replica):
            return
        if self._directory.mark_gone(replica, self._clock()):
            self._log.info("upstream_gone", replica=replica, source="another instance")
            # Passed on: who found it tells its coordinator, which tells its members.
            self.tell_gone(replica)

    def _note_departure(self, news: ReplicaReport, read_at: float) -> None:
        if news.leaves_in_s is None:
            self._departures.note_leaving(news.replica, read_at)
            return
        self._departures.note_reported_time(news.replica, read_at, news.leaves_in_s)
        self._log.info(
            "departure_told",
            replica=news.replica,
            leaves_in_s=news.leaves_in_s,
            age_s=round(self._clock() - read_at, 3),
        )
