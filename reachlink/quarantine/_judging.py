"""Selects what to blame for crashes among the requests at crashed replicas; does no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from reachlink.upstreams import RequestFeatures

# Weight of the crashes, not explained by anything else, at which requests are held.
CRASHES_TO_HOLD = 3.0
# Weight of a crash against a request that had been answered for longer than `EARLY_CRASH_S`; 1
# otherwise. What crashes replicas usually does so when its processing starts; what crashes them
# later is held after six crashes.
LATE_WEIGHT = 0.5
# Factor of the weight of a crash against a part with a sound answer not long before. A part that
# many requests share is in more crashes than the one that causes them; one that began to crash
# replicas only now is held after six crashes.
TRUSTED_WEIGHT = 0.5
# Time in seconds within which crashes of several replicas count once against a part with a sound
# answer not long before: what ends many replicas at the same moment is rarely a request, and the
# part that most requests share was at all of them.
MOMENT_S = 0.25
# Longest time in seconds from the first part of an answer to a crash that the start of the answer
# may have caused.
EARLY_CRASH_S = 1.0


@dataclass(slots=True, eq=False)
class Involvement:
    """A request that was at a replica when it crashed; times are monotonic, in seconds.

    Attributes
    ----------
    note_id : int
        Id of the note that reported the involvement.
    features : RequestFeatures
        Digests of the request and of what it shares with others.
    replica : str
        Name of the replica.
    sent_at, crashed_at : float
        Times at which the request was sent and at which the replica crashed.
    late : bool
        Whether the answer had been arriving for longer than `EARLY_CRASH_S`.
    trusted : frozenset of int
        Digests of its parts that had a sound answer not long before the crash.
    suspects : set of int
        Digests of the request that no sound answer has cleared of the crash.
    """

    note_id: int
    features: RequestFeatures
    replica: str
    sent_at: float
    crashed_at: float
    late: bool
    trusted: frozenset[int] = frozenset()
    suspects: set[int] = field(init=False)

    def __post_init__(self) -> None:
        self.suspects = set(self.features.digests())

    @property
    def weight(self) -> float:
        """Weight of the crash against the digests of the request that are not trusted."""
        return LATE_WEIGHT if self.late else 1.0


@dataclass(slots=True, eq=False)
class Crash:
    """One crash of one replica, with the requests that were there.

    Attributes
    ----------
    replica : str
        Name of the replica.
    at : float
        Time of the crash; monotonic, in seconds.
    involvements : list of Involvement
        Requests that were there.
    weights : dict of int to float
        Weight of the crash against each digest, trusted or not.
    trusted : set of int
        Digests of parts that had a sound answer not long before, as far as any instance knows.
    """

    replica: str
    at: float
    involvements: list[Involvement] = field(default_factory=list)
    weights: dict[int, float] = field(default_factory=dict)
    trusted: set[int] = field(default_factory=set)

    def add(self, found: Involvement) -> None:
        """Add a request that was at the replica."""
        self.involvements.append(found)
        for digest in found.suspects:
            self.weights[digest] = max(self.weights.get(digest, 0.0), found.weight)
        self.trusted |= found.trusted

    def beside(self, digest: int) -> set[int]:
        """Return the suspects of the requests that have a digest, itself included."""
        found = [i.suspects for i in self.involvements if digest in i.suspects]
        return set().union(*found)


@dataclass(slots=True, frozen=True)
class Verdict:
    """Reason why requests are held: the crashes that their common digests explain.

    Attributes
    ----------
    fingerprint : int
        Digest that identifies the verdict: that of the whole request if there is one,
        otherwise of a part.
    digests : frozenset of int
        A request is held if it has all of them. No sound answer tells them apart yet.
    crashes : tuple of Crash
        Crashes that they explain.
    whole : bool
        Whether they are those of one whole request, rather than of parts that requests share.
    """

    fingerprint: int
    digests: frozenset[int]
    crashes: tuple[Crash, ...]
    whole: bool

    @property
    def last_at(self) -> float:
        """Time of the last crash; monotonic, in seconds."""
        return max(crash.at for crash in self.crashes)

    @property
    def first_at(self) -> float:
        """Time of the first crash; monotonic, in seconds."""
        return min(crash.at for crash in self.crashes)

    @property
    def positions(self) -> tuple[int, ...]:
        """Positions of the parts in the prompt under which the last replica crashed, from 1."""
        last = max(self.crashes, key=lambda crash: crash.at)
        for involvement in last.involvements:
            if self.digests <= involvement.suspects:
                parts = involvement.features.parts
                return tuple(n for n, part in enumerate(parts, 1) if part in self.digests)
        return ()


def crashes_of(involvements: Iterable[Involvement]) -> list[Crash]:
    """Return the crashes in which requests were involved.

    Requests that were at a replica at the same time belong to the same crash. A request
    that was sent after a crash belongs to the next crash of the replica with that name.
    """
    found: list[Crash] = []
    latest: dict[str, Crash] = {}
    for involvement in sorted(involvements, key=lambda i: i.crashed_at):
        crash = latest.get(involvement.replica)
        if crash is None or involvement.sent_at > crash.at:
            crash = latest[involvement.replica] = Crash(involvement.replica, involvement.crashed_at)
            found.append(crash)
        crash.add(involvement)
    return found


def judge(
    involvements: Iterable[Involvement], crashes_to_hold: float = CRASHES_TO_HOLD
) -> dict[int, Verdict]:
    """Return what is held, by the fingerprint of each verdict.

    A crash ends all requests at a replica, ten or more, and something in one of them caused
    it. The digest with the largest total weight is blamed first, together with those that
    stood beside it in each of its crashes. The crashes that it explains then count against
    nothing else, so that a request that only shared replicas with it is not held.

    Parameters
    ----------
    involvements : iterable of Involvement
        Requests at crashed replicas.
    crashes_to_hold : float
        Total weight of crashes at which requests are held.
    """
    unexplained: dict[int, list[Crash]] = {}
    for crash in crashes_of(involvements):
        for digest in crash.weights:
            unexplained.setdefault(digest, []).append(crash)
    weights = {digest: _total_weight(digest, found) for digest, found in unexplained.items()}
    suspects = {d for d, weight in weights.items() if weight >= crashes_to_hold}
    held: dict[int, Verdict] = {}
    while suspects:
        # Ties go to the smaller digest, so that all instances decide alike.
        worst = max(suspects, key=lambda d: (weights[d], -d))
        explained = unexplained[worst]
        verdict = _verdict(worst, explained)
        held[verdict.fingerprint] = verdict
        suspects.discard(worst)
        for digest in suspects:
            unexplained[digest] = [c for c in unexplained[digest] if c not in explained]
            weights[digest] = _total_weight(digest, unexplained[digest])
        suspects = {d for d in suspects if weights[d] >= crashes_to_hold}
    return held


def _total_weight(digest: int, crashes: list[Crash]) -> float:
    """Return the weight of crashes, in the order of their times, against a digest."""
    total = 0.0
    moment_at = float("-inf")
    for crash in crashes:
        weight = crash.weights[digest]
        if digest not in crash.trusted:
            total += weight
        elif crash.at - moment_at > MOMENT_S:
            moment_at = crash.at
            total += weight * TRUSTED_WEIGHT
    return total


def _verdict(digest: int, crashes: list[Crash]) -> Verdict:
    """Return the verdict on a digest and those that stood beside it in all of its crashes."""
    digests = frozenset.intersection(*(frozenset(crash.beside(digest)) for crash in crashes))
    requests = [i.features for crash in crashes for i in crash.involvements]
    fingerprints = digests.intersection(request.fingerprint for request in requests)
    parts = digests.intersection(part for request in requests for part in request.parts)
    name = min(fingerprints or parts or digests)
    return Verdict(name, digests, tuple(crashes), bool(fingerprints))
