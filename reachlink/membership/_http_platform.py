"""Adapter for a platform list that is served as JSON over HTTP."""

import aiohttp

from reachlink.kernel import BoundedConnector, read_bounded
from reachlink.membership._list_page import MAX_PAGE_BYTES, PageReader
from reachlink.membership._platform import PLATFORMS, ListedInstance, PlatformAdapter
from reachlink.membership.exceptions import PlatformUnavailableError

TIMEOUT_S = 2.0
_OK = 200


@PLATFORMS.register("http-json")
class HttpPlatform(PlatformAdapter):
    """Reads ``{"instances": [...]}`` from a URL.

    Parameters
    ----------
    url : str
        URL of the list.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None
        self._pages = PageReader(ListedInstance)

    async def instances(self) -> list[ListedInstance]:
        """Return the platform's current list."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=BoundedConnector(), timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
            )
        try:
            async with self._session.get(self._url) as response:
                response.raise_for_status()
                if response.status != _OK:
                    raise PlatformUnavailableError(f"{self._url}: status {response.status}")
                return self._pages.read(await read_bounded(response, MAX_PAGE_BYTES)).entries
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise PlatformUnavailableError(f"{self._url}: {error!r}") from error

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
