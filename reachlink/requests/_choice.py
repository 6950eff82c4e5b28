"""Which replica a request goes to; pure."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

# A replica of another zone is taken where it has this many requests less.
FAR_HANDICAP = 0.5


@dataclass(slots=True, frozen=True)
class Option:
    """A replica that may get a request.

    Attributes
    ----------
    name : str
        The replica.
    near : bool
        Whether it is in this instance's zone.
    running : int
        Requests likely there.
    slots : int
        Requests that it works on at once; 0 where unknown.
    tokens : int
        Memory that its requests need, in tokens.
    capacity_tokens : int
        Memory that it has, in tokens; 0 for a plain service.
    trust : float
        0 to 1; 0 for none.
    """

    name: str
    near: bool
    running: int
    slots: int
    tokens: int = 0
    capacity_tokens: int = 0
    trust: float = 1.0


def choose(options: Iterable[Option], need_tokens: int, random: Random) -> str | None:
    """Return the replica that a request should go to, or None where no one is to be trusted.

    Parameters
    ----------
    options : iterable of Option
        Replicas that may get it.
    need_tokens : int
        Memory that it will need, in tokens.
    random : random.Random
        Source of tie-breaks.
    """
    usable = [o for o in options if o.trust > 0.0 and random.random() < o.trust]
    if not usable:
        return None
    return min(usable, key=lambda o: (_cost(o, need_tokens), random.random())).name


def _cost(option: Option, need_tokens: int) -> float:
    """Return the share of the replica that will be in use, far ones handicapped."""
    far = 0.0 if option.near else FAR_HANDICAP
    slots = max(1, option.slots)
    used = (option.running + far) / slots
    if option.capacity_tokens:
        memory = (option.tokens + need_tokens) / option.capacity_tokens
        return max(memory, used) + (0.0 if option.near else 0.02)
    return used
