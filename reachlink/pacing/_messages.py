"""What instances ask and tell each other of limits.

The structs go over the wire as arrays: the order of their fields is the format, and new
fields go to the end with a default. Replicas go by their names: their addresses may differ
by who reaches them.
"""

import msgspec

CHANNEL_LIMIT = "limit"
"""Call: a `LimitQuestion`, answered with a `LimitAnswer`."""


class LimitQuestion(msgspec.Struct, array_like=True, frozen=True):
    """Asks for one request to a replica with a limit.

    Attributes
    ----------
    replica : str
        The replica.
    per_s : float
        Requests a second that it takes from all together, as who asks knows it.
    age_s : float
        How long ago it named that, in seconds.
    patience_s : float
        Longest wait for a permit, in seconds.
    background : bool
        Whether the request only matters where nothing else wants to go there.
    """

    replica: str
    per_s: float
    age_s: float
    patience_s: float = 0.0
    background: bool = False


class LimitAnswer(msgspec.Struct, array_like=True, frozen=True):
    """What came of it.

    Attributes
    ----------
    decided : bool
        Whether who was asked hands this limit out; else nothing is said.
    wait_s : float
        Time until the request may be sent, in seconds; above the patience it may not.
    """

    decided: bool
    wait_s: float = 0.0


class LimitNote(msgspec.Struct, array_like=True, frozen=True):
    """Tells others of a limit that a replica has named, or that one is over.

    Attributes
    ----------
    replica : str
        The replica.
    per_s : float or None
        Requests a second that it takes from all together; None for no limit any more.
    age_s : float
        How long ago it said so, in seconds.
    """

    replica: str
    per_s: float | None
    age_s: float
