"""Reaching replicas: directly, or through a peer where the direct path is lost.

An instance may lose its links to replicas that its peers still reach. Whether a replica can be
reached is therefore a fact about an instance and a replica, and kept apart from the replica's
health. A peer passes the bytes of a connection on and takes no part in the request: everything
that is promised to callers and replicas is kept by the instance that has the request.
"""

from reachlink.reachability._dialer import Dialer, DirectDialer, RelayingDialer
from reachlink.reachability._paths import (
    GIVE_UP_AFTER_S,
    SUSPECT_AFTER_S,
    ConnectFailure,
    DirectPath,
    PathTracker,
    failure_of,
)
from reachlink.reachability._peers import RelayPeer, RelayPeers
from reachlink.reachability._relay_client import RelayClient, RelayTarget
from reachlink.reachability._relay_server import RelayServer
from reachlink.reachability._relayed_protocol import RelayedProtocol
from reachlink.reachability._sockets import ReplicaSocket, set_timeouts
from reachlink.reachability.exceptions import NotReachedError, ReachabilityError

__all__ = [
    "GIVE_UP_AFTER_S",
    "SUSPECT_AFTER_S",
    "ConnectFailure",
    "Dialer",
    "DirectDialer",
    "DirectPath",
    "NotReachedError",
    "PathTracker",
    "ReachabilityError",
    "RelayClient",
    "RelayPeer",
    "RelayPeers",
    "RelayServer",
    "RelayTarget",
    "RelayedProtocol",
    "RelayingDialer",
    "ReplicaSocket",
    "failure_of",
    "set_timeouts",
]
