"""Messages between the processes of reachlink, over ZeroMQ."""

from reachlink.messaging._bus import Bus, Handler
from reachlink.messaging._codec import decode, encode
from reachlink.messaging._traffic import Traffic, export_traffic
from reachlink.messaging.exceptions import (
    CallFailedError,
    CallTimeoutError,
    MessagingError,
    PeerUnreachableError,
)

__all__ = [
    "Bus",
    "CallFailedError",
    "CallTimeoutError",
    "Handler",
    "MessagingError",
    "PeerUnreachableError",
    "Traffic",
    "decode",
    "encode",
    "export_traffic",
]
