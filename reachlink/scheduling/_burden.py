"""Load of a replica with one more request; free of I/O and clocks."""

from reachlink.scheduling._option import Option

# Pending prompts of this many tokens add 1 to the load, as much as the whole memory: they
# delay everything that comes after them.
UNREAD_TOKENS = 6000.0


def burden(option: Option, need_tokens: int, copies: bool = True) -> float:
    """Return the load of an engine with one more request.

    Parameters
    ----------
    option : Option
        Replica.
    need_tokens : int
        Memory that the request needs at its end, in tokens.
    copies : bool
        Whether copies count, which are dropped on demand.

    Returns
    -------
    float
        Load; 1 if the memory or the slots are full, infinite for a plain service.
    """
    capacity = option.capacity_tokens
    if not capacity:
        return float("inf")
    taken = option.tokens + need_tokens
    if copies:
        taken += option.copy_tokens
    load = max(taken / capacity, option.running / (option.slots or 1))
    return load + option.unread_tokens / UNREAD_TOKENS
