"""Whether a caller is still there."""

from aiohttp import web


def is_open(request: web.BaseRequest) -> bool:
    """Return whether the connection that a request came on is open.

    An exception does not tell: connections to replicas and peers raise the same ones.
    """
    return request.transport is not None and not request.transport.is_closing()
