"""Where an entry instance finds control instances."""

from collections.abc import Iterable
from typing import Any

from reachlink.control import ControlClient
from reachlink.membership import InstanceRecord
from reachlink.telemetry import get_logger


class KnownControls:
    """Keeps the addresses that control instances are asked at.

    Parameters
    ----------
    client : ControlClient
        Asks them.
    zone : str
        This instance's availability zone.
    seeds : iterable of str
        Addresses where they may always be found.
    """

    def __init__(self, client: ControlClient, zone: str, seeds: Iterable[str]) -> None:
        self._client = client
        self._zone = zone
        self._seeds = list(seeds)
        self._log: Any = get_logger()

    def take_seeds(self, seeds: list[str]) -> None:
        """Take other addresses where control instances may be found."""
        self._seeds = list(seeds)
        self._client.learn(list(dict.fromkeys([*self._client.addresses, *seeds])))

    def take(self, controls: list[InstanceRecord]) -> None:
        """Take the control instances that exist now, this zone's first."""
        near = [c.address for c in controls if c.availability_zone == self._zone]
        known = dict.fromkeys([*near, *(c.address for c in controls), *self._seeds])
        if set(known) != set(self._client.addresses):
            self._log.info("controls_known", addresses=",".join(known))
        self._client.learn(list(known))
