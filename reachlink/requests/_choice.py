"""Which replica a request goes to; pure."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

# A replica of another zone is taken where it has this many requests less.
FAR_HANDICAP = 0.5
# A prompt of this many tokens that is still to be read counts as much as half
# of the memory: it holds up everything that comes after it.
UNREAD_TOKENS = 6000.0


@dataclass(slots=True, frozen=True)
class Terms:
    """On what terms an engine's memory is given.

    Attributes
    ----------
    full : float
        Share of the memory that may be promised. Requests need less than they
        are promised until they end, so that it may be more than the whole.
    far : float
        How much more of its memory a replica of another zone may have free and
        yet not be preferred, as a share.
    """

    full: float
    far: float


# Another zone may be cut off at any moment.
REQUEST = Terms(full=1.05, far=0.08)
# A copy to another zone takes twice as long.
COPY = Terms(full=0.48, far=0.15)
# Where a generation runs in another zone, its copy should be in this one: it
# is what goes on when the zones are cut off from each other.
COPY_HOME = Terms(full=0.55, far=0.6)
# Nothing is worse than to lose a generation: any room will do.
RESCUE = Terms(full=1.25, far=0.15)


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
    unread_tokens : int
        Prompts that it still has to read, in tokens.
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
    unread_tokens: int = 0
    capacity_tokens: int = 0
    trust: float = 1.0


def choose(
    options: Iterable[Option], need_tokens: int, random: Random, terms: Terms = REQUEST
) -> str | None:
    """Return the replica that a request should go to, or None where none is fit for it.

    Parameters
    ----------
    options : iterable of Option
        Replicas that may get it.
    need_tokens : int
        Memory that it will need, in tokens.
    random : random.Random
        Source of tie-breaks.
    terms : Terms
        On what terms an engine's memory is given.
    """
    fit = [o for o in options if o.trust > 0.0 and _has_room(o, need_tokens, terms.full)]
    if not fit:
        return None
    # A replica that recovers gets its share; where there is no other, all of it.
    usable = [o for o in fit if random.random() < o.trust] or fit
    return min(usable, key=lambda o: (_cost(o, need_tokens, terms.far), random.random())).name


def _has_room(option: Option, need_tokens: int, full: float) -> bool:
    if not option.capacity_tokens:
        return True
    return option.tokens + need_tokens <= full * option.capacity_tokens


def _cost(option: Option, need_tokens: int, far_share: float) -> float:
    """Return how much a request would be held up, and hold up others; least is best."""
    slots = max(1, option.slots)
    if not option.capacity_tokens:
        far = 0.0 if option.near else FAR_HANDICAP
        return (option.running + far) / slots
    memory = (option.tokens + need_tokens) / option.capacity_tokens
    far = 0.0 if option.near else far_share
    return max(memory, option.running / slots) + option.unread_tokens / UNREAD_TOKENS + far
