"""Order of evictions, and of copies from leaving replicas, by expected loss.

Every entry instance receives the summaries of all copies and generations at a replica
(`MemoryNote`) and computes the same order. Each instance therefore knows without
further messages when its own are next. This module does no input or output.
"""

from collections.abc import Iterable

from reachlink.requests._load_notes import MemoryNote

# Fraction of a replica's memory, from 0 to 1, above which copies are evicted. The rest is for
# the growth of generations until all instances have learned of it.
EVICTION_THRESHOLD = 0.93


def departure_copy_rank(generation: MemoryNote, others: Iterable[MemoryNote]) -> int:
    """Return the number of generations to copy from a leaving replica before the given one.

    Generations with the highest expected loss go first: the network link of a replica
    transfers one copy after the other, and a shutdown notice is too short for all.

    Parameters
    ----------
    generation : MemoryNote
        Generation whose rank is returned.
    others : iterable of MemoryNote
        Generations at the replica that no other replica has a copy of; may include
        `generation`.

    Examples
    --------
    >>> small, large = MemoryNote(1, 3000, 10), MemoryNote(2, 5000, 90)
    >>> rank(large, [small, large]), rank(small, [small, large])
    (0, 1)
    """
    mine = (-generation.stake, generation.key)
    return sum(1 for other in others if (-other.stake, other.key) < mine)


def must_evict(
    copy: MemoryNote, copies: Iterable[MemoryNote], not_evictable_tokens: int, capacity_tokens: int
) -> bool:
    """Return whether a copy has to be evicted to make room.

    Parameters
    ----------
    copy : MemoryNote
        Copy to decide on.
    copies : iterable of MemoryNote
        All evictable copies at the replica, including `copy`.
    not_evictable_tokens : int
        Memory that is not evictable, in tokens.
    capacity_tokens : int
        Memory of the replica, in tokens.

    Examples
    --------
    >>> small, large = MemoryNote(1, 3000, 10), MemoryNote(2, 5000, 90)
    >>> gives_way(small, [small, large], 22_000, 30_000)
    True
    >>> gives_way(large, [small, large], 22_000, 30_000)
    False
    """
    excess = not_evictable_tokens - EVICTION_THRESHOLD * capacity_tokens
    kept = 0
    for other in sorted(copies, key=lambda c: (-c.stake, c.key)):
        kept += other.tokens
        if other.key == copy.key:
            return excess + kept > 0.0
    return False
