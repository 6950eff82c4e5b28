"""Direct paths from this instance to the replicas, and whether they are lost; pure.

That a path is lost says nothing about the replica: another instance may reach it.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from reachlink.telemetry import get_logger

# Interval in seconds between two log lines about connections to one replica that fail.
LOG_INTERVAL_S = 1.0
# Time in seconds after which a replica without any contact is forgotten.
RETENTION_S = 60.0
# Number of tracked replicas from which on old ones are forgotten; above the 710 replicas of the
# largest fleet.
MAX_TRACKED_REPLICAS = 2000
# Time in seconds that an answer is awaited without any byte from its replica before the path is
# suspected. Twice the usual work of a call; a wrong suspicion costs one connection.
SUSPECT_AFTER_S = 0.25
# Time in seconds without any byte from a replica after which answers on a lost path are given up.
# Longer than a sound replica may be silent: new connections to a busy one can fail while it works
# on what it has.
GIVE_UP_AFTER_S = 1.4
# Time in seconds after a successful probe in which a path is not suspected again.
TRUST_S = 1.0


class ConnectFailure(Enum):
    """Why a connection could not be made; the values are codes for logs and metrics."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"
    OTHER = "other"


def failure_of(error: BaseException) -> ConnectFailure:
    """Return the kind of the error that ended an attempt to connect."""
    if isinstance(error, ConnectionRefusedError):
        return ConnectFailure.REFUSED
    if isinstance(error, ConnectionResetError | ConnectionAbortedError | BrokenPipeError):
        return ConnectFailure.RESET
    if isinstance(error, TimeoutError):
        return ConnectFailure.SILENT
    return ConnectFailure.OTHER


@dataclass(slots=True)
class DirectPath:
    """Direct path to one replica; times are monotonic, in seconds.

    Attributes
    ----------
    address : str
        Address of the replica.
    heard_at : float
        Time at which bytes arrived from the replica.
    connected_at : float
        Time at which a connection to it was made, which says less: what lies between may
        accept it.
    failed_at : float
        Time at which a connection to it failed.
    logged_at : float
        Time of the last log line about a failed connection.
    dialed_at : float
        Time at which a connection was last wanted for a request.
    lost_at : float, optional
        Time at which the path was found to be lost while a peer reaches the replica; None
        if it is not.
    suspected_at : float, optional
        Time at which answers became overdue or ended without a byte from the replica; None if
        none has.
    trusted_until : float
        Time before which overdue answers raise no suspicion.
    failure : ConnectFailure
        How the last failed connection failed.
    """

    address: str = ""
    heard_at: float = float("-inf")
    connected_at: float = float("-inf")
    failed_at: float = float("-inf")
    logged_at: float = float("-inf")
    dialed_at: float = float("-inf")
    lost_at: float | None = None
    suspected_at: float | None = None
    trusted_until: float = float("-inf")
    failure: ConnectFailure = ConnectFailure.OTHER
    # Connections that became idle before this time may be dead and are not reused.
    _distrusted_before: float = float("-inf")

    @property
    def noted_at(self) -> float:
        """Time of the last sign of the replica, good or bad."""
        return max(self.heard_at, self.connected_at, self.failed_at)

    @property
    def is_lost(self) -> bool:
        """Whether the replica is reached through peers only."""
        return self.lost_at is not None

    def is_failing(self, now: float, within_s: float) -> bool:
        """Return whether a connection failed lately and none was made since."""
        sound_at = max(self.heard_at, self.connected_at)
        return self.failed_at > sound_at and now - self.failed_at < within_s

    def may_reuse(self, idle_since: float) -> bool:
        """Return whether a connection that is idle since a time may get another request."""
        return idle_since >= self._distrusted_before

    def is_overdue(self, sent_at: float, now: float) -> bool:
        """Return whether nothing was heard for long since a request was sent at `sent_at`."""
        return now - max(self.heard_at, sent_at) >= SUSPECT_AFTER_S

    def is_given_up(self, sent_at: float, now: float) -> bool:
        """Return whether an answer to a request sent at `sent_at` is given up on a lost path."""
        return now - max(self.heard_at, sent_at) >= GIVE_UP_AFTER_S

    def suspect(self, now: float) -> None:
        """Distrust idle connections: answers are overdue, or ended without a byte."""
        if self.suspected_at is None:
            self.suspected_at = now
            self._distrusted_before = now

    def clear(self, now: float) -> None:
        """Record that the path works, or that it is unknown whether it does."""
        self.lost_at = self.suspected_at = None
        self.trusted_until = now + TRUST_S
        self._distrusted_before = float("-inf")

    def lose(self, now: float) -> None:
        """Record that only peers reach the replica.

        Connections that are idle live on where new ones are refused. Where these are not
        answered, idle ones are dead as well.
        """
        self.lost_at = now
        if self.failure is ConnectFailure.SILENT:
            self._distrusted_before = now


