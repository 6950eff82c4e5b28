"""What the entry instances tell each other of their requests at model engines; pure.

The structs here go over the wire as arrays: the order of their fields is the
format, and new fields go to the end with a default.
"""

from dataclasses import dataclass

import msgspec

# How long what an instance told last counts, in seconds: each tells its load at
# least once a second.
KEPT_S = 3.0
# How long it is known when a silent instance was heard last, in seconds: longer than
# any zone is waited for to come back.
HEARD_KEPT_S = 600.0
# How long after a generation was expected to go on at another replica it may still
# do so, in seconds: what the expected time is off by, and its first event.
JOIN_SETTLES_S = 0.12


class MemoryNote(msgspec.Struct, array_like=True, frozen=True):
    """Memory of a generation, or of a copy of one, that the instances order among themselves.

    Attributes
    ----------
    key : int
        Hash of the request's name. It orders those of equal stake, the same way
        at every instance.
    tokens : int
        Memory that it takes now, in tokens.
    stake : int
        What would be lost with the generation (`Outlook.stake`). Copies with the
        least give way first; generations with the most leave first.
    """

    key: int
    tokens: int
    stake: int


class ReplicaShare(msgspec.Struct, array_like=True, frozen=True):
    """One instance's own requests at one replica, or the sum over several instances.

    Attributes
    ----------
    replica : str
        The replica.
    running : int
        Requests there, without copies.
    tokens : int
        Memory that requests and copies are expected to need at their end, in
        tokens, without the copies that give way.
    unread_tokens : int
        Prompts that the replica still has to read, in tokens.
    used_tokens : int
        Memory that requests and copies take now, in tokens, without the copies
        that give way.
    copies : tuple of MemoryNote
        The copies that give way where room is needed.
    uncovered : tuple of MemoryNote
        The running generations that no other replica has a copy of.
    arriving : int
        Copies whose first move to the replica has not ended yet.
    joins_in_s : float, optional
        Time until the next generation is expected to go on at the replica from a
        home that leaves, in seconds; may be a little below 0.
    """

    replica: str
    running: int
    tokens: int
    unread_tokens: int = 0
    used_tokens: int = 0
    copies: tuple[MemoryNote, ...] = ()
    uncovered: tuple[MemoryNote, ...] = ()
    arriving: int = 0
    joins_in_s: float | None = None

    @property
    def copy_tokens(self) -> int:
        """Memory of the copies that give way, in tokens."""
        return sum(copy.tokens for copy in self.copies)


class ReplicaNews(msgspec.Struct, array_like=True, frozen=True):
    """What one instance read in a replica's report.

    Attributes
    ----------
    replica : str
        The replica.
    leaving : bool
        Whether it said that it leaves.
    kv_used_tokens : int
        Memory in use there, in tokens, copies included.
    running : int
        Requests running there, those of all instances.
    age_s : float
        How long before telling it was read, in seconds: the instances' clocks
        are not compared.
    leaves_in_s : float, optional
        Time from then until it is taken away, in seconds, where it said so.
    """

    replica: str
    leaving: bool
    kv_used_tokens: int
    running: int
    age_s: float
    leaves_in_s: float | None = None


class ListedReplica(msgspec.Struct, array_like=True, frozen=True):
    """A replica that one instance has found new, or leaving, in the platform's list.

    Attributes
    ----------
    name : str
        The replica.
    service : str
        Service whose requests it takes.
    availability_zone : str
        Zone that it is in.
    address : str
        Host and port as the platform lists them.
    leaving : bool
        Whether the list says that it leaves.
    """

    name: str
    service: str
    availability_zone: str
    address: str
    leaving: bool


class ReplicaOutcome(msgspec.Struct, array_like=True, frozen=True):
    """How a request went at a replica.

    Attributes
    ----------
    replica : str
        The replica.
    good : bool
        Whether it delivered.
    answered : bool
        Whether it answered, be it that the request has failed.
    """

    replica: str
    good: bool
    answered: bool = True


class LoadNote(msgspec.Struct, array_like=True, frozen=True):
    """All of an instance's own requests, and what it read in reports and the list lately.

    Attributes
    ----------
    instance : str
        Who tells.
    shares : list of ReplicaShare
        Its own requests; replicas that are missing have none of them.
    news : list of ReplicaNews
        What it read in load reports lately.
    listed : list of ListedReplica
        What it found new in the platform's list lately.
    """

    instance: str
    shares: list[ReplicaShare]
    news: list[ReplicaNews] = []
    listed: list[ListedReplica] = []


@dataclass(slots=True)
class _Told:
    """The shares that one instance told, by replica, and when (monotonic seconds)."""

    shares: dict[str, ReplicaShare]
    at: float


@dataclass(slots=True, frozen=True)
class _Sum:
    """What all instances told of one replica.

    Attributes
    ----------
    share : ReplicaShare
        The sum, without the time of the next joint.
    joins : tuple of float
        When generations are expected to go on there, in monotonic seconds.
    until : float
        When the first of what was summed up is too old, in monotonic seconds.
    """

    share: ReplicaShare
    joins: tuple[float, ...]
    until: float

    def at(self, now: float) -> ReplicaShare:
        """Return the sum with the time until the next joint."""
        if not self.joins:
            return self.share
        later = [round(at - now, 3) for at in self.joins if at + JOIN_SETTLES_S > now]
        return msgspec.structs.replace(self.share, joins_in_s=min(later, default=None))


