"""Replicas of a running generation: where it runs, and where copies of its memory are.

A generation runs at its primary. A copy of its memory is kept in one of two ways:

- Shadow copy: this instance repeatedly requests transfers of the memory to another
  replica, and can evict the copy if its memory is needed (`_shadow_copy`).
- Backup, for replicas that don't transfer memory on request: the primary itself sends the
  memory to the backup while the generation grows, and the copy cannot be freed early.
"""

import asyncio
from dataclasses import dataclass

from reachlink.requests._copy_targets import CopyTargets
from reachlink.requests._event_merger import EventMerger
from reachlink.requests._generation_progress import GenerationProgress
from reachlink.requests._model import CallerRequest
from reachlink.requests._replica_tracker import Allocation
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.requests._shadow_copy import ShadowCopy, copy_lifetime_s
from reachlink.upstreams import MovedMemory, MoveFailure, Replica

# Interval between two checks of a generation's replicas, in seconds.
CHECK_INTERVAL_S = 0.05
# Minimum expected remaining output for a copy while the primary stays, in tokens. A shorter
# one ends within two seconds, so it is rarely affected by a shutdown.
MIN_COPY_TOKENS = 200
# Minimum value of the maximum remaining output for a copy when the primary leaves, in tokens.
# A shorter one ends before the shutdown. The expected output is not used here: with a wrong
# estimate, generations would count as nearly finished and be lost with their replicas.
MIN_DEPARTURE_COPY_TOKENS = 100
# Minimum time between the shutdowns of the primary and of a copy's replica for the copy to be
# useful, in seconds: the time to copy the generation again from there.
MIN_SHUTDOWN_GAP_S = 0.6
# Interval between the departure copies from one leaving replica, in seconds: long enough that
# their transfer requests arrive in order, the highest expected loss first.
DEPARTURE_COPY_INTERVAL_S = 0.03
# Probability from 0 to 1 that a needed copy is started at a check while the primary stays. It
# spreads the copies: other instances learn of a new copy before most of them start theirs.
COPY_START_PROBABILITY = 0.2
# Delay before the next copy if the source did not answer a transfer request, for example
# because its zone is partitioned, in seconds.
SOURCE_FAILURE_DELAY_S = 1.0
# Delay before the next copy if the source does not run the generation at the moment, in
# seconds: it was preempted and waits for its prompt to be processed again.
NOT_RUNNING_DELAY_S = 0.1


@dataclass(slots=True)
class _ReplicaAllocation:
    """Replica with a generation or a copy, and its allocation there."""

    replica: Replica
    allocation: Allocation
    # Start time of the replica when the memory was sent there, in Unix milliseconds; 0 if
    # unknown.
    born: int = 0


