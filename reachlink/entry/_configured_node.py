"""What an entry instance of any kind knows of itself."""

from typing import Generic, TypeVar

from reachlink.entry._config import EntryConfig
from reachlink.entry._relay_config import RelayConfig
from reachlink.entry._settings_confirmation import SettingsConfirmation
from reachlink.membership import SettingsHolder
from reachlink.settings import SettingsTree

_Config = TypeVar("_Config", EntryConfig, RelayConfig)


# How much older than the longest question for news a confirmation of the settings may be before
# a refusal rests on it, in seconds: what an answer takes, and those that are asked in place of one
# that is late.
CONFIRMATION_SLACK_S = 0.3


class ConfiguredNode(Generic[_Config]):
    """An instance with its configuration and the settings in force there.

    Parameters
    ----------
    config : EntryConfig or RelayConfig
        Configuration of the process.
    """

    def __init__(self, config: _Config) -> None:
        self.config: _Config = config
        self.settings = SettingsHolder()
        self.confirmation = SettingsConfirmation()

    @property
    def tree(self) -> SettingsTree:
        """Settings in force here."""
        return self.settings.tree

    @property
    def has_confirmed_settings(self) -> bool:
        """Whether the settings in force were the newest a moment ago."""
        return self.confirmation.age_s <= self._max_confirmed_age_s

    async def settings_confirmed(self, patience_s: float) -> bool:
        """Return whether the settings in force are the newest, waiting some time for that.

        What the settings do not have may have been added since, where nobody confirms them.

        Parameters
        ----------
        patience_s : float
            Longest wait, in seconds.
        """
        return await self.confirmation.wait(self._max_confirmed_age_s, patience_s)

    @property
    def _max_confirmed_age_s(self) -> float:
        return self.watch_wait_s + CONFIRMATION_SLACK_S

    @property
    def zone(self) -> str:
        """This instance's availability zone."""
        return self.config.availability_zone

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.config.name

    @property
    def address(self) -> str:
        """Address of this instance's bus."""
        return self.config.bus_address

    @property
    def watch_wait_s(self) -> float:
        """How long a control instance may hold the question for news, in seconds."""
        return self.config.watch_wait_s
