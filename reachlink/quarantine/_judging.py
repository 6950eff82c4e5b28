"""Selects the requests to blame among those at crashed replicas; does no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Weight of the crashes, not explained by another request, at which a request is held.
CRASHES_TO_HOLD = 3.0
# Weight of a crash against a request whose answer had begun; 1 otherwise. A request that
# crashes replicas usually does so when its processing starts; one that crashes them later
# is held after six crashes.
BEGUN_WEIGHT = 0.5


@dataclass(slots=True, frozen=True)
class Involvement:
    """A request that was at a replica when it crashed; times are monotonic, in seconds.

    Attributes
    ----------
    note_id : int
        Id of the note that reported the involvement.
    fingerprint : int
        Fingerprint of the request.
    replica : str
        Name of the replica.
    sent_at, crashed_at : float
        Times at which the request was sent and at which the replica crashed.
    begun : bool
        Whether a part of the answer had arrived.
    """

    note_id: int
    fingerprint: int
    replica: str
    sent_at: float
    crashed_at: float
    begun: bool

    @property
    def weight(self) -> float:
        """Weight of the crash against the request."""
        return BEGUN_WEIGHT if self.begun else 1.0


@dataclass(slots=True)
class Crash:
    """One crash of one replica, with the requests that were there.

    Attributes
    ----------
    replica : str
        Name of the replica.
    at : float
        Time of the crash; monotonic, in seconds.
    weights : dict of int to float
        Weight of the crash against each request, by fingerprint.
    """

    replica: str
    at: float
    weights: dict[int, float] = field(default_factory=dict)

    def add(self, found: Involvement) -> None:
        """Add a request that was at the replica."""
        before = self.weights.get(found.fingerprint, 0.0)
        self.weights[found.fingerprint] = max(before, found.weight)


@dataclass(slots=True, frozen=True)
class Verdict:
    """Reason why a request is held: the crashes that it explains."""

    fingerprint: int
    crashes: tuple[Crash, ...]

    @property
    def last_at(self) -> float:
        """Time of the last crash; monotonic, in seconds."""
        return max(crash.at for crash in self.crashes)

    @property
    def first_at(self) -> float:
        """Time of the first crash; monotonic, in seconds."""
        return min(crash.at for crash in self.crashes)


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
    """Return the requests to hold, by fingerprint.

    A crash ends all requests at a replica, ten or more, and one of them caused it. The
    request with the largest total weight is held first. The crashes that it explains then
    count against no other request, so that a request that only shared replicas with it is
    not held.

    Parameters
    ----------
    involvements : iterable of Involvement
        Requests at crashed replicas.
    crashes_to_hold : float
        Total weight of crashes at which a request is held.
    """
    crashes = crashes_of(involvements)
    crashes_by_request: dict[int, list[Crash]] = {}
    total_weights: dict[int, float] = {}
    for crash in crashes:
        for fingerprint, weight in crash.weights.items():
            crashes_by_request.setdefault(fingerprint, []).append(crash)
            total_weights[fingerprint] = total_weights.get(fingerprint, 0.0) + weight
    suspects = {f for f, weight in total_weights.items() if weight >= crashes_to_hold}
    explained: set[int] = set()
    held: dict[int, Verdict] = {}
    while suspects:
        # Ties go to the smaller fingerprint, so that all instances decide alike.
        worst = max(suspects, key=lambda f: (total_weights[f], -f))
        newly_explained = [
            crash for crash in crashes_by_request[worst] if id(crash) not in explained
        ]
        held[worst] = Verdict(worst, tuple(newly_explained))
        suspects.discard(worst)
        for crash in newly_explained:
            explained.add(id(crash))
            for fingerprint, weight in crash.weights.items():
                total_weights[fingerprint] -= weight
        suspects = {f for f in suspects if total_weights[f] >= crashes_to_hold}
    return held
