"""What a soak holds against callers' and replicas' accounts; pure."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from reachlink.testing._caller import ReceivedAnswer

# The promise on a limit: requests in some four seconds.
WINDOW_S = 4.0
FACTOR = 1.5
MORE = 5.0
# It holds from so long after a replica names its limit, in seconds.
HOLDS_AFTER_S = 3.0


@dataclass(slots=True)
class Submission:
    """A call that may run once at the most, and what its caller was told.

    Attributes
    ----------
    number : int
        Its own, in its body.
    key : str
        The caller's key, under which it may ask again; empty for none.
    told : list of str
        What its tries were told: ``"ran"``, ``"not_run"`` or ``"unknown"``.
    """

    number: int
    key: str = ""
    told: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class NamedLimit:
    """A limit that a replica names, in requests a second, for some time.

    Attributes
    ----------
    replica : str
        The replica.
    per_s : float
        What it takes from all together.
    since, until : float
        From when to when it names that, in monotonic seconds.
    """

    replica: str
    per_s: float
    since: float
    until: float


def submission_problems(submissions: Iterable[Submission], ran: Sequence[int]) -> list[str]:
    """Return every way in which submissions and the services' record contradict each other.

    Parameters
    ----------
    submissions : iterable of Submission
        What callers asked for and were told.
    ran : sequence of int
        The numbers of the calls that services ran, once for each run.
    """
    runs = Counter(ran)
    found = [f"submission {n} ran {count} times" for n, count in runs.items() if count > 1]
    for one in submissions:
        if "ran" in one.told and not runs[one.number]:
            found.append(f"submission {one.number} was acknowledged and never ran")
        if runs[one.number] and one.told and set(one.told) == {"not_run"}:
            found.append(f"submission {one.number} ran, and its caller was told that it did not")
    return found


def answer_problems(answers: Iterable[ReceivedAnswer]) -> list[str]:
    """Return every way in which answers were not whole, once and in order."""
    return [
        f"answer {answer.request_id}: {problem}"
        for answer in answers
        for problem in answer.problems()
    ]


def limit_problems(
    limits: Iterable[NamedLimit], arrivals: Mapping[str, Sequence[float]]
) -> list[str]:
    """Return the limits that more requests reached than all together may send.

    Parameters
    ----------
    limits : iterable of NamedLimit
        What replicas named.
    arrivals : mapping of str to sequence of float
        When requests reached each replica, in monotonic seconds.
    """
    found = []
    for limit in limits:
        since = limit.since + HOLDS_AFTER_S
        late = [at for at in arrivals.get(limit.replica, ()) if since <= at < limit.until]
        most = max((sum(a <= b < a + WINDOW_S for b in late) for a in late), default=0)
        allowed = FACTOR * limit.per_s * WINDOW_S + MORE
        if most > allowed:
            found.append(
                f"{limit.replica} takes {limit.per_s} a second and got {most} in 4 s, "
                f"allowed {allowed:.1f}"
            )
    return found


class SettingsRecord:
    """What was acknowledged of one setting, and what instances showed of it.

    The setting holds a number that each edit raises.
    """

    def __init__(self) -> None:
        self._acknowledged = 0
        self._asked = 0
        self._shown: dict[str, int] = {}
        self.problems: list[str] = []

    @property
    def acknowledged(self) -> int:
        """The highest number that was acknowledged."""
        return self._acknowledged

    def next(self) -> int:
        """Return the number of the next edit."""
        self._asked += 1
        return self._asked

    def acknowledge(self, number: int) -> None:
        """Take that an edit was accepted."""
        self._acknowledged = max(self._acknowledged, number)

    def start_again(self, instance: str) -> None:
        """Take that an instance has started anew: what it showed before binds it no more."""
        self._shown.pop(instance, None)

    def show(self, instance: str, number: int, settled: bool) -> None:
        """Take what an instance shows; settled is whether nothing has failed for a while."""
        if number < self._shown.get(instance, 0):
            self.problems.append(f"{instance} went back from {self._shown[instance]} to {number}")
        if settled and number < self._acknowledged:
            self.problems.append(f"{instance} shows {number}, {self._acknowledged} was accepted")
        if number > self._asked:
            self.problems.append(f"{instance} shows {number}, which nobody asked for")
        self._shown[instance] = number
