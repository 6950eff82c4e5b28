"""Messages that instances exchange about rate limits of replicas.

The structs are sent as arrays: the order of the fields is the format, and a new field goes to
the end and has a default. Replicas are identified by name, since the address of a replica may
differ between instances.
"""

import msgspec

CHANNEL_LIMIT = "limit"
"""Channel of calls with a `PermitQuery`; the reply is a `PermitReply`."""


class PermitQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks the owner of a limit for a permit to send one request to the replica.

    Attributes
    ----------
    replica : str
        Name of the replica.
    requests_per_s : float
        Requests per second that the replica accepts from all instances, as known to the
        sender of the message.
    age_s : float
        Time in seconds since the replica advertised that limit.
    max_wait_s : float
        Longest wait for a permit, in seconds.
    background : bool
        Whether the request gives way to all other requests to the replica.
    """

    replica: str
    requests_per_s: float
    age_s: float
    max_wait_s: float = 0.0
    background: bool = False


class PermitReply(msgspec.Struct, array_like=True, frozen=True):
    """Reply to a `PermitQuery`.

    Attributes
    ----------
    is_owner : bool
        Whether the instance that replies owns the limit; if not, `wait_s` has no meaning.
    wait_s : float
        Time in seconds until the request may be sent; if longer than `max_wait_s` of the
        query, no permit is reserved.
    """

    is_owner: bool
    wait_s: float = 0.0


class LimitUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Reports a limit that a replica advertised, or its end.

    Attributes
    ----------
    replica : str
        Name of the replica.
    requests_per_s : float or None
        Requests per second that the replica accepts from all instances; None if its limit
        has ended.
    age_s : float
        Time in seconds since the replica advertised the limit, or since its end.
    """

    replica: str
    requests_per_s: float | None
    age_s: float
