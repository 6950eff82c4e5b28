"""The routing table in force at an entry instance, and how a newer one gets there."""

import asyncio
from collections.abc import Sequence
from typing import Any

from reachlink.kernel import run_in_slices, steady_time
from reachlink.routing import PublishedTable, RoutingError, RoutingIndex, Service, TableReader
from reachlink.telemetry import get_logger


class TableInForce:
    """Holds the routing table that requests are decided by."""

    def __init__(self) -> None:
        self._tables = TableReader()
        self._index: RoutingIndex | None = None
        self._has_index = asyncio.Event()
        self._log: Any = get_logger()

    @property
    def index(self) -> RoutingIndex | None:
        """The table, or None before there is one."""
        return self._index

    @property
    def number(self) -> int:
        """Number of the table; 0 before there is one."""
        return self._index.number if self._index else 0

    @property
    def services(self) -> Sequence[Service]:
        """The services of the table."""
        return () if self._index is None else self._index.table.services

    @property
    def engines(self) -> list[Service]:
        """Those of them that are model engines."""
        return [service for service in self.services if service.engine is not None]

    async def wait_first(self) -> None:
        """Wait until there is a table."""
        await self._has_index.wait()

    async def take(self, published: PublishedTable | None) -> None:
        """Put a newer routing table in force, once it is read.

        Requests are decided by the table before meanwhile. It is read in slices: in one
        go, a large one would hold up streams and requests.
        """
        if published is None or (self._index and self._index.number >= published.number):
            return
        started = steady_time()
        try:
            index = await run_in_slices(self._tables.steps(published))
        except RoutingError as error:
            # It was checked before it was accepted: this is a fault of this version.
            self._log.error("routing_table_unreadable", number=published.number, reason=str(error))
            return
        if self._index is not None and self._index.number >= index.number:
            return
        self._index = index
        self._has_index.set()
        took_ms = round(1000.0 * (steady_time() - started), 1)
        self._log.info("routing_table_in_force", number=published.number, took_ms=took_ms)
