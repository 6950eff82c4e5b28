"""Order by stake: which copies give way first, which generations leave first; pure.

Every entry instance is told of all copies and generations at a replica
(`MemoryNote`) and computes the same order, so that each knows without another
message whether it is the turn of its own.
"""

from collections.abc import Iterable

from reachlink.requests._load_notes import MemoryNote

# Share of a replica's memory, from 0 to 1, beyond which copies give way: the rest
# is for what grows until all instances have heard of it.
FULL = 0.93


def rank(generation: MemoryNote, others: Iterable[MemoryNote]) -> int:
    """Return how many other generations at a replica should be copied away before one.

    The most at stake goes first: a replica's link takes one copy after the other,
    and its notice is too short for all.

    Parameters
    ----------
    generation : MemoryNote
        The generation.
    others : iterable of MemoryNote
        Those at the replica that no other replica has a copy of; the generation
        itself may be among them.

    Examples
    --------
    >>> small, large = MemoryNote(1, 3000, 10), MemoryNote(2, 5000, 90)
    >>> rank(large, [small, large]), rank(small, [small, large])
    (0, 1)
    """
    mine = (-generation.stake, generation.key)
    return sum(1 for other in others if (-other.stake, other.key) < mine)


def gives_way(
    copy: MemoryNote, copies: Iterable[MemoryNote], firm_tokens: int, capacity_tokens: int
) -> bool:
    """Return whether a copy is among those that have to make room.

    Parameters
    ----------
    copy : MemoryNote
        The copy.
    copies : iterable of MemoryNote
        All copies at the replica that give way, this one included.
    firm_tokens : int
        Memory that is taken by what does not give way, in tokens.
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
    excess = firm_tokens - FULL * capacity_tokens
    kept = 0
    for other in sorted(copies, key=lambda c: (-c.stake, c.key)):
        kept += other.tokens
        if other.key == copy.key:
            return excess + kept > 0.0
    return False