class GenerationReplicas:
    """Manages the replicas of one generation: its primary, its backup and its shadow copy.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Chooses replicas and records allocations.
    request : CallerRequest
        Request of the generation.
    merger : EventMerger
        Provides the number of the last event.
    """

    def __init__(
        self, dispatcher: RequestDispatcher, request: CallerRequest, merger: EventMerger
    ) -> None:
        self._dispatcher = dispatcher
        self._placer = dispatcher.placer
        self._request = request
        self._merger = merger
        self._primary: _ReplicaAllocation | None = None
        self._backup: _ReplicaAllocation | None = None
        self._shadow: ShadowCopy | None = None
        self._shadow_allocation: _ReplicaAllocation | None = None
        # Last shadow copy that was discarded; a transfer to it may still be in progress.
        self._discarded_shadow: ShadowCopy | None = None
        self._targets = CopyTargets(dispatcher, request)
        # Monotonic time in seconds at which the primary was found to be leaving; None if it
        # is not.
        self._leaving_since: float | None = None
        # Whether the copies are left as they are.
        self._checks_paused = False
        # Monotonic time in seconds of the last event.
        self._progressed_at = dispatcher.now()
        # Monotonic time in seconds before which no copy is started.
        self._no_copy_before = 0.0

    @property
    def primary(self) -> Replica:
        """Replica at which the generation runs; only valid after `begin`."""
        assert self._primary is not None
        return self._primary.replica

    @property
    def primary_born(self) -> int:
        """Start time of the primary when it got the generation, in Unix milliseconds."""
        assert self._primary is not None
        return self._primary.born

    @property
    def backup(self) -> Replica | None:
        """Replica to which the primary itself sends the memory, if any."""
        return self._backup.replica if self._backup is not None else None

    @property
    def shadow(self) -> Replica | None:
        """Replica of the shadow copy, if any."""
        return self._shadow_allocation.replica if self._shadow_allocation is not None else None

    @property
    def has_arrived_copy(self) -> bool:
        """Whether there is a backup or a shadow copy whose memory has arrived and not lapsed."""
        return self._has_backup or (self._shadow is not None and self._shadow.has_memory)

    @property
    def not_running_since(self) -> float | None:
        """Monotonic time in seconds since when the primary refuses copies, as it is not running."""
        return self._shadow.not_running_since if self._shadow is not None else None

    @property
    def silent_s(self) -> float:
        """Time since the last event, in seconds."""
        return self._dispatcher.now() - self._progressed_at

    @property
    def _has_backup(self) -> bool:
        """Whether there is a backup that has not lapsed: a preempted primary sends it nothing."""
        return self._backup is not None and self.silent_s < copy_lifetime_s(self._copy_kept_s)

    @property
    def _copy_kept_s(self) -> float:
        """Time in seconds for which a replica keeps memory that is not refreshed."""
        engine = self._request.service.engine
        return engine.move_keep_s if engine is not None else 0.0

    def is_transferring(self) -> bool:
        """Return whether a transfer of the primary's memory is in progress."""
        copies = [copy for copy in (self._shadow, self._discarded_shadow) if copy is not None]
        source = self.primary.name
        return any(copy.move_in_progress and copy.source.name == source for copy in copies)

    async def begin(self, replica: Replica) -> None:
        """Start at a replica, with a backup if it is needed and there is room for one."""
        self._primary = self._allocate(replica, reads=True)
        self._backup = await self._choose_backup(set())

    async def move_to(self, target: Replica) -> Replica:
        """Make a replica the primary, choose a new backup, and return the previous primary."""
        lost = self._primary
        assert lost is not None
        self._free(lost)
        self._free(self._backup)
        self._drop_shadow()
        self._primary = self._allocate(target)
        self._leaving_since = None
        self._backup = await self._choose_backup({target.name}, lost.replica)
        return lost.replica

    def note_prompt_read(self) -> None:
        """Record that the primary has processed the prompt."""
        assert self._primary is not None
        self._dispatcher.allocations.mark_prompt_read(self._primary.allocation)

    def note_progress(self) -> None:
        """Record the memory that the generation takes now and is expected to take at its end.

        If a generation gets longer than estimated, its expected memory increases with it.
        Otherwise, full engines would preempt other generations for it (test_promise_load).
        """
        self._progressed_at = self._dispatcher.now()
        progress = self._progress()
        for carrier in (self._primary, self._backup, self._shadow_allocation):
            if carrier is not None:
                carrier.allocation.used_tokens = progress.used_tokens
                carrier.allocation.tokens = max(carrier.allocation.tokens, progress.final_tokens)

    def release(self) -> None:
        """Release all replicas."""
        self._drop_shadow()
        self._free(self._primary)
        self._free(self._backup)

    def pause_checks(self, paused: bool) -> None:
        """Set whether copies are left as they are, since the generation may resume from one."""
        self._checks_paused = paused

    async def copies(self) -> list[tuple[Replica, MovedMemory]]:
        """Return the copies from which the generation may resume; they are not refreshed again."""
        found: list[tuple[Replica, MovedMemory]] = []
        if self._shadow is not None and self._shadow_allocation is not None:
            memory = await self._shadow.stop()
            if memory is not None and self._may_resume_from(self._shadow_allocation):
                found.append((self._shadow_allocation.replica, memory))
            self._shadow = None
        if self._backup is not None and self._has_backup and self._may_resume_from(self._backup):
            replica = self._backup.replica
            found.append((replica, MovedMemory(replica.address, self._request.request_id)))
        return found

    async def choose_departure_target(self) -> Replica | None:
        """Return a replica with room for the memory of a generation that leaves its primary."""
        return await self._choose_shadow_target(leaving=True)

    def _may_resume_from(self, carrier: _ReplicaAllocation) -> bool:
        """Return whether a generation may resume from a copy."""
        return self._placer.is_in_service(carrier.replica) and not self._has_restarted(carrier)

    async def maintain_copies(self) -> None:
        """Maintain a shadow copy at a replica that stays, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            begun = self._primary is not None and self._merger.last_event_number >= 0
            if begun and not self._checks_paused:
                await self._check_copies()

    async def _check_copies(self) -> None:
        """Drop a useless shadow copy, and start a shadow copy if one is needed."""
        leaving = self._note_leaving()
        if self._shadow is not None and not self._may_keep_shadow(leaving):
            self._drop_shadow()
        self._update_allocations()
        if self._shadow is None and self._needs_shadow(leaving) and self._may_start_copy():
            await self._start_shadow(leaving)

    def _note_leaving(self) -> bool:
        """Return whether the primary is leaving, and record when this was first found."""
        if self._placer.stays(self.primary):
            self._leaving_since = None
            return False
        if self._leaving_since is None:
            self._leaving_since = self._dispatcher.now()
        return True

    def _update_allocations(self) -> None:
        """Update what the other instances need to sort departure copies and evictions."""
        assert self._primary is not None
        allocation = self._primary.allocation
        allocation.expected_loss = self._expected_loss()
        if self._shadow is not None and self._shadow_allocation is not None:
            self._shadow_allocation.allocation.transfer_pending = not self._shadow.has_memory
        allocation.unreplicated = not self.has_arrived_copy and self._is_worth_departure_copy()

    def _may_start_copy(self) -> bool:
        """Return whether a copy of this generation may be started now."""
        now = self._dispatcher.now()
        if now < self._no_copy_before:
            return False
        if self._leaving_since is None:
            # Prevents all generations from starting copies at once at a new replica.
            return self._dispatcher.random_fraction() < COPY_START_PROBABILITY
        assert self._primary is not None
        rank = self._dispatcher.copy_order.departure_copy_rank(
            self._primary.replica, self._primary.allocation
        )
        return now >= self._leaving_since + rank * DEPARTURE_COPY_INTERVAL_S

    def _may_keep_shadow(self, leaving: bool) -> bool:
        """Return whether the shadow copy is useful and its memory not needed by others."""
        assert self._shadow is not None and self._shadow_allocation is not None
        if self._shadow.failed:
            self._note_failed_shadow(self._shadow)
            return False
        if not self._placer.is_in_service(self._shadow.target):
            return False
        if self._has_restarted(self._shadow_allocation):
            # The copy was lost with the restart.
            return False
        target_stays = self._placer.stays(self._shadow.target)
        if leaving:
            self._dispatcher.allocations.mark_not_evictable(self._shadow_allocation.allocation)
            self._dispatcher.allocations.expect_resume(
                self._shadow_allocation.allocation, self.primary
            )
            self._shadow.refresh_faster()
            if self._leaves_with_primary(self._shadow.target):
                return False
            # Both replicas may be leaving: a copy that has arrived is better than none.
            return target_stays or self._shadow.has_memory
        # Discarding a copy during its transfer would gain nothing: it takes its memory until
        # the transfer ends, and the source accepts no other transfer of this generation.
        return target_stays and not (
            self._shadow.has_memory and self._must_evict_shadow(self._shadow_allocation)
        )

    def _has_restarted(self, carrier: _ReplicaAllocation) -> bool:
        """Return whether a replica has restarted since memory was sent there."""
        return 0 < carrier.born < self._placer.born(carrier.replica)

    def _leaves_with_primary(self, target: Replica) -> bool:
        """Return whether a target leaves too soon after the primary, with time for a new copy.

        Several replicas may get their shutdown notices at once, and a generation would be
        lost if its primary and its copy are shut down together.
        """
        if self._placer.stays(target):
            return False
        primary_left_s = self._dispatcher.allocations.shutdown_in_s(self.primary)
        target_left_s = self._dispatcher.allocations.shutdown_in_s(target)
        if primary_left_s is None or target_left_s is None or primary_left_s < MIN_SHUTDOWN_GAP_S:
            return False
        return target_left_s < primary_left_s + MIN_SHUTDOWN_GAP_S

    def _note_failed_shadow(self, shadow: ShadowCopy) -> None:
        """Exclude a target without room; delay the next copy if the source failed."""
        if shadow.move_failure is MoveFailure.NO_ROOM:
            self._targets.avoid(shadow.target)
        elif shadow.move_failure is MoveFailure.NOT_RUNNING:
            self._no_copy_before = self._dispatcher.now() + NOT_RUNNING_DELAY_S
        elif shadow.move_failure is None:
            self._no_copy_before = self._dispatcher.now() + SOURCE_FAILURE_DELAY_S

    def _must_evict_shadow(self, carrier: _ReplicaAllocation) -> bool:
        """Return whether the shadow copy must be evicted; if so, avoid its replica."""
        carrier.allocation.expected_loss = self._expected_loss()
        if not self._dispatcher.copy_order.must_evict(
            self._request.service, carrier.replica, carrier.allocation
        ):
            return False
        self._targets.avoid(carrier.replica)
        self._dispatcher.log.info(
            "copy_gives_way",
            request_id=self._request.request_id,
            target=carrier.replica.name,
            stake=carrier.allocation.expected_loss,
        )
        return True

    def _needs_shadow(self, leaving: bool) -> bool:
        """Return whether a shadow copy is worth its memory, regardless of an existing one."""
        engine = self._request.service.engine
        if engine is None or not engine.moves:
            return False
        if self._discarded_shadow is not None and self._discarded_shadow.move_in_progress:
            return False
        if self._backup is not None and self._placer.takes_work(self._backup.replica):
            return False
        if not leaving and self._dispatcher.copy_order.departure_copies_due(self._request.service):
            return False
        if leaving:
            return self._is_worth_departure_copy()
        return self._progress().remaining_tokens >= MIN_COPY_TOKENS

    def _is_worth_departure_copy(self) -> bool:
        return self._progress().max_remaining_tokens >= MIN_DEPARTURE_COPY_TOKENS

    async def _start_shadow(self, leaving: bool) -> None:
        """Start a shadow copy if there is a replica for it."""
        primary = self._primary
        target = await self._choose_shadow_target(leaving)
        # The generation may have resumed elsewhere during the query to a coordinator.
        if target is None or self._primary is not primary:
            return
        self._log_shadow(target, leaving)
        self._shadow_allocation = self._allocate(target, copy=True)
        allocation = self._shadow_allocation.allocation
        allocation.evictable = not leaving
        allocation.expected_loss = self._expected_loss()
        allocation.transfer_pending = True
        self._shadow = ShadowCopy(
            self._dispatcher.adapter,
            self._request.request_id,
            self.primary,
            target,
            self._dispatcher.log,
            self._dispatcher.now,
            self._copy_kept_s,
        )

    async def _choose_shadow_target(self, leaving: bool) -> Replica | None:
        excluded = {self._backup.replica.name} if self._backup is not None else set()
        choose = self._targets.departure_copy if leaving else self._targets.standing_copy
        return await choose(self.primary, excluded, self._progress().used_tokens)

    def _log_shadow(self, target: Replica, leaving: bool) -> None:
        self._dispatcher.log.info(
            "generation_shadowed",
            request_id=self._request.request_id,
            source=self.primary.name,
            target=target.name,
            copy=self._backup.replica.name if self._backup else "",
            home_stays=not leaving,
            after_event=self._merger.last_event_number,
            replicas=self._placer.options.describe(self._request.service, set()),
        )

    def _drop_shadow(self) -> None:
        if self._shadow is not None:
            self._shadow.discard()
            self._discarded_shadow = self._shadow
        self._shadow = None
        self._free(self._shadow_allocation)
        self._shadow_allocation = None

    def _progress(self) -> GenerationProgress:
        """Return the progress of the generation."""
        facts = self._request.relay.generation
        engine = self._request.service.engine
        return GenerationProgress(
            prompt_tokens=self._request.prompt_tokens,
            expected_tokens=facts.expected_output_tokens if facts else 0,
            max_tokens=facts.max_output_tokens if facts else 0,
            last_event=self._merger.last_event_number,
            tokens_per_event=engine.tokens_per_event if engine else 0,
        )

    def _expected_loss(self) -> int:
        """Return the expected loss of the generation at its primary."""
        near = self._primary is None or self._placer.reachable.is_near(self._primary.replica)
        return self._progress().expected_loss(near)

    async def _choose_backup(
        self, excluded: set[str], previous: Replica | None = None
    ) -> _ReplicaAllocation | None:
        """Choose a backup, if it is needed and there is room, and record its allocation.

        The previous primary is preferred if it stays.
        """
        engine = self._request.service.engine
        if engine is None or not engine.backups or engine.moves:
            return None
        if self._progress().remaining_tokens < MIN_COPY_TOKENS:
            return None
        primary = self.primary
        if previous is not None and self._may_be_backup(previous, primary):
            return self._allocate(previous, copy=True)
        found = await self._targets.standing_copy(primary, excluded, self._progress().used_tokens)
        return self._allocate(found, copy=True) if found is not None else None

    def _may_be_backup(self, previous: Replica, primary: Replica) -> bool:
        """Return whether the previous primary may be the backup."""
        if previous.name == primary.name or not self._placer.takes_work(previous):
            return False
        return self._placer.reachable.is_near(previous) or self._placer.reachable.is_near(primary)

    def _allocate(
        self, replica: Replica, reads: bool = False, copy: bool = False
    ) -> _ReplicaAllocation:
        allocation = self._dispatcher.allocations.add(self._request, replica, reads, copy)
        allocation.used_tokens = self._progress().used_tokens
        return _ReplicaAllocation(replica, allocation, self._placer.born(replica))

    def _free(self, carrier: _ReplicaAllocation | None) -> None:
        if carrier is not None:
            self._dispatcher.allocations.remove(carrier.replica, carrier.allocation)
