"""Statuses with which an answer may end, and what they promise."""

from reachlink.upstreams.exceptions import UpstreamBrokenError

# Final statuses that HTTP defines classes for (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
# Statuses that tell a caller that its request has not run and never will, so that even one that
# may run once is sent again.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def check_promise(status: int, not_run: bool) -> None:
    """Check that a final answer promises no more than is known of its request.

    Parameters
    ----------
    status : int
        Status of the answer.
    not_run : bool
        Whether the request has surely not run and will not run later.

    Raises
    ------
    ValueError
        If the status promises that it has not.
    """
    if status in NOT_RUN_STATUSES and not not_run:
        raise ValueError(f"status {status} is for requests that have surely not run")


def check_final(status: int) -> None:
    """Check that a status is one that ends an answer.

    Anything else is an invalid response, of which the request's outcome does not follow.

    Parameters
    ----------
    status : int
        Status of the answer.

    Raises
    ------
    UpstreamBrokenError
        If it is not.
    """
    if status not in FINAL_STATUSES:
        raise UpstreamBrokenError(f"the upstream ended its answer with status {status}")
