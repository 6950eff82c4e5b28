"""What this instance itself knows of its connections to each replica; pure."""

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
class Contact:
    """Last signs of one replica; times are monotonic, in seconds.

    Attributes
    ----------
    heard_at : float
        Time at which bytes arrived from the replica, or a connection to it was made.
    failed_at : float
        Time at which a connection to it failed.
    logged_at : float
        Time of the last log line about a failed connection.
    """

    heard_at: float = float("-inf")
    failed_at: float = float("-inf")
    logged_at: float = float("-inf")

    @property
    def noted_at(self) -> float:
        """Time of the last sign of the replica, good or bad."""
        return max(self.heard_at, self.failed_at)


class ContactTracker:
    """Contacts with all replicas, by address.

    Parameters
    ----------
    on_connect_failed : callable
        Called with the kind of each failure, for metrics.
    """

    def __init__(
        self, on_connect_failed: Callable[[ConnectFailure], None] = lambda failure: None
    ) -> None:
        self._on_connect_failed = on_connect_failed
        self._contacts: dict[str, Contact] = {}
        self._log: Any = get_logger()

    def of(self, address: str, now: float) -> Contact:
        """Return the contact with the replica at an address, creating it for an unknown one."""
        contact = self._contacts.get(address)
        if contact is None:
            self._make_room(now)
            contact = self._contacts[address] = Contact()
        return contact

    def note_connect_failed(
        self, address: str, failure: ConnectFailure, took_s: float, now: float
    ) -> None:
        """Record that a connection could not be made after trying for `took_s` seconds."""
        contact = self.of(address, now)
        contact.failed_at = now
        self._on_connect_failed(failure)
        if now - contact.logged_at < LOG_INTERVAL_S:
            return
        contact.logged_at = now
        heard_s = now - contact.heard_at
        self._log.info(
            "connect_failed",
            address=address,
            reason=failure.value,
            took_ms=round(took_s * 1000.0, 1),
            heard_ago_s=round(heard_s, 3) if math.isfinite(heard_s) else "",
        )

    def _make_room(self, now: float) -> None:
        """Forget replicas without a recent sign if there are too many."""
        if len(self._contacts) < MAX_TRACKED_REPLICAS:
            return
        recent = {a: c for a, c in self._contacts.items() if now - c.noted_at < RETENTION_S}
        self._contacts = recent if len(recent) < MAX_TRACKED_REPLICAS else {}
