"""Memory granted to each workspace recently, and its fair share; free of I/O and clocks."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import log

from reachlink.scheduling._refusal import fair_share

# Half-life of a grant's weight, in seconds: longer than most answers run.
HALF_LIFE_S = 15.0
# Mean lifetime of a grant's weight, in seconds: with grants at a constant rate, the decayed
# sum converges to the rate times this.
MEAN_LIFETIME_S = HALF_LIFE_S / log(2.0)
# Grants of workspaces are compared in steps of about one request, in tokens.
RANK_TOKENS = 4_000.0
# Maximum number of workspaces in the table, some 100 B each; those with the smallest grants
# are dropped first.
MAX_WORKSPACES = 512


@dataclass(slots=True)
class _Granted:
    tokens: float
    at: float


class WorkspaceShares:
    """Exponentially decaying sums of the memory granted to each workspace.

    Examples
    --------
    >>> shares = WorkspaceShares()
    >>> shares.add("large", 40_000, 0.0)
    >>> shares.rank("large", 0.0), shares.rank("large", 15.0), shares.rank("small", 0.0)
    (10, 5, 0)
    """

    def __init__(self) -> None:
        self._granted: dict[str, _Granted] = {}

    def __len__(self) -> int:
        return len(self._granted)

    def add(self, workspace: str, tokens: int, now: float) -> None:
        """Record a grant, in tokens, at a monotonic time in seconds."""
        previous = self.tokens(workspace, now)
        if workspace not in self._granted and len(self._granted) >= MAX_WORKSPACES:
            del self._granted[min(self._granted, key=lambda name: self.tokens(name, now))]
        self._granted[workspace] = _Granted(previous + tokens, now)

    def rank(self, workspace: str, now: float) -> int:
        """Return the recent grants of a workspace in steps of `RANK_TOKENS`; least goes first."""
        return int(self.tokens(workspace, now) // RANK_TOKENS)

    def share(self, demand: Mapping[str, float], tokens_per_s: float, now: float) -> float:
        """Return the fair share of each workspace, in tokens; infinite if there is enough.

        Parameters
        ----------
        demand : mapping of str to float
            Recent grants and waiting requests of each workspace in the queue, in tokens.
        tokens_per_s : float
            Memory that becomes free per second, in tokens; 0 if unknown.
        now : float
            Monotonic time in seconds.
        """
        if tokens_per_s <= 0.0:
            return float("inf")
        had = {name: self.tokens(name, now) for name in self._granted if name not in demand}
        return fair_share({**had, **demand}, tokens_per_s * MEAN_LIFETIME_S)

    def tokens(self, workspace: str, now: float) -> float:
        """Return the recent grants of a workspace, in tokens."""
        granted = self._granted.get(workspace)
        if granted is None:
            return 0.0
        return float(granted.tokens * 0.5 ** ((now - granted.at) / HALF_LIFE_S))
