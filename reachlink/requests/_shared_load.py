"""What the entry instances tell each other of their requests at model engines; pure."""

from dataclasses import dataclass

import msgspec

# What a silent instance told last counts for this long, in seconds; each tells
# at least once a second.
KEPT_S = 3.0


class MemoryNote(msgspec.Struct, array_like=True, frozen=True):
    """A generation, or a copy of its memory that gives way where room is needed.

    Attributes
    ----------
    key : int
        Tells those of equal stake apart; the same at every instance.
    tokens : int
        Memory that it takes now, in tokens.
    stake : int
        What would be lost with it; the least gives way first.
    """

    key: int
    tokens: int
    stake: int


class ReplicaShare(msgspec.Struct, array_like=True, frozen=True):
    """One instance's own requests at one replica; memory in tokens.

    `tokens` is what they will need at their end, `used_tokens` what they take
    now; both are without the copies that give way, which `copies` lists.
    `uncovered` lists the generations that no other replica has a copy of, and
    `arriving` counts the copies on their way.
    """

    replica: str
    running: int
    tokens: int
    unread_tokens: int = 0
    used_tokens: int = 0
    copies: tuple[MemoryNote, ...] = ()
    uncovered: tuple[MemoryNote, ...] = ()
    arriving: int = 0

    @property
    def copy_tokens(self) -> int:
        """Memory of the copies that give way, in tokens."""
        return sum(copy.tokens for copy in self.copies)


class ReplicaNews(msgspec.Struct, array_like=True, frozen=True):
    """What one instance read in a replica's report, `age_s` seconds before it tells."""

    replica: str
    leaving: bool
    kv_used_tokens: int
    running: int
    age_s: float


class ListedReplica(msgspec.Struct, array_like=True, frozen=True):
    """A replica that one instance has found new, or leaving, in the platform's list."""

    name: str
    service: str
    availability_zone: str
    address: str
    leaving: bool


class LoadNote(msgspec.Struct, array_like=True, frozen=True):
    """All of an instance's own requests, and what it read in reports and the list lately.

    Replicas that are missing in `shares` have none of its requests.
    """

    instance: str
    shares: list[ReplicaShare]
    news: list[ReplicaNews] = []
    listed: list[ListedReplica] = []


@dataclass(slots=True)
class _Told:
    shares: dict[str, ReplicaShare]
    at: float


class SharedLoad:
    """The sum of what the other instances told.

    Examples
    --------
    >>> load = SharedLoad()
    >>> load.take(LoadNote("e1", [ReplicaShare("r1", 2, 7000)]), 0.0)
    >>> load.at("r1", 1.0).tokens
    7000
    >>> load.at("r1", 9.0).tokens
    0
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._heard: dict[str, float] = {}

    def take(self, note: LoadNote, now: float) -> None:
        """Take what one instance tells, in place of what it told before."""
        self._heard[note.instance] = now
        self._told[note.instance] = _Told({s.replica: s for s in note.shares}, now)

    def last_heard(self, instance: str) -> float:
        """Return when an instance told something last, in monotonic seconds."""
        return self._heard.get(instance, float("-inf"))

    def at(self, replica: str, now: float) -> ReplicaShare:
        """Return the sum of the other instances' requests at a replica."""
        running = tokens = unread = used = arriving = 0
        copies: list[MemoryNote] = []
        uncovered: list[MemoryNote] = []
        for name, told in list(self._told.items()):
            if now - told.at > KEPT_S:
                del self._told[name]
                continue
            share = told.shares.get(replica)
            if share is not None:
                running += share.running
                tokens += share.tokens
                unread += share.unread_tokens
                used += share.used_tokens
                copies.extend(share.copies)
                uncovered.extend(share.uncovered)
                arriving += share.arriving
        return ReplicaShare(
            replica, running, tokens, unread, used, tuple(copies), tuple(uncovered), arriving
        )
