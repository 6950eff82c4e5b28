"""Conversions of the replica list between instances; does no I/O."""

import zlib
from collections.abc import Iterable

from reachlink.membership import InstanceState, ListedInstance, ReplicaDirectory
from reachlink.requests import ListedReplica


def listed_replicas(directory: ReplicaDirectory, now: float) -> list[ListedReplica]:
    """Return all replicas, with whether each is known to be leaving and how long it is cold."""
    return [
        ListedReplica(
            name=replica.name,
            service=replica.upstream,
            availability_zone=replica.availability_zone,
            address=replica.address,
            leaving=not directory.stays(replica.name),
            cold_s=round(directory.cold_s(replica.name, now), 3),
            born=directory.born(replica.name),
        )
        for replica in directory.all()
    ]


def replica_list_digest(listed: Iterable[ListedReplica]) -> int:
    """Return a digest of a replica list, which is never 0.

    The time for which replicas are still cold is left out, as it changes continuously.

    Examples
    --------
    >>> one = ListedReplica("r1", "chat", "a", "r1:1", False)
    >>> leaving = ListedReplica("r1", "chat", "a", "r1:1", True)
    >>> replica_list_digest([one]) == replica_list_digest([leaving])
    False
    """
    lines = sorted(f"{r.name} {r.address} {r.leaving} {r.born}" for r in listed)
    return zlib.crc32("\n".join(lines).encode()) | 1 << 32


def to_listed_replica(instance: ListedInstance) -> ListedReplica:
    """Return an entry of the platform's list as instances send it."""
    return ListedReplica(
        name=instance.name,
        service=instance.upstream,
        availability_zone=instance.availability_zone,
        address=instance.address,
        leaving=instance.state is InstanceState.LEAVING,
        cold_s=instance.cold_s,
        born=instance.born,
    )


def to_listed_instances(listed: Iterable[ListedReplica]) -> list[ListedInstance]:
    """Return replicas that another instance has sent as entries of the platform's list."""
    return [
        ListedInstance(
            replica.name,
            replica.service,
            replica.availability_zone,
            replica.address,
            InstanceState.LEAVING if replica.leaving else InstanceState.LIVE,
            replica.cold_s,
            replica.born,
        )
        for replica in listed
    ]
