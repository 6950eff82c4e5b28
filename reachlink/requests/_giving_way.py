"""Which copies of generations make room at a replica that has promised too much; pure.

Every instance knows all copies at a replica and comes to the same order, so
that no message is needed to agree on who frees what.
"""

from collections.abc import Iterable

from reachlink.requests._shared_load import CopyNote

# Share of a replica's memory beyond which copies give way: the rest is for what
# grows until all instances have heard of it.
FULL = 0.93


def gives_way(
    copy: CopyNote, copies: Iterable[CopyNote], firm_tokens: int, capacity_tokens: int
) -> bool:
    """Return whether a copy is among those that have to make room.

    Parameters
    ----------
    copy : CopyNote
        The copy.
    copies : iterable of CopyNote
        All copies at the replica that give way, this one included.
    firm_tokens : int
        Memory that is taken by what does not give way, in tokens.
    capacity_tokens : int
        Memory of the replica, in tokens.

    Examples
    --------
    >>> small, large = CopyNote(1, 3000, 10), CopyNote(2, 5000, 90)
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
