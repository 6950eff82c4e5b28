"""Small pieces of HTTP that every server of the system shares."""

from typing import Any

import msgspec
from aiohttp import web


def json_response(body: Any, status: int = 200, headers: Any = None) -> web.Response:
    """Return a JSON response.

    Parameters
    ----------
    body : object
        Anything that `msgspec` encodes.
    status : int
        HTTP status.
    headers : mapping, optional
        More headers.

    Returns
    -------
    aiohttp.web.Response
        The response.
    """
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def bearer_key(request: web.Request) -> str:
    """Return the bearer key of a request, or an empty string."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
