"""Bounds the bytes of requests that one instance has in flight at each replica; pure.

The bound protects replicas, which hold long bodies until their answers end, from many instances
that send at once. No instance knows the total, so each keeps to an equal share of an assumed
capacity of the replica. The total stays within the capacity if the loads of the instances are
similar, and exceeds it if some instances send more than their share of long bodies at once.
"""

from reachlink.limits._buffer_budget import MAX_SHORT_BYTES

# Assumed capacity of a replica for requests from all instances, in bytes.
REPLICA_CAPACITY_BYTES = 64 << 20
# Smallest share of one instance, in bytes.
MIN_SHARE_BYTES = 2 << 20


class BytesInFlight:
    """Bytes of requests in flight, by replica.

    Parameters
    ----------
    capacity : int
        Capacity of a replica for requests from all instances, in bytes.
    min_share : int
        Smallest share of one instance, in bytes.
    """

    def __init__(
        self, capacity: int = REPLICA_CAPACITY_BYTES, min_share: int = MIN_SHARE_BYTES
    ) -> None:
        self._capacity = capacity
        self._min_share = min_share
        self._sent: dict[str, int] = {}

    def bytes_at(self, replica: str) -> int:
        """Return the bytes in flight at a replica."""
        return self._sent.get(replica, 0)

    def replicas_without_room(self, size: int, instances: int) -> frozenset[str]:
        """Return the replicas that should not get a request of the given size now.

        A replica without requests from this instance accepts any size, and a short request may
        go to any replica.

        Parameters
        ----------
        size : int
            Size of the request's body in bytes.
        instances : int
            Number of instances that send to the replicas, including this one.
        """
        if size <= MAX_SHORT_BYTES:
            return frozenset()
        share = max(self._min_share, self._capacity // max(1, instances))
        return frozenset(name for name, sent in self._sent.items() if sent + size > share)

    def add(self, replica: str, size: int) -> None:
        """Record that a request was sent to a replica."""
        if size:
            self._sent[replica] = self._sent.get(replica, 0) + size

    def remove(self, replica: str, size: int) -> None:
        """Record that a request at a replica has ended."""
        left = self._sent.get(replica, 0) - size
        if left > 0:
            self._sent[replica] = left
        else:
            self._sent.pop(replica, None)
