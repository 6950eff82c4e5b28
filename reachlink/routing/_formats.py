"""Formats that a routing table may be published in."""

from collections.abc import Generator
from dataclasses import dataclass, replace
from typing import Any, Protocol

import msgspec

from reachlink.kernel import Registry
from reachlink.routing._index import RoutingIndex
from reachlink.routing._table import (
    CallerLimits,
    Route,
    RoutingTable,
    Service,
    Workspace,
    check_table,
)
from reachlink.routing.exceptions import InvalidTableError

# Routes that are read in one step, less than a millisecond's work.
ROUTES_READ_A_STEP = 100


@dataclass(slots=True, frozen=True)
class TableOutline:
    """A document whose routes were found and not read.

    Attributes
    ----------
    table : RoutingTable
        Everything but the routes.
    routes : list of bytes
        The part of the document that each route is written in.
    """

    table: RoutingTable
    routes: list[bytes]


class TableFormat(Protocol):
    """How documents of one format are read."""

    def outline(self, document: bytes) -> TableOutline:
        """Return everything but the routes, and where these are written.

        Raises
        ------
        InvalidTableError
            With the field that is wrong.
        """

    def route(self, place: str, written: bytes) -> Route:
        """Read one route.

        Raises
        ------
        InvalidTableError
            With the field that is wrong, as part of the place.
        """


TABLE_FORMATS: Registry[TableFormat] = Registry("routing table format")
NATIVE_FORMAT = "reachlink"


class PublishedTable(msgspec.Struct, frozen=True):
    """A routing table as it was published, kept unchanged so that it reads back the same.

    Attributes
    ----------
    number : int
        Number of the table.
    format : str
        Format of the document, one of `TABLE_FORMATS`.
    document : str
        The document itself.
    """

    number: int
    format: str
    document: str

    def decode(self) -> RoutingTable:
        """Return the checked table.

        Raises
        ------
        InvalidTableError
            With the field that is wrong.
        """
        table_format = TABLE_FORMATS.get(self.format)
        outline = table_format.outline(self.document.encode())
        routes = [table_format.route(f"routes[{i}]", w) for i, w in enumerate(outline.routes)]
        table = replace(outline.table, routes=tuple(routes))
        check_table(table)
        return table


class TableReader:
    """Reads tables that were accepted, one after the other, in short steps.

    A route that the table before had is not read again, and no table is checked again:
    that was done before it was accepted. So a change of one route takes half of the time
    and holds the loop for a fraction of it.
    """

    def __init__(self) -> None:
        self._format = ""
        self._routes: dict[bytes, Route] = {}

    def steps(self, published: PublishedTable) -> Generator[None, None, RoutingIndex]:
        """Prepare a table for look-ups; the work may pause at each yield.

        Raises
        ------
        InvalidTableError
            With the field that is wrong.
        """
        table_format = TABLE_FORMATS.get(published.format)
        known = self._routes if published.format == self._format else {}
        outline = table_format.outline(published.document.encode())
        yield
        routes: dict[bytes, Route] = {}
        for position, written in enumerate(outline.routes):
            route = known.get(written)
            routes[written] = route or table_format.route(f"routes[{position}]", written)
            if position % ROUTES_READ_A_STEP == ROUTES_READ_A_STEP - 1:
                yield
        self._format, self._routes = published.format, routes
        yield
        table = replace(outline.table, routes=tuple(routes.values()))
        return (yield from RoutingIndex.steps(table))


class _NativeOutline(msgspec.Struct):
    number: int
    routes: list[msgspec.Raw] = []
    services: list[Service] = []
    workspaces: list[Workspace] = []
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)


class _NativeFormat:
    """The project's own JSON format, whose fields are those of `RoutingTable`."""

    def __init__(self) -> None:
        self._outline = msgspec.json.Decoder(_NativeOutline).decode
        self._route = msgspec.json.Decoder(Route).decode

    def outline(self, document: bytes) -> TableOutline:
        """See `TableFormat`."""
        found = decode_or_refuse(self._outline, document)
        table = RoutingTable(
            found.number,
            services=tuple(found.services),
            workspaces=tuple(found.workspaces),
            limits=found.limits,
        )
        return TableOutline(table, [bytes(raw) for raw in found.routes])

    def route(self, place: str, written: bytes) -> Route:
        """See `TableFormat`."""
        route: Route = decode_or_refuse(self._route, written, place)
        return route


def decode_or_refuse(decode: Any, written: bytes, place: str = "") -> Any:
    """Return what a decoder makes of a text.

    Raises
    ------
    InvalidTableError
        If it makes nothing of it; names the place.
    """
    try:
        return decode(written)
    except msgspec.DecodeError as error:
        raise InvalidTableError("", _placed(str(error), place)) from error


def _placed(message: str, place: str) -> str:
    """Return a decoder's message with its field named from the top of the document."""
    if not place:
        return message
    if "`$" in message:
        return message.replace("`$", f"`$.{place}")
    return f"{message} - at `$.{place}`"


TABLE_FORMATS.register(NATIVE_FORMAT)(_NativeFormat())
