"""Reachability of replicas from this instance."""

from reachlink.reachability._contacts import ConnectFailure, Contact, ContactTracker, failure_of

__all__ = [
    "ConnectFailure",
    "Contact",
    "ContactTracker",
    "failure_of",
]
