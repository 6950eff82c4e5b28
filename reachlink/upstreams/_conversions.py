"""URLs and errors of `aiohttp`, as the HTTP client of the adapters uses them."""

from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp
import msgspec
from yarl import URL

from reachlink.reachability import NotReachedError
from reachlink.upstreams.exceptions import UpstreamBrokenError, UpstreamUnreachableError

# What decoding raises for an answer that is no JSON, or is nested too deeply.
UNREADABLE: tuple[type[Exception], ...] = (msgspec.DecodeError, RecursionError)


def url_of(url: str) -> URL:
    """Return a URL whose target is sent just as it is.

    Examples
    --------
    >>> url_of("http://127.0.0.1:80/a%2fb?").raw_path_qs
    '/a%2fb?'
    """
    scheme, _, rest = url.partition("://")
    authority, slash, target = rest.partition("/")
    base = URL(f"{scheme}://{authority}", encoded=True)
    # A query of its own would lose its question mark if it is empty.
    return URL.build(
        scheme=scheme,
        host=base.raw_host or "",
        port=base.explicit_port,
        path=f"{slash}{target}",
        encoded=True,
    )


@contextmanager
def convert_timeout(address: str) -> Iterator[None]:
    """Convert the end of a wait for an examination to an error that says that nobody can tell."""
    try:
        yield
    except TimeoutError as error:
        raise UpstreamUnreachableError(f"whether {address} answers is not known yet") from error


@contextmanager
def convert_errors(*broken: type[Exception]) -> Iterator[None]:
    """Convert errors of `aiohttp`, and those in `broken`, to upstream errors."""
    failures: tuple[type[Exception], ...] = (
        aiohttp.ClientError,
        OSError,
        TimeoutError,
        *UNREADABLE,
        *broken,
    )
    try:
        yield
    except NotReachedError as error:
        raise UpstreamUnreachableError(str(error), error.replica_away) from error.__cause__
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamUnreachableError(str(error)) from error
    except failures as error:
        raise UpstreamBrokenError(str(error) or type(error).__name__) from error


class SingleDispatch:
    """Client middleware that sends a request at most once.

    `aiohttp` itself retries requests with idempotent methods if a kept-alive connection turns
    out to be closed. Only the retry policy may decide whether a retry is safe.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request, or fail if it was sent before."""
        if self._sent:
            raise UpstreamBrokenError("the connection broke after the request was sent")
        self._sent = True
        return await handler(request)
