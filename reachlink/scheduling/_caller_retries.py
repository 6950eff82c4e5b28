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
from reachlink.scheduling._refusal import MIN_RETRY_AFTER_S, RefusalReason, Refuse
from reachlink.scheduling._start import Begin, Start

# Time after the retry time at which a reservation expires, in seconds: opening a new channel
# takes up to a second.
EXPIRY_DELAY_S = 2.0
# Tolerance for retries before their time, in seconds: retry times are sent in milliseconds,
# and timers are inexact.
EARLY_TOLERANCE_S = 0.02
# Maximum number of reservations, some 300 B each; above it, the one that expires first is
# dropped.
MAX_RESERVATIONS = 4096
# Maximum number of reservations per workspace and service: a workspace that provokes refusals
# to be served first later gains no more than these.
MAX_PER_WORKSPACE = 128
# Maximum age that a retry is credited with, in seconds.
MAX_CREDITED_AGE_S = 60.0


@dataclass(slots=True, frozen=True)
class RetryReservation:
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
    first_attempt_at : float
        Time at which the caller's first attempt arrived.
    retry_at : float
        Time at which the caller was told to retry.
    expires_at : float
        Time at which the reservation expires.
    place_reserved : bool
        Whether capacity is reserved; otherwise the retry is only credited with its age.
    """

    fingerprint: int
    service: str
    workspace: str
    tokens: int
    first_attempt_at: float
    retry_at: float
    expires_at: float
    place_reserved: bool


@dataclass(slots=True)
class CallerRetryCounts:
    """Counts of reservations by outcome, and of refusals by reason.

    Attributes
    ----------
    kept : int
        Reserved places whose callers retried in time and started.
    broken : int
        Reserved places whose callers retried in time and were refused again.
    missed : int
        Reserved places whose callers did not retry in time.
    dropped : int
        Reservations that were dropped because there were too many.
    refused : Counter of RefusalReason
        Refusals by reason.
    """

    kept: int = 0
    broken: int = 0
    missed: int = 0
    dropped: int = 0
    refused: Counter[RefusalReason] = field(default_factory=Counter)


class CallerRetryRegistry:
    """Reservations for the retries of refused callers.

    Attributes
    ----------
    counts : CallerRetryCounts
        Reservations by outcome, and refusals by reason.
    """

    def __init__(self) -> None:
        self.counts = CallerRetryCounts()
        self._reservations: dict[int, RetryReservation] = {}
        # Heap of the expiry times; it holds those of claimed reservations for a while.
        self._expiries: list[tuple[float, int]] = []
        self._reserved_tokens: Counter[str] = Counter()
        self._workspace_counts: Counter[tuple[str, str]] = Counter()

    def __len__(self) -> int:
        return len(self._reservations)

    def reserved_tokens(self, service: str, now: float) -> int:
        """Return the memory of a service that is reserved for retries, in tokens."""
        self._drop_expired(now)
        return self._reserved_tokens[service]

    def reserve(
        self, fingerprint: int, service: str, need: Need, refuse: Refuse, now: float
    ) -> RetryReservation | None:
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
        RetryReservation or None
            Reservation in force; None if none was made.
        """
        self._drop_expired(now)
        present = self._reservations.get(fingerprint)
        if present is not None:
            return present
        if not fingerprint or self._workspace_counts[service, need.workspace] >= MAX_PER_WORKSPACE:
            return None
        retry_at = now + refuse.retry_after_s
        first_attempt_at = now - min(need.waited_s, MAX_CREDITED_AGE_S)
        made = RetryReservation(
            fingerprint,
            service,
            need.workspace,
            need.tokens,
            first_attempt_at,
            retry_at,
            retry_at + EXPIRY_DELAY_S,
            refuse.place_reserved,
        )
        self._add(made)
        return made

    def claim(self, fingerprint: int, now: float) -> RetryReservation | None:
        """Remove and return the reservation of a caller that retries in time.

        Parameters
        ----------
        fingerprint : int
            Keyed digest of the request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        RetryReservation or None
            None if the retry is early or late, or if the reservation was claimed already.
        """
        self._drop_expired(now)
        reservation = self._reservations.get(fingerprint)
        if reservation is None or now < reservation.retry_at - EARLY_TOLERANCE_S:
            return None
        self._remove(reservation)
        return reservation

    def restore(self, reservation: RetryReservation, now: float) -> None:
        """Renew a claimed reservation: the instance of its caller stopped querying.

        Parameters
        ----------
        reservation : RetryReservation
            Reservation that `claim` returned.
        now : float
            Monotonic time in seconds.
        """
        self._drop_expired(now)
        key = reservation.service, reservation.workspace
        if (
            reservation.fingerprint in self._reservations
            or self._workspace_counts[key] >= MAX_PER_WORKSPACE
        ):
            return
        self._add(replace(reservation, retry_at=now, expires_at=now + EXPIRY_DELAY_S))

    def record_outcome(
        self,
        reservation: RetryReservation | None,
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
        reservation : RetryReservation or None
            Reservation of the request that `claim` returned.
        fingerprint : int
            Keyed digest of the request; 0 if a retry can't be recognized.
        service : str
            Service of the request.
        need : Need
            Resources and deadlines of the request, as `with_caller_retry` returned them.
        start : Start
            Decision about the request.
        now : float
            Monotonic time in seconds.
        """
        if reservation is not None and reservation.place_reserved:
            self.counts.kept += isinstance(start, Begin)
            self.counts.broken += isinstance(start, Refuse)
        if not isinstance(start, Refuse):
            if isinstance(start, Begin):
                self._drop_started(fingerprint)
            return start
        self.counts.refused[start.reason] += 1
        made = self.reserve(fingerprint, service, need, start, now)
        if made is None:
            return structs.replace(start, place_reserved=False)
        return Refuse(
            max(MIN_RETRY_AFTER_S, made.retry_at - now), start.reason, made.place_reserved
        )

    def _add(self, reservation: RetryReservation) -> None:
        if len(self._reservations) >= MAX_RESERVATIONS:
            self._drop_earliest()
        self._reservations[reservation.fingerprint] = reservation
        heapq.heappush(self._expiries, (reservation.expires_at, reservation.fingerprint))
        self._reserved_tokens[reservation.service] += (
            reservation.tokens if reservation.place_reserved else 0
        )
        self._workspace_counts[reservation.service, reservation.workspace] += 1

    def _drop_started(self, fingerprint: int) -> None:
        """Drop the reservation of a request that retried early and has started."""
        reservation = self._reservations.get(fingerprint)
        if reservation is not None:
            self._remove(reservation)

    def _remove(self, reservation: RetryReservation) -> None:
        del self._reservations[reservation.fingerprint]
        self._reserved_tokens[reservation.service] -= (
            reservation.tokens if reservation.place_reserved else 0
        )
        key = (reservation.service, reservation.workspace)
        self._workspace_counts[key] -= 1
        if not self._workspace_counts[key]:
            del self._workspace_counts[key]
        # Expiry times of claimed reservations stay in the heap, which must remain bounded.
        if len(self._expiries) > 2 * MAX_RESERVATIONS:
            self._expiries = [(p.expires_at, p.fingerprint) for p in self._reservations.values()]
            heapq.heapify(self._expiries)

    def _drop_expired(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            reservation = self._pop_earliest()
            if reservation is not None:
                self.counts.missed += reservation.place_reserved
                self._remove(reservation)

    def _drop_earliest(self) -> None:
        while self._expiries:
            reservation = self._pop_earliest()
            if reservation is not None:
                self.counts.dropped += 1
                self._remove(reservation)
                return

    def _pop_earliest(self) -> RetryReservation | None:
        """Return the reservation that expires first, or None if it was claimed already."""
        expires_at, fingerprint = heapq.heappop(self._expiries)
        reservation = self._reservations.get(fingerprint)
        return (
            reservation
            if reservation is not None and reservation.expires_at == expires_at
            else None
        )


def with_caller_retry(need: Need, reservation: RetryReservation | None, now: float) -> Need:
    """Return the needs of a retry, credited with the age since its first attempt.

    Parameters
    ----------
    need : Need
        Resources and deadlines of the request by itself.
    reservation : RetryReservation or None
        Reservation that `CallerRetryRegistry.claim` returned.
    now : float
        Monotonic time in seconds.
    """
    if reservation is None:
        return need
    age_s = min(MAX_CREDITED_AGE_S, now - reservation.first_attempt_at)
    return structs.replace(need, waited_s=max(need.waited_s, age_s), is_announced_retry=True)
