"""Platform list in JSON over HTTP."""

import aiohttp
import msgspec

from reachlink.membership._platform import PLATFORMS, ListedInstance, PlatformAdapter
from reachlink.membership.exceptions import PlatformUnavailableError

TIMEOUT_S = 2.0


class _Listing(msgspec.Struct):
    instances: list[ListedInstance]


_decode = msgspec.json.Decoder(_Listing).decode


@PLATFORMS.register("http-json")
class HttpPlatform(PlatformAdapter):
    """Reads ``{"instances": [...]}`` from a URL.

    Parameters
    ----------
    url : str
        Where the list is.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def instances(self) -> list[ListedInstance]:
        """Return the list as the platform shows it now."""
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))
        try:
            async with self._session.get(self._url) as response:
                response.raise_for_status()
                return _decode(await response.read()).instances
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise PlatformUnavailableError(f"{self._url}: {error!r}") from error
        except msgspec.DecodeError as error:
            raise PlatformUnavailableError(f"{self._url}: {error}") from error

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()
