"""A replica with a limit and callers that press, by several ways to share it, in simulated time.

Calls come to entry instances, most of them to those of one part of the fleet, and wait a
little for a permit. What is in question is what reaches the replica from all together: in step
with what it takes, with instances cut off from each other, at a start, and as one ends.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from reachlink.pacing import LimitSharing, PermitQuery, RateLimiter

STEP_S = 0.01
# Before anything happens, and how long each play is measured after it, in seconds.
WARM_UP_S = 6.0
LENGTH_S = 20.0
# How long a call waits for a permit, in seconds.
PATIENCE_S = 0.2
# Share of calls that come to a third of the instances.
SKEW = 0.8
# The promise: requests in some four seconds.
WINDOW_S = 4.0
FACTOR = 1.5
MORE = 5.0
# How often instances tell each other what they have sent, in seconds.
NOTE_S = 0.25
# How often those that grant tell that they are there, in seconds.
SIGN_S = 1.0


class Trouble(Enum):
    """What happens after the warm-up."""

    NONE = "none"
    CUT_IN_TWO = "cut in two"
    CUT_IN_THREE = "cut in three"
    START_OF_ALL = "start of all"
    OWNER_LOST = "owner lost"


@dataclass(slots=True, frozen=True)
class LimitLoad:
    """What is played.

    Attributes
    ----------
    instances : int
        How many entry instances there are; up to 24 all grant, else ten do.
    per_s : float
        Requests a second that the replica takes.
    demand : float
        Calls, as a multiple of that.
    trouble : Trouble
        What happens.
    """

    instances: int
    per_s: float = 3.3
    demand: float = 3.0
    trouble: Trouble = Trouble.NONE

    @property
    def owners(self) -> int:
        """How many instances grant."""
        return self.instances if self.instances <= 24 else 10


@dataclass(slots=True)
class LimitFigures:
    """What came of it.

    Attributes
    ----------
    most : float
        Most requests in some four seconds, as a share of what is promised.
    used : float
        Requests, as a share of what the replica takes.
    messages : float
        Messages a second of all instances.
    """

    most: float
    used: float
    messages: float


class World:
    """Who hears whom, and the time."""

    def __init__(self, load: LimitLoad, random: Random) -> None:
        self.load = load
        self.random = random
        self.now = 1000.0
        self.names = [f"e{n}" for n in range(load.instances)]
        self.side = dict.fromkeys(self.names, 0)
        self.dead: set[str] = set()
        self.messages = 0

    def hears(self, one: str, other: str) -> bool:
        """Return whether two instances reach each other."""
        return not {one, other} & self.dead and self.side[one] == self.side[other]


class Way(ABC):
    """How instances share the limit."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.start()

    @abstractmethod
    def start(self) -> None:
        """Begin, or begin again with nothing known."""

    @abstractmethod
    def wait_s(self, instance: str) -> float:
        """Return when a call at an instance has its permit; above `PATIENCE_S` it has none."""

    @abstractmethod
    def tick(self) -> None:
        """A step of time has passed."""

    def owner(self) -> str:
        """Return the instance whose loss hurts most."""
        return self.world.names[0]


class EachAlone(Way):
    """Each instance keeps to the limit by itself."""

    def tick(self) -> None:
        """Tell nobody."""

    def start(self) -> None:
        """Begin with a meter each."""
        world = self.world
        self._meters = {n: RateLimiter(world.load.per_s, world.now) for n in world.names}

    def wait_s(self, instance: str) -> float:
        """Return when the instance's own meter has a permit."""
        return self._meters[instance].take(self.world.now, PATIENCE_S)


class EqualParts(Way):
    """Each instance has the same part of the limit, whatever comes to it."""

    def tick(self) -> None:
        """Tell nobody."""

    def start(self) -> None:
        """Begin with a part each, at a moment by chance."""
        world = self.world
        part = world.load.per_s / world.load.instances
        self._meters = {
            name: RateLimiter(part, world.now + world.random.random() / part)
            for name in world.names
        }

    def wait_s(self, instance: str) -> float:
        """Return when the instance's part has a permit."""
        return self._meters[instance].take(self.world.now, PATIENCE_S)


class CountedTogether(Way):
    """Each instance tells what it has sent; who sends counts the last second of all it hears."""

    def start(self) -> None:
        """Begin with nothing sent."""
        self._sent: dict[str, deque[float]] = {n: deque() for n in self.world.names}
        self._told: dict[str, list[float]] = {n: [] for n in self.world.names}
        self._next_note = self.world.now

    def wait_s(self, instance: str) -> float:
        """Return 0 where what is known of the last second leaves room."""
        world = self.world
        since = world.now - 1.0
        others = sum(
            sum(at > since for at in told)
            for name, told in self._told.items()
            if name != instance and world.hears(instance, name)
        )
        own = sum(at > since for at in self._sent[instance])
        if own + others + 1 > world.load.per_s:
            return PATIENCE_S + 1.0
        self._sent[instance].append(world.now)
        return 0.0

    def tick(self) -> None:
        """Tell all others now and then."""
        world = self.world
        if world.now < self._next_note:
            return
        self._next_note = world.now + NOTE_S
        for name, sent in self._sent.items():
            while sent and sent[0] < world.now - 1.0:
                sent.popleft()
            self._told[name] = list(sent)
        world.messages += len(world.names) * (len(world.names) - 1)


