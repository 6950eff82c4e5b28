"""A member: an instance that follows a coordinator and asks it to place its requests."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from msgspec import structs

from reachlink.coordination._asking import REPLY_TIMEOUT_S, ask_in_order
from reachlink.coordination._coordinator_selector import CoordinatorSelector
from reachlink.coordination._limit_exchange import LimitExchange
from reachlink.coordination._messages import (
    CHANNEL_MEMBER,
    CHANNEL_PLACE,
    CoordinatorSnapshot,
    MemberUpdate,
)
from reachlink.coordination._pace_exchange import PaceExchange
from reachlink.coordination._quarantine_exchange import QuarantineExchange
from reachlink.coordination._queue_client import QueueClient
from reachlink.coordination._replica_list import to_listed_instances
from reachlink.kernel import steady_time
from reachlink.membership import InstanceRecord, ReplicaDirectory
from reachlink.messaging import Bus, MessagingError, decode, encode
from reachlink.requests import (
    LoadUpdate,
    PeerLoad,
    PlacementQuery,
    PlacementReply,
    ReplicaReport,
    ReplicaTracker,
    ReplicaUsage,
)
from reachlink.telemetry import get_logger

# Time for which the reply to an update may be held while this instance has requests at model
# engines, and while it has none, in seconds.
BUSY_WAIT_S = 0.25
IDLE_WAIT_S = 1.0
# The same before the first snapshot from a coordinator, in seconds: an instance that starts is
# not ready without the list of replicas.
FIRST_WAIT_S = 0.01
# Time added to the hold time to get the timeout of the call, in seconds.
WAIT_MARGIN_S = 0.3
# Shortest time between two one-way updates, and between two updates that are answered with a
# snapshot, in seconds. The latter is short, so that a coordinator that has not read the replica
# list yet is soon asked again.
MIN_SEND_INTERVAL_S = 0.03
MIN_POLL_INTERVAL_S = 0.1
# Time between two snapshots of all replicas, in seconds. Those in between contain only the
# replicas where this instance has allocations, in a third of the bytes. The load of the other
# replicas only serves to avoid queries that would find no room.
FULL_SNAPSHOT_INTERVAL_S = 0.9
# Age in seconds above which a snapshot is no longer valid.
MAX_SNAPSHOT_AGE_S = 2.5


class Member:
    """Follows the preferred coordinator, and the next one if it does not reply.

    Parameters
    ----------
    selector : CoordinatorSelector
        Orders the coordinators by preference.
    name : str
        Name of this instance.
    bus : Bus
        Message bus to the coordinators.
    tracker : ReplicaTracker
        Allocations of this instance at the replicas.
    peer_load : PeerLoad
        Load of the other instances, updated from the snapshots.
    directory : ReplicaDirectory
        Replicas that exist, updated from the snapshots.
    apply_reports : callable
        Called with the replica reports in a snapshot.
    own_reports : callable
        Returns the replica reports that this instance has read itself.
    quarantine : QuarantineExchange
        Exchange of the crashes that requests caused, between the instances.
    limits : LimitExchange
        Exchange of the rate limits that replicas advertise.
    paces : PaceExchange
        Exchange of the estimated paces of replicas.
    count : callable
        Called with the outcome of each query: ``"placed"``, ``"no_room"`` or ``"silent"``.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        selector: CoordinatorSelector,
        name: str,
        bus: Bus,
        tracker: ReplicaTracker,
        peer_load: PeerLoad,
        directory: ReplicaDirectory,
        apply_reports: Callable[[Iterable[ReplicaReport]], None],
        own_reports: Callable[[], list[ReplicaReport]],
        quarantine: QuarantineExchange,
        limits: LimitExchange,
        paces: PaceExchange,
        count: Callable[[str], None],
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._selector = selector
        self._name = name
        self._bus = bus
        self._tracker = tracker
        self._peer_load = peer_load
        self._directory = directory
        self._apply_reports = apply_reports
        self._own_reports = own_reports
        self._quarantine = quarantine
        self._limits = limits
        self._paces = paces
        self._count = count
        self._clock = clock
        self._queue_client: QueueClient | None = None
        self._snapshot: CoordinatorSnapshot | None = None
        self._snapshot_at = float("-inf")
        self._has_replica_list = False
        # Latest load of each replica that the coordinator sent, and the monotonic time in seconds
        # of its last snapshot of all replicas.
        self._usages: dict[str, ReplicaUsage] = {}
        self._full_snapshot_at = float("-inf")
        self._changed = asyncio.Event()
        # Set while this instance is a member.
        self._is_member = asyncio.Event()
        tracker.add_listener(self._changed.set)
        self._log: Any = get_logger()

    @property
    def coordinator_snapshot(self) -> CoordinatorSnapshot | None:
        """Latest snapshot from the coordinator; None if it is too old."""
        if self._clock() - self._snapshot_at > MAX_SNAPSHOT_AGE_S:
            return None
        return self._snapshot

    @property
    def has_replica_list(self) -> bool:
        """Whether a coordinator keeps this instance's list of replicas up to date."""
        return self._has_replica_list and self.coordinator_snapshot is not None

    def use_queue(self, queue_client: QueueClient) -> None:
        """Queue requests that find no room from now on."""
        self._queue_client = queue_client

    def update_roster(self, coordinators: Iterable[InstanceRecord]) -> None:
        """Set the coordinators, and close the connections to those that are gone."""
        before = {record.address for record in self._selector.coordinators}
        self._selector.set_coordinators(coordinators)
        for address in before - {record.address for record in self._selector.coordinators}:
            self._bus.forget(address)
        if self._selector.is_member:
            self._is_member.set()
        else:
            self._is_member.clear()

    async def ask(self, query: PlacementQuery) -> PlacementReply | None:
        """Return the decision of a coordinator; None if this instance should decide itself.

        A coordinator that has just started knows little and decides only if no other does.
        """
        if self._queue_client is not None and query.may_queue:
            return await self._queue_client.ask(structs.replace(query, instance=self._name))
        if not self._selector.is_member:
            return None
        answer = await self._ask_coordinators(structs.replace(query, instance=self._name))
        if answer is None:
            self._count("silent")
            self._log.info("coordinators_silent", request_id=query.request_id)
        else:
            self._count("no_room" if answer.replica is None else "placed")
        return answer

    async def _ask_coordinators(self, query: PlacementQuery) -> PlacementReply | None:
        coordinators = self._selector.by_preference(self._clock())
        answer, not_ready = await ask_in_order(coordinators, lambda one: self._ask_one(one, query))
        if not_ready is None:
            return answer
        answer = await self._ask_one(not_ready, structs.replace(query, force_decision=True))
        return answer if answer is not None and answer.ready else None

    async def _ask_one(
        self, coordinator: InstanceRecord, query: PlacementQuery
    ) -> PlacementReply | None:
        try:
            raw = await self._bus.call(
                coordinator.address, CHANNEL_PLACE, encode(query), REPLY_TIMEOUT_S
            )
            return decode(raw, PlacementReply)
        except MessagingError as error:
            self._note_silence(coordinator, str(error))
            return None

    def _note_silence(self, coordinator: InstanceRecord, reason: str) -> None:
        self._selector.mark_silent(coordinator.name, self._clock())
        self._log.info("coordinator_silent", coordinator=coordinator.name, reason=reason)

    async def run(self) -> None:
        """Exchange updates and snapshots with the coordinator until cancelled."""
        await asyncio.gather(self._poll(), self._send_changes())

    async def _poll(self) -> None:
        """Keep the snapshot up to date by long polling."""
        while True:
            await self._is_member.wait()
            coordinator = self._selector.by_preference(self._clock())[0]
            started = self._clock()
            await self._poll_once(coordinator)
            await asyncio.sleep(max(0.0, MIN_POLL_INTERVAL_S - (self._clock() - started)))

    async def _poll_once(self, coordinator: InstanceRecord) -> None:
        wait_s = self._wait_s(coordinator)
        update = encode(self._make_update(coordinator.name, wait_s))
        try:
            raw = await self._bus.call(
                coordinator.address, CHANNEL_MEMBER, update, wait_s + WAIT_MARGIN_S
            )
            self._apply_snapshot(decode(raw, CoordinatorSnapshot))
        except MessagingError as error:
            self._note_silence(coordinator, str(error))

    def _wait_s(self, coordinator: InstanceRecord) -> float:
        """Return the time for which the reply to an update may be held, in seconds."""
        snapshot = self.coordinator_snapshot
        if snapshot is None or snapshot.coordinator != coordinator.name:
            return FIRST_WAIT_S
        return BUSY_WAIT_S if self._tracker.occupied_replicas() else IDLE_WAIT_S

    async def _send_changes(self) -> None:
        """Send an update after each change without waiting for a reply."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._selector.is_member:
                coordinator = self._selector.by_preference(self._clock())[0]
                update = encode(self._make_update(coordinator.name, 0.0))
                self._bus.send(coordinator.address, CHANNEL_MEMBER, update)
            await asyncio.sleep(MIN_SEND_INTERVAL_S)

    def _make_update(self, coordinator: str, wait_s: float) -> MemberUpdate:
        load = LoadUpdate(
            self._name,
            self._tracker.usages(self._clock()),
            self._own_reports(),
            quarantine=self._quarantine.make_update(),
            limits=self._limits.updates(),
            paces=self._paces.updates_for_coordinator(coordinator),
        )
        known = self._snapshot is not None and self._snapshot.coordinator == coordinator
        digest = self._snapshot.list_digest if self._snapshot is not None and known else 0
        full = not known or self._clock() - self._full_snapshot_at > FULL_SNAPSHOT_INTERVAL_S
        return MemberUpdate(load, self._tracker.pop_outcomes(), digest, full, wait_s)

    def _apply_snapshot(self, snapshot: CoordinatorSnapshot) -> None:
        now = self._clock()
        before = self._snapshot
        if before is not None and before.coordinator != snapshot.coordinator:
            self._peer_load.forget(before.coordinator)
        if before is None or before.coordinator != snapshot.coordinator:
            self._log.info("coordinator_followed", coordinator=snapshot.coordinator)
        self._snapshot, self._snapshot_at = snapshot, now
        if snapshot.full:
            self._usages, self._full_snapshot_at = {}, now
        self._usages.update((usage.replica, usage) for usage in snapshot.usages)
        self._peer_load.update(LoadUpdate(snapshot.coordinator, list(self._usages.values())), now)
        if snapshot.replica_list:
            self._has_replica_list = True
            self._directory.update(to_listed_instances(snapshot.replica_list), now)
        for replica, cold_s in snapshot.cold_s.items():
            self._directory.note_cold(replica, cold_s, now)
        self._apply_reports(snapshot.reports)
        self._quarantine.apply_update(snapshot.quarantine)
        self._limits.apply_updates(snapshot.limits)
        self._paces.apply_from_coordinator(snapshot.coordinator, snapshot.paces)
        for replica, allowance in snapshot.allowances.items():
            state = self._tracker.state(replica)
            state.coordinator_allowance, state.coordinator_allowance_at = allowance, now
