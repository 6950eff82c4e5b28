"""HTTP functions shared by the servers of reachlink."""

from typing import Any

import msgspec
from aiohttp import web


def json_response(body: Any, status: int = 200, headers: Any = None) -> web.Response:
    """Return a JSON response.

    Parameters
    ----------
    body : object
        Body of the response; any object that `msgspec` can encode.
    status : int
        HTTP status.
    headers : mapping, optional
        Additional headers.

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
    """Return the bearer key in the Authorization header, or an empty string."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
