"""Messages between an instance that has lost its path to a replica and its peers."""

from enum import Enum

import msgspec

CHANNEL_RELAY = "relay"
# Length in bytes of the token with which the relayed connection is claimed.
TOKEN_BYTES = 16
# Sent by the peer once a claimed connection leads to the replica.
CLAIMED = b"\x01"


class RelayOutcome(Enum):
    """Result of a request to relay a connection; the values are sent and counted.

    A peer that reaches other replicas answers that this one is unreachable; one that may have
    lost its own paths answers that it is cut off.
    """

    OPENED = "opened"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut_off"
    UNKNOWN = "unknown"
    BUSY = "busy"


class RelayRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request to connect to a replica, which is named as in the platform's list.

    The peer connects directly. It never passes the request on, so that no loop can arise.
    """

    replica: str


class RelayReply(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the peer.

    Attributes
    ----------
    outcome : RelayOutcome
        Whether the peer is connected to the replica.
    port : int
        Port of the peer at which the connection is claimed.
    token : bytes
        Claims the connection, once.
    """

    outcome: RelayOutcome
    port: int = 0
    token: bytes = b""
