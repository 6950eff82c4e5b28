"""Interface for adapters to the platform's list of live and leaving instances."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import Any

from reachlink.kernel import Registry


class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class ListedInstance:
    """One upstream instance in the platform's list.

    Attributes
    ----------
    name, upstream, availability_zone, address : str
        Name, upstream, zone and address of the instance.
    state : InstanceState
        Whether the instance is live or leaving.
    cold_s : float
        Remaining time in seconds for which the instance is cold.
    born : int
        Start time in Unix milliseconds by the instance's own clock; 0 if not reported.
        A restart under the same name loses the instance's memory.
    """

    name: str
    upstream: str
    availability_zone: str
    address: str
    state: InstanceState = InstanceState.LIVE
    cold_s: float = 0.0
    born: int = 0


class PlatformAdapter(ABC):
    """Reads the list of one kind of platform."""

    @abstractmethod
    async def instances(self) -> list[ListedInstance]:
        """Return the platform's current list, which may lag behind the instances.

        Raises
        ------
        PlatformUnavailableError
            If the list cannot be read.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the adapter's connections."""


PLATFORMS: Registry[Any] = Registry("platform adapter")
