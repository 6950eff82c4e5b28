"""Which faults a soak brings about, and when: drawn from its seed; pure."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

# How long a fault lasts, in seconds.
SHORTEST_S = 0.4
LONGEST_S = 4.0
# The same of a limit: it is held against the fleet from three seconds after its naming on.
SHORTEST_LIMIT_S = 4.0
LONGEST_LIMIT_S = 9.0
_LIMIT_S = (SHORTEST_LIMIT_S, LONGEST_LIMIT_S)
# Time between two faults, in seconds, on average.
PAUSE_S = 0.9
# The same between two replicas that leave bodies unread, and how long they leave one, in seconds.
UNREAD_PAUSE_S = 3.0
_UNREAD_S = (0.2, 3.0)
# Chance from 0 to 1 that the next fault comes at once, on top of the last one.
AT_ONCE = 0.3
# Limits that replicas name, in requests a second.
LIMITS = (0.5, 2.0, 3.3, 8.0)


class FaultKind(Enum):
    """What happens to a process, or to the links in front of it."""

    KILL = "killed and started again"
    STOP = "stands still"
    DRAIN = "planned stop, and started again"
    SILENCE = "links carry nothing"
    SILENCE_BACK = "links carry nothing back"
    RESET = "connections are reset, new ones refused"
    RESET_ONCE = "connections are reset"
    DELAY = "links are slow"
    BACKOFF = "asks for a backoff"
    LIMIT = "names a limit"
    EVENTS = "repeats, skips and resets events"
    SLOW = "steps are slow"
    UNREAD = "leaves bodies unread for a while"


# What may happen to whom. Services are not killed: they keep the record of what ran.
_OF_ENTRIES = (FaultKind.KILL, FaultKind.STOP, FaultKind.DRAIN)
_OF_CONTROLS = (FaultKind.KILL, FaultKind.STOP)
_OF_LINKS = (
    FaultKind.SILENCE,
    FaultKind.SILENCE_BACK,
    FaultKind.RESET,
    FaultKind.RESET_ONCE,
    FaultKind.DELAY,
)
_OF_ENGINES = (FaultKind.KILL, FaultKind.STOP, FaultKind.EVENTS, FaultKind.SLOW)
_OF_REPLICAS = (FaultKind.BACKOFF, FaultKind.LIMIT, *_OF_LINKS)
KINDS_OF: dict[str, tuple[FaultKind, ...]] = {
    "entry": (*_OF_ENTRIES, *_OF_LINKS),
    "control": (*_OF_CONTROLS, *_OF_LINKS),
    "engine": (*_OF_ENGINES, *_OF_REPLICAS),
    "service": (FaultKind.STOP, *_OF_REPLICAS),
}


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at_s, for_s : float
        When it begins, from the start of the run, and how long it lasts, in seconds.
    kind : FaultKind
        What happens.
    process : str
        To whom.
    strength : float
        Milliseconds of delay, requests a second of a limit, or seconds of a backoff or
        before a body is read.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    process: str
    strength: float = 0.0

    @property
    def until_s(self) -> float:
        """When it ends, from the start of the run, in seconds."""
        return self.at_s + self.for_s


@dataclass(slots=True)
class FaultPlan:
    """All faults of a run, in order of their beginning."""

    faults: list[Fault] = field(default_factory=list)

    def overlapping(self, fault: Fault, process: str) -> bool:
        """Return whether a fault of a process would lie over another of the same."""
        return any(
            one.process == process and one.at_s < fault.until_s and fault.at_s < one.until_s
            for one in self.faults
        )


def draw_faults(processes: Sequence[tuple[str, str]], length_s: float, seed: int) -> FaultPlan:
    """Return the faults of a run.

    Faults come in series and overlap, one at a time for each process; all control instances
    at once are spared, for what is acknowledged must have been on the disks of most.

    Parameters
    ----------
    processes : sequence of tuple of str
        Names and modules of those that faults may hit.
    length_s : float
        When the last one has ended, in seconds.
    seed : int
        What they are drawn from.
    """
    random = Random(seed)
    plan = FaultPlan()
    at_s = 0.5
    while at_s < length_s - SHORTEST_S:
        name, module = random.choice(processes)
        kind = random.choice(KINDS_OF[module])
        limit = kind is FaultKind.LIMIT
        shortest_s, longest_s = _LIMIT_S if limit else (SHORTEST_S, LONGEST_S)
        for_s = min(random.uniform(shortest_s, longest_s), length_s - at_s)
        fault = Fault(at_s, for_s, kind, name, _strength(kind, random))
        if not plan.overlapping(fault, name):
            plan.faults.append(fault)
        if random.random() > AT_ONCE:
            at_s += random.expovariate(1.0 / PAUSE_S)
    _add_unread(plan, processes, length_s, seed)
    return plan


def _add_unread(
    plan: FaultPlan, processes: Sequence[tuple[str, str]], length_s: float, seed: int
) -> None:
    """Have replicas leave bodies unread, beside what the seed draws of the rest."""
    random = Random(f"{seed} unread")
    replicas = [name for name, module in processes if module in ("engine", "service")]
    at_s = 0.5
    while replicas and at_s < length_s - SHORTEST_S:
        for_s = min(random.uniform(SHORTEST_S, LONGEST_S), length_s - at_s)
        unread_s = random.uniform(*_UNREAD_S)
        fault = Fault(at_s, for_s, FaultKind.UNREAD, random.choice(replicas), unread_s)
        if not plan.overlapping(fault, fault.process):
            plan.faults.append(fault)
        at_s += random.expovariate(1.0 / UNREAD_PAUSE_S)
    plan.faults.sort(key=lambda one: one.at_s)


def _strength(kind: FaultKind, random: Random) -> float:
    draw: dict[FaultKind, Callable[[], float]] = {
        FaultKind.DELAY: lambda: random.uniform(5.0, 200.0),
        FaultKind.LIMIT: lambda: random.choice(LIMITS),
        FaultKind.BACKOFF: lambda: random.uniform(0.1, 2.0),
    }
    return draw[kind]() if kind in draw else 0.0
