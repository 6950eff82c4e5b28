"""Allocations of this instance's requests at replicas, and the bytes that replicas hold."""

from reachlink.limits import BytesInFlight
from reachlink.requests._model import CallerRequest
from reachlink.requests._needs import need_tokens
from reachlink.requests._parts import RunnerParts
from reachlink.requests._replica_tracker import Allocation
from reachlink.upstreams import Replica

# Minimum change of an expected time that is sent to the other instances, in seconds.
MIN_SENT_CHANGE_S = 0.03


class Allocations:
    """Records the allocations of requests and copies at replicas.

    Parameters
    ----------
    parts : RunnerParts
        Shared components of the request runner.
    """

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._sent = BytesInFlight()

    def add(
        self, request: CallerRequest, replica: Replica, reads: bool = True, copy: bool = False
    ) -> Allocation:
        """Add and return the allocation of a request or a copy at a replica.

        Parameters
        ----------
        request : CallerRequest
            Request that takes the memory.
        replica : Replica
            Replica that the request or copy is sent to.
        reads : bool
            Whether the replica has to process the prompt.
        copy : bool
            Whether the replica gets only a copy of the memory.
        """
        unread = request.prompt_tokens if reads else 0
        allocation = Allocation(
            request.request_id,
            need_tokens(request),
            unread,
            used_tokens=request.prompt_tokens,
            is_copy=copy,
        )
        self._parts.tracker.add(replica.name, allocation)
        if not copy:
            allocation.body_bytes = len(request.relay.body)
            self._sent.add(replica.name, allocation.body_bytes)
        return allocation

    def remove(self, replica: Replica, allocation: Allocation) -> None:
        """Remove an allocation from a replica."""
        self._parts.tracker.remove(replica.name, allocation)
        self._sent.remove(replica.name, allocation.body_bytes)
        allocation.body_bytes = 0

    def full_replicas(self, size: int) -> frozenset[str]:
        """Return the replicas whose limit of bytes from this instance `size` would exceed."""
        return self._sent.replicas_without_room(size, self._parts.instance_count())

    def mark_prompt_read(self, allocation: Allocation) -> None:
        """Record that a replica has processed a request's prompt."""
        self._parts.tracker.mark_prompt_read(allocation)

    def mark_not_evictable(self, allocation: Allocation) -> None:
        """Record that a copy is no longer evictable."""
        self._parts.tracker.mark_not_evictable(allocation)

    def expect_resume(self, allocation: Allocation, primary: Replica) -> None:
        """Record when a generation will resume from its copy because its primary leaves."""
        shutdown_times = self._parts.shutdown_times
        shutdown_times.note_leaving(primary.name, self._parts.clock())
        at = shutdown_times.expected_at(primary.name)
        if at is not None and (
            allocation.resumes_at is None or abs(at - allocation.resumes_at) > MIN_SENT_CHANGE_S
        ):
            allocation.resumes_at = at
            self._parts.tracker.notify_listeners()

    def shutdown_in_s(self, replica: Replica) -> float | None:
        """Return the time until a leaving replica is shut down, in seconds; None if unknown."""
        at = self._parts.shutdown_times.expected_at(replica.name)
        return None if at is None else at - self._parts.clock()

    def note_gone(self, replica: Replica) -> None:
        """Record that a replica is gone, from which the estimates of shutdowns are updated."""
        self._parts.shutdown_times.note_gone(replica.name, self._parts.clock())
