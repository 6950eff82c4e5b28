"""Order of evictions, and of copies from leaving replicas, by expected loss.

Every entry instance receives the summaries of all copies and generations at a replica
(`AllocationSummary`) and computes the same order. Each instance therefore knows without
further messages when its own are next. This module does no input or output.
"""

from collections.abc import Iterable

from reachlink.requests._load_updates import AllocationSummary

# Fraction of a replica's memory, from 0 to 1, above which copies are evicted. The rest is for
# the growth of generations until all instances have learned of it.
EVICTION_THRESHOLD = 0.93


def departure_copy_rank(generation: AllocationSummary, others: Iterable[AllocationSummary]) -> int:
    """Return the number of generations to copy from a leaving replica before the given one.

    Generations with the highest expected loss go first: the network link of a replica
    transfers one copy after the other, and a shutdown notice is too short for all.

    Parameters
    ----------
    generation : AllocationSummary
        Generation whose rank is returned.
    others : iterable of AllocationSummary
        Generations at the replica that no other replica has a copy of; may include
        `generation`.

    Examples
    --------
    >>> small, large = AllocationSummary(1, 3000, 10), AllocationSummary(2, 5000, 90)
    >>> departure_copy_rank(large, [small, large]), departure_copy_rank(small, [small, large])
    (0, 1)
    """
    mine = (-generation.expected_loss, generation.key)
    return sum(1 for other in others if (-other.expected_loss, other.key) < mine)


def must_evict(
    copy: AllocationSummary,
    copies: Iterable[AllocationSummary],
    not_evictable_tokens: int,
    capacity_tokens: int,
) -> bool:
    """Return whether a copy has to be evicted to make room.

    Parameters
    ----------
    copy : AllocationSummary
        Copy to decide on.
    copies : iterable of AllocationSummary
        All evictable copies at the replica, including `copy`.
    not_evictable_tokens : int
        Memory that is not evictable, in tokens.
    capacity_tokens : int
        Memory of the replica, in tokens.

    Examples
    --------
    >>> small, large = AllocationSummary(1, 3000, 10), AllocationSummary(2, 5000, 90)
    >>> must_evict(small, [small, large], 22_000, 30_000)
    True
    >>> must_evict(large, [small, large], 22_000, 30_000)
    False
    """
    excess = not_evictable_tokens - EVICTION_THRESHOLD * capacity_tokens
    kept = 0
    for other in sorted(copies, key=lambda c: (-c.expected_loss, c.key)):
        kept += other.tokens
        if other.key == copy.key:
            return excess + kept > 0.0
    return False
