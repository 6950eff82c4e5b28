"""Exchanges notes of load with the other coordinators.

A note tells the requests at model engines of this instance and its members, and what
was read lately in load reports and in the platform's list.
"""

import asyncio
from collections.abc import Callable

from reachlink.coordination import LimitExchange, PaceExchange, QuarantineExchange
from reachlink.entry._list_news import ListNews
from reachlink.entry._report_reader import ReportReader
from reachlink.membership import InstanceRecord
from reachlink.messaging import Bus, decode, encode
from reachlink.requests import LoadUpdate, PeerLoad, ReplicaTracker, ReplicaUsage

CHANNEL_LOAD = "load"
# Shortest time between two notes, in seconds, and what each peer that is told adds.
FASTEST_S = 0.03
FASTEST_PER_PEER_S = 0.004
# Longest time between two notes, in seconds.
SLOWEST_S = 1.0


class LoadTeller:
    """Sends a note whenever this instance's load has changed, and now and then besides.

    Parameters
    ----------
    name : str
        This instance.
    bus : Bus
        Where notes go.
    tracker : ReplicaTracker
        Counts changes that the others should know soon.
    shares : callable
        Returns the requests of this instance and its members.
    peer_load : PeerLoad
        Where the others' requests are noted.
    reports : ReportReader
        Reads replicas' reports, and takes what the others read.
    listed : ListNews
        Findings in the platform's list, own ones and the others'.
    quarantine : QuarantineExchange
        What the instances tell each other of crashes.
    limits : LimitExchange
        What the instances tell each other of limits that replicas name.
    paces : PaceExchange
        What the instances tell each other of replicas' pace.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        bus: Bus,
        tracker: ReplicaTracker,
        shares: Callable[[], list[ReplicaUsage]],
        peer_load: PeerLoad,
        reports: ReportReader,
        listed: ListNews,
        quarantine: QuarantineExchange,
        limits: LimitExchange,
        paces: PaceExchange,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._bus = bus
        self._shares = shares
        self._peer_load = peer_load
        self._reports = reports
        self._listed = listed
        self._quarantine = quarantine
        self._limits = limits
        self._paces = paces
        self._clock = clock
        self._peers: list[InstanceRecord] = []
        self._changed = asyncio.Event()
        tracker.add_listener(self._changed.set)
        bus.handle(CHANNEL_LOAD, self._on_note)

    @property
    def peers(self) -> list[InstanceRecord]:
        """The instances that are told."""
        return self._peers

    def take_peers(self, peers: list[InstanceRecord], kept: list[InstanceRecord]) -> None:
        """Take the instances to tell from now on.

        Parameters
        ----------
        peers : list of InstanceRecord
            The other coordinators; none where this instance is none.
        kept : list of InstanceRecord
            Instances whose connections are still of use.
        """
        addresses = {record.address for record in kept}
        for peer in self._peers:
            if peer.address not in addresses:
                self._bus.forget(peer.address)
        self._peers = peers

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await self._wait_for_change()
            self._changed.clear()
            if self._peers:
                self._tell()
            await asyncio.sleep(FASTEST_S + FASTEST_PER_PEER_S * len(self._peers))

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(SLOWEST_S):
                await self._changed.wait()
        except TimeoutError:
            # Nothing has changed: the others are told that this instance is there.
            return

    def _tell(self) -> None:
        note = encode(self._note())
        for peer in self._peers:
            self._bus.send(peer.address, CHANNEL_LOAD, note)

    def _note(self) -> LoadUpdate:
        return LoadUpdate(
            instance=self._name,
            usages=self._shares(),
            reports=self._reports.news(),
            listed=self._listed.recent(),
            quarantine=self._quarantine.make_update(),
            limits=self._limits.updates(),
            paces=self._paces.updates_for_peers(),
        )

    async def _on_note(self, sender: str, body: bytes) -> None:
        note = decode(body, LoadUpdate)
        self._peer_load.update(note, self._clock())
        self._reports.take(note.reports)
        self._listed.take(note.listed)
        self._quarantine.apply_update(note.quarantine)
        self._limits.apply_updates(note.limits)
        self._paces.apply_from_coordinator(note.instance, note.paces)
