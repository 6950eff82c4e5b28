"""Looking a request up in the routing table, which has to be the newest where it has nothing."""

from collections.abc import Callable
from typing import TypeVar

from reachlink.delivery import Outcome
from reachlink.entry._borders import RelayHost
from reachlink.entry.exceptions import UNCONFIRMED_RETRY_S, RequestRefusedError
from reachlink.routing import RoutingIndex

# How long a request waits for a table that is confirmed, in seconds: where every instance has
# restarted, callers are taken before one is there, and a caller has only one more attempt.
TABLE_WAIT_S = 1.0
# The same as a share of what the caller waits in all: the rest is for the request
# itself, or for another attempt elsewhere.
TABLE_WAIT_SHARE = 0.33

_Found = TypeVar("_Found")


def table_wait_s(caller_timeout_s: float | None) -> float:
    """Return how long a request may wait for a table that is confirmed, in seconds.

    Parameters
    ----------
    caller_timeout_s : float, optional
        How long the caller says that it waits in all, in seconds.
    """
    if caller_timeout_s is None:
        return TABLE_WAIT_S
    return min(TABLE_WAIT_S, caller_timeout_s * TABLE_WAIT_SHARE)


async def find_confirmed(
    host: RelayHost, index: RoutingIndex, find: Callable[[RoutingIndex], _Found], wait_s: float
) -> tuple[RoutingIndex, _Found]:
    """Return what a table has for a request, and that table.

    Parameters
    ----------
    host : RelayHost
        What the border serves.
    index : RoutingIndex
        The table in force.
    find : callable
        Looks the request up; raises a `RequestRefusedError` where the table has nothing.
    wait_s : float
        How long to wait for the table to be confirmed before a refusal, in seconds.

    Raises
    ------
    RequestRefusedError
        If the newest table has nothing, or nobody confirms which one that is.
    """
    try:
        return index, find(index)
    except RequestRefusedError as refusal:
        confirmed = await host.settings_confirmed(wait_s)
        newest = host.index or index
        if newest.number != index.number:
            return await find_confirmed(host, newest, find, wait_s)
        if confirmed:
            raise
        raise RequestRefusedError(503, "settings_unconfirmed", UNCONFIRMED_RETRY_S) from refusal


def log_refusal(host: RelayHost, request_id: str, refusal: RequestRefusedError) -> None:
    """Log a refusal, with the table that it rests on."""
    index = host.index
    host.log.info(
        "request_refused",
        request_id=request_id,
        status=refusal.status,
        reason=refusal.reason,
        outcome=Outcome.NOT_RUN.value,
        table=index.number if index else 0,
        confirmed_age_s=round(host.confirmation.age_s, 3),
    )
