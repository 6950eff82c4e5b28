"""Which replicas have asked this instance for a backoff, and how they come back; pure.

A replica that turns a request away may say for how long it wants nothing more from who
asked. That outlives the request that heard it and binds whatever is sent: first tries,
repeats, continuations, reports and orders.
"""

from dataclasses import dataclass
from random import Random

# Replicas that are remembered at the most: well above the 710 of the largest fleet.
MAX_REMEMBERED = 2000
# By how much a backoff is drawn out at the most, by chance, as a share of it and in seconds:
# who was asked for the same moment comes back spread over this time.
SPREAD_SHARE = 0.25
SPREAD_S = 0.5
# How long the first request after a backoff goes alone, in seconds, where no answer comes
# sooner: one that wants nothing yet turns it away within some milliseconds.
TRIAL_S = 0.25
# How long a replica that has taken the trial gets less than its usual share, in seconds,
# and which share it begins with.
RAMP_S = 1.0
FIRST_SHARE = 0.1
# How long after its end a backoff is remembered that nobody has tried out, in seconds: the
# same for all that waited is long past by then.
FORGOTTEN_S = 10.0
# A backoff that was asked for less than this many seconds before a new start of its replica
# became known may have been asked for since: lists and reports tell of starts some
# seconds late, half a minute where the platform's list does not answer.
START_KNOWN_S = 30.0


@dataclass(slots=True)
class _Backoff:
    """One replica's backoff; times are monotonic, in seconds.

    Attributes
    ----------
    until : float
        When it is over.
    asked_at : float
        When it was asked for last.
    tried_at : float, optional
        When the first request after it was sent.
    answered_at : float, optional
        When that, or any since, was answered.
    """

    until: float
    asked_at: float
    tried_at: float | None = None
    answered_at: float | None = None

    def share(self, now: float) -> float:
        """Return which share of its usual requests the replica may get, from 0 to 1."""
        if now < self.until:
            return 0.0
        if self.tried_at is None:
            return 1.0
        trial_ends = self.tried_at + TRIAL_S
        if self.answered_at is not None:
            trial_ends = min(trial_ends, self.answered_at)
        if now < trial_ends:
            return 0.0
        return min(1.0, FIRST_SHARE + (1.0 - FIRST_SHARE) * (now - trial_ends) / RAMP_S)

    def is_over(self, now: float) -> bool:
        """Return whether there is nothing left to remember."""
        if self.tried_at is None:
            return now >= self.until + FORGOTTEN_S
        return now >= self.tried_at + TRIAL_S + RAMP_S


class BackoffBook:
    """The replicas that have asked this instance for a backoff, by their addresses.

    Parameters
    ----------
    random : random.Random
        Spreads ends of backoffs, and draws who comes first after them.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._backoffs: dict[str, _Backoff] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no backoff to remember."""
        return not self._backoffs

    def ask(self, address: str, wait_s: float, now: float) -> None:
        """Take that a replica wants nothing more for some seconds.

        The latest end counts of several: what it asked for before has not been taken
        back by asking for less, and answers overtake each other.
        """
        spread_s = self._random.random() * min(SPREAD_S, SPREAD_SHARE * wait_s)
        until = now + wait_s + spread_s
        before = self._backoffs.get(address)
        if before is not None:
            until = max(until, before.until)
        self._make_room(address, now)
        self._backoffs[address] = _Backoff(until, now)

    def left_s(self, address: str, now: float) -> float:
        """Return how long a replica is still in backoff, in seconds; 0 for one that is not."""
        backoff = self._backoffs.get(address)
        return max(0.0, backoff.until - now) if backoff is not None else 0.0

    def holds(self, address: str, now: float) -> bool:
        """Return whether a replica is in backoff, or gets little yet after it."""
        return address in self._backoffs

    def admits(self, address: str, now: float) -> bool:
        """Return whether another request may be sent to a replica now.

        False while it is in backoff and while the first request after that is on trial; by
        chance for a second after it, more and more often.
        """
        backoff = self._backoffs.get(address)
        if backoff is None:
            return True
        if backoff.is_over(now):
            del self._backoffs[address]
            return True
        share = backoff.share(now)
        return share >= 1.0 or (share > 0.0 and self._random.random() < share)

    def note_sent(self, address: str, now: float) -> None:
        """Note that a request is sent: the first one after a backoff is a trial."""
        backoff = self._backoffs.get(address)
        if backoff is not None and backoff.tried_at is None and now >= backoff.until:
            backoff.tried_at = now

    def note_answer(self, address: str, now: float) -> None:
        """Note that a replica has answered a request, and asked for no backoff."""
        backoff = self._backoffs.get(address)
        if backoff is not None and backoff.tried_at is not None and backoff.answered_at is None:
            backoff.answered_at = now

    def start_again(self, address: str, now: float) -> None:
        """Take that a replica has started again: what it asked for before is void."""
        backoff = self._backoffs.get(address)
        if backoff is not None and now - backoff.asked_at > START_KNOWN_S:
            del self._backoffs[address]

    def replace(self, address: str) -> None:
        """Take that another replica has an address by now."""
        self._backoffs.pop(address, None)

    def count(self, now: float) -> int:
        """Return how many replicas are in backoff."""
        return sum(1 for backoff in self._backoffs.values() if backoff.until > now)

    def _make_room(self, address: str, now: float) -> None:
        """Drop what is over, and at the bound the backoff that ends first."""
        if address in self._backoffs or len(self._backoffs) < MAX_REMEMBERED:
            return
        self._backoffs = {name: r for name, r in self._backoffs.items() if not r.is_over(now)}
        if len(self._backoffs) >= MAX_REMEMBERED:
            del self._backoffs[min(self._backoffs, key=lambda name: self._backoffs[name].until)]
