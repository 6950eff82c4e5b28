"""The entry daemon: from a caller's request to a whole answer."""

from importlib import import_module
from typing import TYPE_CHECKING, Any

from reachlink.entry._borders import CALLER_BORDERS, CallerBorder, RelayHost
from reachlink.entry._caller_answers import decoded_or_refused, give_answer
from reachlink.entry._caller_bodies import receive_body
from reachlink.entry._caller_connections import CallerConnections
from reachlink.entry._caller_server import CallerListener, CallerServer
from reachlink.entry._caller_sink import CallerSink
from reachlink.entry._config import EntryConfig, PeerConfig, PlatformSource
from reachlink.entry._connection_aborts import ConnectionAbort, ConnectionAborts
from reachlink.entry._readers import CallerReader, CallerReaders
from reachlink.entry._relay_config import RelayConfig
from reachlink.entry._relay_daemon import RelayDaemon
from reachlink.entry._relay_node import RelayNode
from reachlink.entry._route_lookup import find_confirmed, log_refusal, table_wait_s
from reachlink.entry.exceptions import (
    HELD_RETRY_S,
    EntryError,
    RequestError,
    RequestRefusedError,
)

if TYPE_CHECKING:
    from reachlink.entry._daemon import EntryDaemon
    from reachlink.entry._digests import Digest, DigestBook, ReplicaLoad
    from reachlink.entry._dispatcher import Dispatcher, Ticket
    from reachlink.entry._ledger import InFlight, Ledger
    from reachlink.entry._node import EntryNode

# Parts of the chat daemon by the module that has them. The relaying daemon does
# without: they are loaded at their first use, which saves a sixth of its start.
_CHAT_PARTS = {
    "EntryDaemon": "_daemon",
    "Digest": "_digests",
    "DigestBook": "_digests",
    "ReplicaLoad": "_digests",
    "Dispatcher": "_dispatcher",
    "Ticket": "_dispatcher",
    "InFlight": "_ledger",
    "Ledger": "_ledger",
    "EntryNode": "_node",
}


def __getattr__(name: str) -> Any:
    """Load a part of the chat daemon."""
    module = _CHAT_PARTS.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)


def main() -> None:
    """Run the command line."""
    # Loaded only here: a daemon that is started otherwise spares the library's
    # time and memory.
    from reachlink.entry._main import main as run

    run()


__all__ = [
    "HELD_RETRY_S",
    "CALLER_BORDERS",
    "CallerBorder",
    "CallerConnections",
    "CallerReader",
    "CallerReaders",
    "CallerListener",
    "CallerServer",
    "CallerSink",
    "ConnectionAbort",
    "ConnectionAborts",
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
    "RequestRefusedError",
    "receive_body",
    "decoded_or_refused",
    "find_confirmed",
    "give_answer",
    "log_refusal",
    "Ticket",
    "main",
    "table_wait_s",
]
