"""Giving orders about availability zones, whoever leads."""

import time
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

from reachlink.control._commands import Command, Result, ZoneCommand, ZoneResult, ZoneStatus
from reachlink.control.exceptions import ControlUnavailableError, UnknownZoneError
from reachlink.kernel import steady_time
from reachlink.settings import SettingsTree, UnknownPathError, parse_path, zone_order_path

# How long after it arrived, read or not, an order that another one has overtaken is given again on
# the newest, in seconds. Operators' clients turn to another instance after one second: given
# again later, it could undo what they had confirmed there since.
GIVEN_AGAIN_S = 0.85

Propose = Callable[[Command], Awaitable[Result]]
"""Has a command accepted by quorum; safe to repeat."""


@dataclass(slots=True, frozen=True)
class Issuer:
    """Who gives an order, from where, and why."""

    author: str
    source: str
    reason: str = ""


class ZoneOrders:
    """Takes availability zones out of service, and back.

    Parameters
    ----------
    propose : callable
        Has a command accepted by quorum.
    tree : callable
        Returns the settings as this instance knows them.
    known : collection of str
        The zones of the deployment; where empty, any name will do.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        propose: Propose,
        tree: Callable[[], SettingsTree],
        known: Collection[str] = (),
        clock: Callable[[], float] = steady_time,
    ) -> None:
        self._propose = propose
        self._clock = clock
        self._tree = tree
        self._known = known

    async def order(
        self, zone: str, out_of_service: bool, issuer: Issuer, unread_s: float = 0.0
    ) -> ZoneResult:
        """Give an order; safe to repeat.

        Parameters
        ----------
        zone : str
            The availability zone.
        out_of_service : bool
            Whether its replicas are to get nothing more.
        issuer : Issuer
            Who gives it.
        unread_s : float
            Time in seconds for which the order may have waited unread.

        Raises
        ------
        UnknownZoneError
            There is no such zone.
        ControlUnavailableError
            Nothing was done: there is no leader in reach, or other orders about the
            zone overtook this one.
        OutcomeUnknownError
            It may have been done.
        """
        self._check(zone)
        given_at = self._clock() - unread_s
        held = self._tree().zone_orders.get(zone)
        base = held.revision if held is not None else 0
        while self._clock() - given_at < GIVEN_AGAIN_S:
            command = ZoneCommand(
                zone,
                out_of_service,
                base,
                issuer.author,
                issuer.source,
                issuer.reason,
                time.time(),
            )
            result = await self._propose(command)
            assert isinstance(result, ZoneResult)
            if result.status is not ZoneStatus.OVERTAKEN:
                return result
            base = result.revision
        raise ControlUnavailableError(f"other orders about zone {zone!r} overtook this one")

    def _check(self, zone: str) -> None:
        if self._known and zone not in self._known:
            names = ", ".join(sorted(self._known))
            raise UnknownZoneError(f"there is no availability zone {zone!r}, only: {names}")
        try:
            parse_path(zone_order_path(zone))
        except UnknownPathError as error:
            raise UnknownZoneError(f"{zone!r} is no name of an availability zone") from error
