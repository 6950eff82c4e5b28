"""Total load that the other instances put on each replica.

This module does no input or output.
"""

from dataclasses import dataclass

import msgspec

from reachlink.requests._load_updates import (
    RESUME_TOLERANCE_S,
    LoadUpdate,
    ReplicaUsage,
    sum_usages,
)

# How long the last message of an instance is valid, in seconds. Each instance sends its load
# at least once a second.
MESSAGE_VALIDITY_S = 3.0
# How long the time of an instance's last message is kept, in seconds: longer than
# instances wait for any zone to become reachable again.
LAST_HEARD_RETENTION_S = 600.0


@dataclass(slots=True)
class _InstanceUsages:
    """Usage of each replica by one instance, and the monotonic time of its message."""

    usages: dict[str, ReplicaUsage]
    received_at: float


@dataclass(slots=True, frozen=True)
class _CachedSum:
    """Cached sum of the usages of one replica.

    Attributes
    ----------
    usage : ReplicaUsage
        Sum of the usages, without the time until the next generation resumes.
    resume_times : tuple of float
        Monotonic times in seconds at which generations are expected to resume there.
    valid_until : float
        Monotonic time in seconds at which the first summand expires.
    """

    usage: ReplicaUsage
    resume_times: tuple[float, ...]
    valid_until: float

    def usage_at(self, now: float) -> ReplicaUsage:
        """Return the sum with the time until the next generation resumes."""
        if not self.resume_times:
            return self.usage
        later = [round(at - now, 3) for at in self.resume_times if at + RESUME_TOLERANCE_S > now]
        return msgspec.structs.replace(self.usage, resumes_in_s=min(later, default=None))


class PeerLoad:
    """Keeps the load that the other instances sent, and sums it up for each replica.

    Examples
    --------
    >>> load = PeerLoad()
    >>> load.update(LoadUpdate("e1", [ReplicaUsage("r1", running=2, tokens=7000)]), 0.0)
    >>> load.usage_at("r1", 1.0).tokens
    7000
    >>> load.usage_at("r1", 1.0, without="e1").tokens
    0
    >>> load.usage_at("r1", 9.0).tokens
    0
    """

    def __init__(self) -> None:
        self._usages: dict[str, _InstanceUsages] = {}
        # Instances that have allocations at each replica: a sum goes over about ten of
        # these instead of over all instances.
        self._instances_at: dict[str, set[str]] = {}
        # Cached sums over all instances. A decision needs them for about a hundred replicas;
        # the cache halves its duration.
        self._sums: dict[str, _CachedSum] = {}
        # Times of the last messages, kept longer than their contents, to know for how long
        # an instance has been silent.
        self._last_heard: dict[str, float] = {}

    def update(self, message: LoadUpdate, now: float) -> None:
        """Replace the load of one instance by that of its new message."""
        self._last_heard[message.instance] = now
        self._drop(message.instance)
        self._usages[message.instance] = _InstanceUsages(
            {s.replica: s for s in message.usages}, now
        )
        for usage in message.usages:
            self._instances_at.setdefault(usage.replica, set()).add(message.instance)
            self._sums.pop(usage.replica, None)

    def add(self, instance: str, usage: ReplicaUsage, now: float) -> None:
        """Add to the load of an instance until its next message.

        Used for a request that was just placed for the instance. The instance's own message
        follows some milliseconds later, and other requests are placed in the meantime.
        """
        if (
            instance in self._usages
            and now - self._usages[instance].received_at > MESSAGE_VALIDITY_S
        ):
            self._drop(instance)
        latest = self._usages.setdefault(instance, _InstanceUsages({}, now))
        previous = latest.usages.get(usage.replica)
        latest.usages[usage.replica] = sum_usages([previous, usage]) if previous else usage
        self._instances_at.setdefault(usage.replica, set()).add(instance)
        self._sums.pop(usage.replica, None)

    def forget(self, instance: str) -> None:
        """Drop the load of an instance that reports to another coordinator or is gone."""
        self._drop(instance)
        self._last_heard.pop(instance, None)

    def forget_silent(self, now: float) -> None:
        """Drop instances that have been silent for long, to bound the number of names kept."""
        for instance in [
            n for n, at in self._last_heard.items() if now - at > LAST_HEARD_RETENTION_S
        ]:
            self.forget(instance)

    def last_heard(self, instance: str) -> float:
        """Return the monotonic time in seconds of an instance's last message."""
        return self._last_heard.get(instance, float("-inf"))

    def usages_of(self, instance: str, now: float) -> list[ReplicaUsage]:
        """Return the usages that one instance sent, with time spans as of now."""
        latest = self._usages.get(instance)
        if latest is None or now - latest.received_at > MESSAGE_VALIDITY_S:
            return []
        return [_with_elapsed(usage, now - latest.received_at) for usage in latest.usages.values()]

    def usage_at(self, replica: str, now: float, without: str = "") -> ReplicaUsage:
        """Return the total usage of a replica by the other instances.

        Parameters
        ----------
        replica : str
            Name of the replica.
        now : float
            Monotonic time in seconds.
        without : str
            Name of an instance to exclude from the sum.
        """
        if without and without in self._instances_at.get(replica, ()):
            return self._sum_usages(replica, now, without).usage_at(now)
        cached = self._sums.get(replica)
        if cached is None or now > cached.valid_until:
            cached = self._sums[replica] = self._sum_usages(replica, now)
        return cached.usage_at(now)

    def _sum_usages(self, replica: str, now: float, without: str = "") -> _CachedSum:
        usages: list[ReplicaUsage] = []
        resume_times: list[float] = []
        until = float("inf")
        for name in list(self._instances_at.get(replica, ())):
            latest = self._usages[name]
            if now - latest.received_at > MESSAGE_VALIDITY_S:
                self._drop(name)
            elif name != without:
                usage = latest.usages[replica]
                usages.append(usage)
                until = min(until, latest.received_at + MESSAGE_VALIDITY_S)
                if usage.resumes_in_s is not None:
                    resume_times.append(latest.received_at + usage.resumes_in_s)
        total = sum_usages(usages) if usages else ReplicaUsage(replica, 0, 0)
        return _CachedSum(
            msgspec.structs.replace(total, resumes_in_s=None), tuple(resume_times), until
        )

    def _drop(self, instance: str) -> None:
        latest = self._usages.pop(instance, None)
        for replica in latest.usages if latest else ():
            self._instances_at[replica].discard(instance)
            self._sums.pop(replica, None)
            if not self._instances_at[replica]:
                del self._instances_at[replica]


def _with_elapsed(usage: ReplicaUsage, passed_s: float) -> ReplicaUsage:
    if usage.resumes_in_s is None:
        return usage
    return msgspec.structs.replace(usage, resumes_in_s=round(usage.resumes_in_s - passed_s, 3))
