"""Load of a replica with one more request; free of I/O and clocks."""

from reachlink.scheduling._replica_option import ReplicaOption

# Unread prompts of this many tokens add 1 to the load, as much as the whole memory: they delay
# everything that comes after them.
UNREAD_TOKENS_PER_LOAD = 6000.0


def load_with_request(option: ReplicaOption, need_tokens: int, copies: bool = True) -> float:
    """Return the load of an engine with one more request.

    Parameters
    ----------
    option : ReplicaOption
        Replica.
    need_tokens : int
        Memory that the request needs at its end, in tokens.
    copies : bool
        Whether evictable copies count.

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
    return load + option.unread_tokens / UNREAD_TOKENS_PER_LOAD
