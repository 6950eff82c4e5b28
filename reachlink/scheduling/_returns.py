"""Reservations for the retries of refused callers; free of I/O and clocks.

Callers retry at any instance and under another request id. The owner of a queue sees all
requests for its service and keeps the reservations. A retry is recognized by the keyed digest
of the request, so that no caller can use the reservation of another.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field, replace

from msgspec import structs

from reachlink.scheduling._need import Need
from reachlink.scheduling._refusal import LEAST_S, RefusalReason, Refuse
from reachlink.scheduling._start import Begin, Start

# Time after the retry time at which a reservation expires, in seconds: opening a new channel
# takes up to a second.
KEPT_S = 2.0
# Tolerance for retries before their time, in seconds: retry times are sent in milliseconds,
# and timers are inexact.
EARLY_S = 0.02
# Maximum number of reservations, some 300 B each; above it, the one that expires first is
# dropped.
MAX_PROMISES = 4096
# Maximum number of reservations per workspace and service: a workspace that provokes refusals
# to be served first later gains no more than these.
MAX_OF_WORKSPACE = 128
# Maximum age that a retry is credited with, in seconds.
MAX_AGE_S = 60.0


@dataclass(slots=True, frozen=True)
class Promise:
    """Reservation for the retry of a refused caller; times are monotonic, in seconds.

    Attributes
    ----------
    fingerprint : int
        Keyed digest of the request.
    service : str
        Service of the request.
    workspace : str
        Workspace of the request.
    tokens : int
        Memory that the request needs, in tokens.
    first_at : float
        Time at which the caller's first attempt arrived.
    due_at : float
        Time at which the caller was told to retry.
    until : float
        Time at which the reservation expires.
    place : bool
        Whether capacity is reserved; otherwise the retry is only credited with its age.
    """

    fingerprint: int
    service: str
    workspace: str
    tokens: int
    first_at: float
    due_at: float
    until: float
    place: bool


@dataclass(slots=True)
class ReturnCounts:
    """Counts of reservations by outcome, and of refusals by reason.

    Attributes
    ----------
    kept : int
        Reserved places whose callers retried in time and started.
    broken : int
        Reserved places whose callers retried in time and were refused again.
    not_taken_up : int
        Reserved places whose callers did not retry in time.
    dropped : int
        Reservations that were dropped because there were too many.
    refused : Counter of RefusalReason
        Refusals by reason.
    """

    kept: int = 0
    broken: int = 0
    not_taken_up: int = 0
    dropped: int = 0
    refused: Counter[RefusalReason] = field(default_factory=Counter)


class ReturnBook:
    """Reservations for the retries of refused callers.

    Attributes
    ----------
    counts : ReturnCounts
        Reservations by outcome, and refusals by reason.
    """

    def __init__(self) -> None:
        self.counts = ReturnCounts()
        self._promises: dict[int, Promise] = {}
        # Heap of the expiry times; it holds those of claimed reservations for a while.
        self._ends: list[tuple[float, int]] = []
        self._reserved_tokens: Counter[str] = Counter()
        self._of_workspace: Counter[tuple[str, str]] = Counter()

    def __len__(self) -> int:
        return len(self._promises)

    def reserved_tokens(self, service: str, now: float) -> int:
        """Return the memory of a service that is reserved for retries, in tokens."""
        self._drop_ended(now)
        return self._reserved_tokens[service]

    def promise(
        self, fingerprint: int, service: str, need: Need, refuse: Refuse, now: float
    ) -> Promise | None:
        """Make the reservation for a refused caller, or return its present one.

        A caller that retries before its time keeps its reservation and waits for the rest of
        the time.

        Parameters
        ----------
        fingerprint : int
            Keyed digest of the request; 0 if a retry can't be recognized.
        service : str
            Service of the request.
        need : Need
            Resources and deadlines of the request.
        refuse : Refuse
            Refusal of the request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Promise or None
            Reservation in force; None if none was made.
        """
        self._drop_ended(now)
        before = self._promises.get(fingerprint)
        if before is not None:
            return before
        if not fingerprint or self._of_workspace[service, need.workspace] >= MAX_OF_WORKSPACE:
            return None
        due_at = now + refuse.come_back_in_s
        first_at = now - min(need.waited_s, MAX_AGE_S)
        made = Promise(
            fingerprint,
            service,
            need.workspace,
            need.tokens,
            first_at,
            due_at,
            due_at + KEPT_S,
            refuse.kept,
        )
        self._add(made)
        return made

    def take(self, fingerprint: int, now: float) -> Promise | None:
        """Remove and return the reservation of a caller that retries in time.

        Parameters
        ----------
        fingerprint : int
            Keyed digest of the request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Promise or None
            None if the retry is early or late, or if the reservation was claimed already.
        """
        self._drop_ended(now)
        promise = self._promises.get(fingerprint)
        if promise is None or now < promise.due_at - EARLY_S:
            return None
        self._remove(promise)
        return promise

    def give_back(self, promise: Promise, now: float) -> None:
        """Renew a claimed reservation: the instance of its caller stopped querying.

        Parameters
        ----------
        promise : Promise
            Reservation that `take` returned.
        now : float
            Monotonic time in seconds.
        """
        self._drop_ended(now)
        whose = promise.service, promise.workspace
        if promise.fingerprint in self._promises or self._of_workspace[whose] >= MAX_OF_WORKSPACE:
            return
        self._add(replace(promise, due_at=now, until=now + KEPT_S))

    def settle(
        self,
        promise: Promise | None,
        fingerprint: int,
        service: str,
        need: Need,
        start: Start,
        now: float,
    ) -> Start:
        """Record the decision about a request, and return it as its caller gets it.

        It is called when a request arrives and, for a request that waited, when it starts or
        is refused. A refusal is adjusted to the reservation in force.

        Parameters
        ----------
        promise : Promise or None
            Reservation of the request that `take` returned.
        fingerprint : int
            Keyed digest of the request; 0 if a retry can't be recognized.
        service : str
            Service of the request.
        need : Need
            Resources and deadlines of the request, as `with_return` returned them.
        start : Start
            Decision about the request.
        now : float
            Monotonic time in seconds.
        """
        if promise is not None and promise.place:
            self.counts.kept += isinstance(start, Begin)
            self.counts.broken += isinstance(start, Refuse)
        if not isinstance(start, Refuse):
            if isinstance(start, Begin):
                self._forget(fingerprint)
            return start
        self.counts.refused[start.reason] += 1
        made = self.promise(fingerprint, service, need, start, now)
        if made is None:
            return structs.replace(start, kept=False)
        return Refuse(max(LEAST_S, made.due_at - now), start.reason, made.place)

    def _add(self, promise: Promise) -> None:
        if len(self._promises) >= MAX_PROMISES:
            self._drop_first()
        self._promises[promise.fingerprint] = promise
        heapq.heappush(self._ends, (promise.until, promise.fingerprint))
        self._reserved_tokens[promise.service] += promise.tokens if promise.place else 0
        self._of_workspace[promise.service, promise.workspace] += 1

    def _forget(self, fingerprint: int) -> None:
        """Drop the reservation of a request that retried early and has started."""
        promise = self._promises.get(fingerprint)
        if promise is not None:
            self._remove(promise)

    def _remove(self, promise: Promise) -> None:
        del self._promises[promise.fingerprint]
        self._reserved_tokens[promise.service] -= promise.tokens if promise.place else 0
        of_workspace = (promise.service, promise.workspace)
        self._of_workspace[of_workspace] -= 1
        if not self._of_workspace[of_workspace]:
            del self._of_workspace[of_workspace]
        # Expiry times of claimed reservations stay in the heap, which must remain bounded.
        if len(self._ends) > 2 * MAX_PROMISES:
            self._ends = [(p.until, p.fingerprint) for p in self._promises.values()]
            heapq.heapify(self._ends)

    def _drop_ended(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            promise = self._pop_first()
            if promise is not None:
                self.counts.not_taken_up += promise.place
                self._remove(promise)

    def _drop_first(self) -> None:
        while self._ends:
            promise = self._pop_first()
            if promise is not None:
                self.counts.dropped += 1
                self._remove(promise)
                return

    def _pop_first(self) -> Promise | None:
        """Return the reservation that expires first, or None if it was claimed already."""
        until, fingerprint = heapq.heappop(self._ends)
        promise = self._promises.get(fingerprint)
        return promise if promise is not None and promise.until == until else None


def with_return(need: Need, promise: Promise | None, now: float) -> Need:
    """Return the needs of a retry, credited with the age since its first attempt.

    Parameters
    ----------
    need : Need
        Resources and deadlines of the request by itself.
    promise : Promise or None
        Reservation that `ReturnBook.take` returned.
    now : float
        Monotonic time in seconds.
    """
    if promise is None:
        return need
    age_s = min(MAX_AGE_S, now - promise.first_at)
    return structs.replace(need, waited_s=max(need.waited_s, age_s), returner=True)