class SharedLoad:
    """The sum of what the other instances told.

    Examples
    --------
    >>> load = SharedLoad()
    >>> load.take(LoadNote("e1", [ReplicaShare("r1", running=2, tokens=7000)]), 0.0)
    >>> load.at("r1", 1.0).tokens
    7000
    >>> load.at("r1", 1.0, without="e1").tokens
    0
    >>> load.at("r1", 9.0).tokens
    0
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        # Which instances have requests at a replica: a sum over some ten of them in
        # place of all that tell.
        self._present: dict[str, set[str]] = {}
        # Sums over all instances: a decision asks for each replica, 142 of them in
        # 2.6 ms where each sum was made anew, and each changes a few times a second.
        self._sums: dict[str, _Sum] = {}
        # Kept longer than what was told, to know for how long an instance is silent.
        self._heard: dict[str, float] = {}

    def take(self, note: LoadNote, now: float) -> None:
        """Take what one instance tells, in place of what it told before."""
        self._heard[note.instance] = now
        self._drop(note.instance)
        self._told[note.instance] = _Told({s.replica: s for s in note.shares}, now)
        for share in note.shares:
            self._present.setdefault(share.replica, set()).add(note.instance)
            self._sums.pop(share.replica, None)

    def add(self, instance: str, share: ReplicaShare, now: float) -> None:
        """Add to what an instance told, until it tells again.

        For a request that was just placed for it: its own note follows some
        milliseconds later, and others are placed meanwhile.
        """
        if instance in self._told and now - self._told[instance].at > KEPT_S:
            self._drop(instance)
        told = self._told.setdefault(instance, _Told({}, now))
        before = told.shares.get(share.replica)
        told.shares[share.replica] = total([before, share]) if before else share
        self._present.setdefault(share.replica, set()).add(instance)
        self._sums.pop(share.replica, None)

    def forget(self, instance: str) -> None:
        """Drop what an instance told: it tells another one from now on, or is gone."""
        self._drop(instance)
        self._heard.pop(instance, None)

    def forget_silent(self, now: float) -> None:
        """Drop the instances that have told nothing for long: names come and go."""
        for instance in [n for n, at in self._heard.items() if now - at > HEARD_KEPT_S]:
            self.forget(instance)

    def last_heard(self, instance: str) -> float:
        """Return when an instance told something last, in monotonic seconds."""
        return self._heard.get(instance, float("-inf"))

    def told_by(self, instance: str, now: float) -> list[ReplicaShare]:
        """Return what one instance told, with times as of now."""
        told = self._told.get(instance)
        if told is None or now - told.at > KEPT_S:
            return []
        return [_later(share, now - told.at) for share in told.shares.values()]

    def at(self, replica: str, now: float, without: str = "") -> ReplicaShare:
        """Return the sum of the other instances' requests at a replica.

        Parameters
        ----------
        replica : str
            The replica.
        now : float
            Monotonic time in seconds.
        without : str
            Instance whose requests are left out.
        """
        if without and without in self._present.get(replica, ()):
            return self._sum(replica, now, without).at(now)
        found = self._sums.get(replica)
        if found is None or now > found.until:
            found = self._sums[replica] = self._sum(replica, now)
        return found.at(now)

    def _sum(self, replica: str, now: float, without: str = "") -> _Sum:
        shares: list[ReplicaShare] = []
        joins: list[float] = []
        until = float("inf")
        for name in list(self._present.get(replica, ())):
            told = self._told[name]
            if now - told.at > KEPT_S:
                self._drop(name)
            elif name != without:
                share = told.shares[replica]
                shares.append(share)
                until = min(until, told.at + KEPT_S)
                if share.joins_in_s is not None:
                    joins.append(told.at + share.joins_in_s)
        whole = total(shares) if shares else ReplicaShare(replica, 0, 0)
        return _Sum(msgspec.structs.replace(whole, joins_in_s=None), tuple(joins), until)

    def _drop(self, instance: str) -> None:
        told = self._told.pop(instance, None)
        for replica in told.shares if told else ():
            self._present[replica].discard(instance)
            self._sums.pop(replica, None)
            if not self._present[replica]:
                del self._present[replica]


def total(shares: list[ReplicaShare]) -> ReplicaShare:
    """Return the sum of several instances' requests at one replica; there must be some."""
    joins = [s.joins_in_s for s in shares if s.joins_in_s is not None]
    return ReplicaShare(
        replica=shares[0].replica,
        running=sum(s.running for s in shares),
        tokens=sum(s.tokens for s in shares),
        unread_tokens=sum(s.unread_tokens for s in shares),
        used_tokens=sum(s.used_tokens for s in shares),
        copies=tuple(copy for s in shares for copy in s.copies),
        uncovered=tuple(note for s in shares for note in s.uncovered),
        arriving=sum(s.arriving for s in shares),
        joins_in_s=min((s for s in joins if s + JOIN_SETTLES_S > 0.0), default=None),
    )


def shortened(share: ReplicaShare) -> ReplicaShare:
    """Return a share whose copies and generations are one sum each, for who has none there."""
    return msgspec.structs.replace(
        share, copies=_sum_of(share.copies), uncovered=_sum_of(share.uncovered)
    )


def _sum_of(notes: tuple[MemoryNote, ...]) -> tuple[MemoryNote, ...]:
    if not notes:
        return ()
    return (MemoryNote(0, sum(n.tokens for n in notes), max(n.stake for n in notes)),)


def _later(share: ReplicaShare, passed_s: float) -> ReplicaShare:
    if share.joins_in_s is None:
        return share
    return msgspec.structs.replace(share, joins_in_s=round(share.joins_in_s - passed_s, 3))
