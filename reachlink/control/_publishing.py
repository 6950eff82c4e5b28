"""Publishing routing tables and reading the newest back, for operators' borders."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from reachlink.control._commands import PublishCommand, PublishResult
from reachlink.control._freshness import RequestFreshness
from reachlink.control._proposals import PAUSE_S, propose_through
from reachlink.control._server import ControlServer
from reachlink.control._zone_orders import ZoneOrders
from reachlink.control.exceptions import ControlUnavailableError
from reachlink.kernel import Registry, steady_time
from reachlink.routing import PublishedTable

# How long one call tries to be sure of the newest table, in seconds: operators'
# clients turn to another instance after one second without an answer.
READ_TIMEOUT_S = 0.85


class TablePublisher:
    """Publishes through the instance that it belongs to, whoever leads.

    Parameters
    ----------
    server : ControlServer
        The instance's own server.
    """

    def __init__(self, server: ControlServer) -> None:
        self._server = server

    async def publish(self, table: PublishedTable, author: str, source: str) -> PublishResult:
        """Put a checked table in force; safe to repeat.

        Raises
        ------
        ControlUnavailableError
            Nothing was done: there is no leader in reach.
        OutcomeUnknownError
            It may have been done.
        """
        command = PublishCommand(table, author, source, time.time())
        result = await propose_through(self._server, command)
        assert isinstance(result, PublishResult)
        return result

    async def newest(self) -> PublishedTable | None:
        """Return the newest accepted table, or None where none was ever accepted.

        Raises
        ------
        ControlUnavailableError
            This instance cannot be sure which one is the newest.
        """
        deadline = steady_time() + READ_TIMEOUT_S
        while (left := deadline - steady_time()) > 0:
            try:
                async with asyncio.timeout(left):
                    if await self._server.catch_up():
                        return self._server.tree.routing
            except TimeoutError:
                break
            await asyncio.sleep(PAUSE_S)
        raise ControlUnavailableError("cannot be sure of the newest routing table")


@dataclass(slots=True, frozen=True)
class OperatorTools:
    """What an operators' border works with."""

    tables: TablePublisher
    zones: ZoneOrders
    freshness: RequestFreshness


OperatorBorder = Callable[[OperatorTools], list[web.RouteDef]]
"""Makes the HTTP routes of one operators' interface."""

OPERATOR_BORDERS: Registry[Any] = Registry("operators' border")
"""Functions of the type `OperatorBorder`."""