class HandedOut(Way):
    """One instance grants; sides of a cut grant parts of it by their number."""

    def start(self) -> None:
        """Begin with nobody heard."""
        world = self.world
        self._heard: dict[tuple[str, str], float] = {}
        self._owners = world.names[: world.load.owners]
        self._sharing = {name: self._make(name) for name in world.names}
        self._next_sign = world.now

    def wait_s(self, instance: str) -> float:
        """Return when who grants has a permit, as `LimitExchange` asks."""
        world = self.world
        question = PermitQuery("r", world.load.per_s, 0.0, PATIENCE_S)
        sharing = self._sharing[instance]
        for owner in sharing.owners("r")[:2]:
            world.messages += 2 * (owner != instance)
            reached = owner == instance or world.hears(instance, owner)
            if reached and self._sharing[owner].is_owner("r", world.now):
                return self._sharing[owner].grant(question, world.now)
        return sharing.grant_without_owner(question, world.now)

    def tick(self) -> None:
        """Have those that grant hear of each other."""
        world = self.world
        if world.now < self._next_sign:
            return
        self._next_sign = world.now + SIGN_S
        for one in self._owners:
            for other in self._owners:
                if one != other and world.hears(one, other):
                    self._heard[one, other] = world.now

    def owner(self) -> str:
        """Return the instance that grants."""
        return self._sharing[self._owners[0]].owners("r")[0]

    def _make(self, name: str) -> LimitSharing:
        made = LimitSharing(name, lambda other: self._heard_at(name, other), self.world.random)
        made.update_roster(self._owners, self.world.load.instances, self.world.now)
        return made

    def _heard_at(self, name: str, other: str) -> float:
        return self._heard.get((name, other), float("-inf"))


class HandedOutWhole(HandedOut):
    """The same, but that each side of a cut grants all of it."""

    def _make(self, name: str) -> LimitSharing:
        made = super()._make(name)
        made.share = lambda now: 1.0  # type: ignore[method-assign]
        return made


class TwoThirds(HandedOut):
    """One instance grants two thirds, the rest is parts of the same size."""

    def start(self) -> None:
        """Begin with a part each besides."""
        super().start()
        world = self.world
        part = world.load.per_s / 3.0 / world.load.instances
        self._parts = {
            name: RateLimiter(part, world.now + world.random.random() / part)
            for name in world.names
        }

    def wait_s(self, instance: str) -> float:
        """Return when the instance's part has a permit, or else who grants."""
        own_s = self._parts[instance].take(self.world.now, 0.0)
        return own_s if own_s <= 0.0 else super().wait_s(instance)

    def _make(self, name: str) -> LimitSharing:
        made = super()._make(name)
        made.share = lambda now: 2.0 / 3.0  # type: ignore[method-assign]
        return made


@dataclass(slots=True)
class _Sends:
    at: list[float] = field(default_factory=list)

    def most(self, since: float) -> int:
        late = sorted(at for at in self.at if at >= since)
        most = first = 0
        for last, at in enumerate(late):
            while late[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most


def play(load: LimitLoad, way: Callable[[World], Way], seed: int) -> LimitFigures:
    """Play a load once and return what came of it."""
    random = Random(seed)
    world = World(load, random)
    sharing = way(world)
    sends = _Sends()
    _run(world, sharing, WARM_UP_S, sends)
    since, world.messages = world.now, 0
    _begin(load.trouble, world, sharing)
    _run(world, sharing, LENGTH_S, sends)
    sent = sum(since <= at < world.now for at in sends.at)
    return LimitFigures(
        round(sends.most(since - WINDOW_S) / (FACTOR * load.per_s * WINDOW_S + MORE), 2),
        round(sent / (load.per_s * LENGTH_S), 2),
        round(world.messages / LENGTH_S, 1),
    )


def _begin(trouble: Trouble, world: World, way: Way) -> None:
    sides = {Trouble.CUT_IN_TWO: 2, Trouble.CUT_IN_THREE: 3}.get(trouble, 1)
    world.side = {name: n % sides for n, name in enumerate(world.names)}
    if trouble is Trouble.START_OF_ALL:
        way.start()
    if trouble is Trouble.OWNER_LOST:
        world.dead = {way.owner()}


def _run(world: World, way: Way, length_s: float, sends: _Sends) -> None:
    load, random = world.load, world.random
    until = world.now + length_s
    busy = world.names[: max(1, len(world.names) // 3)]
    next_call = world.now
    while world.now < until:
        world.now = round(world.now + STEP_S, 6)
        way.tick()
        while next_call <= world.now:
            next_call += random.expovariate(load.per_s * load.demand)
            name = random.choice(busy if random.random() < SKEW else world.names)
            if name in world.dead:
                continue
            wait_s = way.wait_s(name)
            if wait_s <= PATIENCE_S:
                sends.at.append(world.now + wait_s)