class PathTracker:
    """Direct paths to all replicas, by address.

    Parameters
    ----------
    on_connect_failed : callable
        Called with the kind of each failure, for metrics.
    """

    def __init__(
        self, on_connect_failed: Callable[[ConnectFailure], None] = lambda failure: None
    ) -> None:
        self._on_connect_failed = on_connect_failed
        # Monotonic time in seconds at which a direct connection to a replica was last made.
        self.connected_at = float("-inf")
        self._paths: dict[str, DirectPath] = {}
        self._log: Any = get_logger()

    @property
    def lost_count(self) -> int:
        """Number of replicas that are reached through peers only."""
        return sum(path.is_lost for path in self._paths.values())

    def last_heard(self, excluding: str) -> str | None:
        """Return the address of the replica that was heard last, besides one; None without one."""
        others = (path for path in self._paths.values() if path.address != excluding)
        found = max(others, key=lambda path: path.heard_at, default=None)
        return found.address if found is not None else None

    def path(self, address: str, now: float) -> DirectPath:
        """Return the path to the replica at an address, creating it for an unknown one."""
        path = self._paths.get(address)
        if path is None:
            self._make_room(now)
            path = self._paths[address] = DirectPath(address)
        return path

    def note_connect_failed(
        self, path: DirectPath, failure: ConnectFailure, took_s: float, now: float
    ) -> None:
        """Record that a connection could not be made after trying for `took_s` seconds."""
        path.failed_at, path.failure = now, failure
        self._on_connect_failed(failure)
        if now - path.logged_at < LOG_INTERVAL_S:
            return
        path.logged_at = now
        self._log.info(
            "connect_failed",
            address=path.address,
            reason=failure.value,
            took_ms=round(took_s * 1000.0, 1),
            heard_ago_s=_age_s(path.heard_at, now),
        )

    def note_unanswered(self, path: DirectPath, failure: ConnectFailure, now: float) -> None:
        """Record that a connection was made and what was sent on it was not answered."""
        path.failed_at, path.failure = now, failure
        if now - path.logged_at < LOG_INTERVAL_S:
            return
        path.logged_at = now
        self._log.info(
            "connection_unanswered",
            address=path.address,
            reason=failure.value,
            heard_ago_s=_age_s(path.heard_at, now),
        )

    def note_lost(self, path: DirectPath, now: float) -> None:
        """Record that only peers reach a replica."""
        path.lose(now)
        self._log.warning(
            "replica_path_lost",
            address=path.address,
            reason=path.failure.value,
            heard_ago_s=_age_s(path.heard_at, now),
        )
        if path.failure is ConnectFailure.SILENT:
            self._suspect_unheard(path.heard_at, now)

    def _suspect_unheard(self, since: float, now: float) -> None:
        """Distrust idle connections to replicas that were not heard since the loss of a path.

        Instances lose their links to all replicas at once more often than to a single one.
        """
        for path in self._paths.values():
            if path.heard_at <= since + SUSPECT_AFTER_S and not path.is_lost:
                path.suspect(now)

    def note_working(self, path: DirectPath, now: float) -> None:
        """Record that the direct path to a replica works."""
        self._clear(path, "replica_path_restored", now)

    def note_unused(self, path: DirectPath, now: float) -> None:
        """Record that a path is no longer probed, because no request needs it."""
        self._clear(path, "replica_path_unused", now)

    def _clear(self, path: DirectPath, event: str, now: float) -> None:
        lost_at = path.lost_at
        path.clear(now)
        if lost_at is not None:
            self._log.info(event, address=path.address, lost_s=round(now - lost_at, 3))

    def _make_room(self, now: float) -> None:
        """Forget replicas without a recent sign if there are too many."""
        if len(self._paths) < MAX_TRACKED_REPLICAS:
            return
        recent = {a: p for a, p in self._paths.items() if now - p.noted_at < RETENTION_S}
        self._paths = recent if len(recent) < MAX_TRACKED_REPLICAS else {}


def _age_s(at: float, now: float) -> float | str:
    """Return the age of an event in seconds, or an empty text if it never happened."""
    return round(now - at, 3) if math.isfinite(at) else ""
