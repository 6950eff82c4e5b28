"""The entry daemon: from a caller's request to a whole answer."""

from reachlink.entry._borders import CALLER_BORDERS, CallerBorder, RelayHost
from reachlink.entry._config import EntryConfig, PeerConfig, PlatformSource
from reachlink.entry._daemon import EntryDaemon
from reachlink.entry._digests import Digest, DigestBook, ReplicaLoad
from reachlink.entry._dispatcher import Dispatcher, Ticket
from reachlink.entry._ledger import InFlight, Ledger
from reachlink.entry._node import EntryNode
from reachlink.entry._relay_config import RelayConfig
from reachlink.entry._relay_daemon import RelayDaemon
from reachlink.entry._relay_node import RelayNode
from reachlink.entry.exceptions import EntryError, RequestError


def main() -> None:
    """Run the command line."""
    # Loaded only here: a daemon that is started otherwise spares the library's
    # time and memory.
    from reachlink.entry._main import main as run

    run()


__all__ = [
    "CALLER_BORDERS",
    "CallerBorder",
    "RelayConfig",
    "RelayDaemon",
    "RelayHost",
    "RelayNode",
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
