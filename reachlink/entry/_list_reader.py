"""Reads the platform's list, no faster than all instances together may."""

import asyncio
import time

from reachlink.membership import (
    PlatformAdapter,
    PlatformBusyError,
    PlatformUnavailableError,
    ReplicaDirectory,
)
from reachlink.telemetry import get_logger

# Longest time between two readings, in seconds.
SLOWEST_S = 8.0
# How much longer to wait after a refusal, and how the wait shrinks again, as factors.
SLOWER = 1.6
FASTER = 0.95


class ListReader:
    """Keeps a directory up to date.

    Parameters
    ----------
    platform : PlatformAdapter
        Where the list is.
    directory : ReplicaDirectory
        What it is kept in.
    interval_s : float
        Usual time between two readings, in seconds.
    """

    def __init__(
        self, platform: PlatformAdapter, directory: ReplicaDirectory, interval_s: float
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._usual_s = interval_s
        self._interval_s = interval_s
        self._log = get_logger()
        self._read = False
        self._failing = False

    @property
    def has_read(self) -> bool:
        """Whether the list was read at least once."""
        return self._read

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            started = time.monotonic()
            await self._read_once()
            passed = time.monotonic() - started
            await asyncio.sleep(max(0.0, self._interval_s - passed))

    async def _read_once(self) -> None:
        try:
            listed = await self._platform.instances()
        except PlatformBusyError:
            self._interval_s = min(SLOWEST_S, self._interval_s * SLOWER)
            self._log.info("platform_list_busy", interval_s=round(self._interval_s, 2))
            return
        except PlatformUnavailableError as error:
            if not self._failing:
                self._log.warning("platform_list_unavailable", reason=str(error))
            self._failing = True
            return
        if self._failing:
            self._log.info("platform_list_regained")
        self._failing = False
        self._interval_s = max(self._usual_s, self._interval_s * FASTER)
        self._directory.update(listed, time.monotonic())
        self._read = True
