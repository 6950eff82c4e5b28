"""The sum of what the other instances have at the replicas; pure."""

from dataclasses import dataclass

import msgspec

from reachlink.requests._load_notes import JOIN_SETTLES_S, LoadNote, ReplicaShare, total

# How long what an instance told last counts, in seconds: each tells its load at
# least once a second.
KEPT_S = 3.0
# How long it is known when a silent instance was heard last, in seconds: longer than
# any zone is waited for to come back.
HEARD_KEPT_S = 600.0


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
        # Sums over all instances: a decision asks for each of some hundred replicas, and takes
        # half as long as where each sum is made anew.
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


def _later(share: ReplicaShare, passed_s: float) -> ReplicaShare:
    if share.joins_in_s is None:
        return share
    return msgspec.structs.replace(share, joins_in_s=round(share.joins_in_s - passed_s, 3))
