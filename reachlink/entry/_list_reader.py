"""Reads the platform's list, by turns with the instances that share what they find.

The platform answers only so many requests, so that the more instances share the
reading, the longer each waits between two of its own.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from random import Random

from reachlink.entry._list_news import ListNews
from reachlink.kernel import steady_time
from reachlink.membership import (
    PlatformAdapter,
    PlatformBusyError,
    ReplicaDirectory,
)
from reachlink.telemetry import get_logger

# Longest time between two readings, in seconds.
SLOWEST_S = 8.0
# Longest time between two readings that sharing leads to, in seconds: an instance
# that hears nothing of the others is not further behind.
LONGEST_TURN_S = 3.0
# How long until an instance that another reads for looks whether it still does, and
# how often one that does not know yet whether another will looks, in seconds.
LOOK_S = 0.5
FIRST_LOOK_S = 0.05
# How long an instance waits to learn that, in seconds, and by how much more at the
# most, by chance: where all start at once, some 200 readings would meet a platform
# that answers 44 a second.
PATIENCE_S = 1.0
PATIENCE_SPREAD_S = 1.0
# Factor on the wait for each refusal by a busy platform, and for each answer.
SLOWER = 1.6
FASTER = 0.95
# Largest product of these factors; the smallest is 1.
MOST_SLOWDOWN = 12.0


class ReadingRole(Enum):
    """Whether an instance reads the list itself."""

    READS = "reads"
    TOLD = "told by another"
    UNKNOWN = "not known yet"


class ListReader:
    """Keeps a directory up to date.

    Parameters
    ----------
    platform : PlatformAdapter
        Where the list is.
    directory : ReplicaDirectory
        What it is kept in.
    news : ListNews
        What the instances tell each other.
    instances : callable
        Returns how many instances share the reading, this one included.
    interval_s : float
        Shortest time between two readings here, in seconds.
    shared_interval_s : float
        Time between two readings by any of them, in seconds.
    role : callable
        Returns whether this instance reads the list itself.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        platform: PlatformAdapter,
        directory: ReplicaDirectory,
        news: ListNews,
        instances: Callable[[], int],
        interval_s: float,
        shared_interval_s: float,
        role: Callable[[], ReadingRole],
        random: Random,
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._news = news
        self._instances = instances
        self._shortest_s = interval_s
        self._shared_s = shared_interval_s
        self._role = role
        self._random = random
        self._slowdown = 1.0
        self._log = get_logger()
        self._has_read = False
        # Whether the platform did not answer last; logged once until it does.
        self._failing = False

    @property
    def has_read(self) -> bool:
        """Whether the list was read, here or for this instance, at least once."""
        self._has_read = self._has_read or self._role() is ReadingRole.TOLD
        return self._has_read

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await self._wait_for_turn()
            started = steady_time()
            await self._read_once()
            passed = steady_time() - started
            await asyncio.sleep(max(0.0, self._interval_s() - passed))

    async def _wait_for_turn(self) -> None:
        """Wait while another instance reads, and for a while to learn whether one does."""
        patience = PATIENCE_S + self._random.random() * PATIENCE_SPREAD_S
        unknown_since = steady_time()
        while (role := self._role()) is not ReadingRole.READS:
            if role is ReadingRole.TOLD:
                unknown_since = steady_time()
                await asyncio.sleep(LOOK_S)
                continue
            if steady_time() - unknown_since > patience:
                return
            await asyncio.sleep(FIRST_LOOK_S)

    def _interval_s(self) -> float:
        """Return the time between two readings here, in seconds."""
        turn = self._shared_s * self._instances()
        usual = max(self._shortest_s, min(turn, LONGEST_TURN_S))
        return min(SLOWEST_S, usual * self._slowdown)

    async def _read_once(self) -> None:
        """Read the list once, and take and tell what is new in it."""
        try:
            listed = await self._platform.instances()
        except PlatformBusyError:
            self._note_busy()
            return
        except Exception as error:  # noqa: BLE001 - the list has to be read again whatever it holds
            self._note_unavailable(error)
            return
        self._note_answer()
        self._news.tell(self._directory.update(listed, steady_time()))
        self._has_read = True

    def _note_busy(self) -> None:
        self._slowdown = min(MOST_SLOWDOWN, self._slowdown * SLOWER)
        self._log.info("platform_list_busy", interval_s=round(self._interval_s(), 2))

    def _note_unavailable(self, error: Exception) -> None:
        if not self._failing:
            self._log.warning(
                "platform_list_unavailable", kind=type(error).__name__, reason=str(error)
            )
        self._failing = True

    def _note_answer(self) -> None:
        if self._failing:
            self._log.info("platform_list_regained")
        self._failing = False
        self._slowdown = max(1.0, self._slowdown * FASTER)
