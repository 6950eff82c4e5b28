"""The entry daemon: from a caller's request to a whole answer."""

from reachlink.entry._config import EntryConfig, PeerConfig, PlatformSource
from reachlink.entry._daemon import EntryDaemon
from reachlink.entry._digests import Digest, DigestBook, ReplicaLoad
from reachlink.entry._dispatcher import Dispatcher, Ticket
from reachlink.entry._ledger import InFlight, Ledger
from reachlink.entry._main import main
from reachlink.entry._node import EntryNode
from reachlink.entry.exceptions import EntryError, RequestError

__all__ = [
    "Digest",
    "DigestBook",
    "Dispatcher",
    "EntryConfig",
    "EntryDaemon",
    "EntryError",
    "EntryNode",
    "InFlight",
    "Ledger",
    "PeerConfig",
    "PlatformSource",
    "ReplicaLoad",
    "RequestError",
    "Ticket",
    "main",
]
