"""Formats in which a routing table may be published."""

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

# Routes decoded per step, which takes less than a millisecond.
ROUTES_DECODED_PER_STEP = 100


@dataclass(slots=True, frozen=True)
class TableOutline:
    """A decoded table document whose routes are located but not decoded yet.

    Attributes
    ----------
    table : RoutingTable
        Everything except the routes.
    routes : list of bytes
        Encoded text of each route.
    """

    table: RoutingTable
    routes: list[bytes]


class TableFormat(Protocol):
    """Decoder of documents of one format."""

    @property
    def encoded_route(self) -> type[Any]:
        """Type of a route as it is encoded, for `msgspec`."""

    def outline(self, document: bytes) -> TableOutline:
        """Decode everything except the routes, and locate the routes.

        Raises
        ------
        InvalidTableError
            If the document is invalid; names the field.
        """

    def route(self, path: str, encoded: bytes) -> Route:
        """Decode one route.

        Parameters
        ----------
        path : str
            Path of the route in the document, for error messages.
        encoded : bytes
            Encoded text of the route.

        Raises
        ------
        InvalidTableError
            If the route is invalid; names the field by its path, starting with `path`.
        """


TABLE_FORMATS: Registry[TableFormat] = Registry("routing table format")
NATIVE_FORMAT = "reachlink"


class PublishedTable(msgspec.Struct, frozen=True):
    """A routing table as published, kept unchanged so that it is returned as it was published.

    Attributes
    ----------
    number : int
        Number of the table.
    format : str
        Format of the document, one of `TABLE_FORMATS`.
    document : str
        Text of the document.
    """

    number: int
    format: str
    document: str

    def decode(self) -> RoutingTable:
        """Return the decoded and checked table.

        Raises
        ------
        InvalidTableError
            If the table is invalid; names the field.
        """
        table_format, document = TABLE_FORMATS.get(self.format), self.document.encode()
        # Ends at the first route that is none. An outline holds all of them, however short.
        routes_of = list[table_format.encoded_route]  # type: ignore[name-defined]
        shape = msgspec.defstruct("Shape", [("routes", routes_of, [])])
        decode_or_raise(msgspec.json.Decoder(shape).decode, document)
        outline = table_format.outline(document)
        routes = [table_format.route(f"routes[{i}]", w) for i, w in enumerate(outline.routes)]
        table = replace(outline.table, routes=tuple(routes))
        check_table(table)
        return table


class TableReader:
    """Decodes successive accepted tables in short steps.

    Routes that the previous table already had are not decoded again, and tables are not checked
    again, since that was done before they were accepted. A change of one route therefore takes
    half of the time and blocks the event loop for a fraction of it.
    """

    def __init__(self) -> None:
        self._format = ""
        self._routes: dict[bytes, Route] = {}

    def steps(self, published: PublishedTable) -> Generator[None, None, RoutingIndex]:
        """Decode a table and build its index; the caller may do other work at each yield.

        Raises
        ------
        InvalidTableError
            If the table is invalid; names the field.
        """
        table_format = TABLE_FORMATS.get(published.format)
        known = self._routes if published.format == self._format else {}
        outline = table_format.outline(published.document.encode())
        yield
        routes: dict[bytes, Route] = {}
        for position, encoded in enumerate(outline.routes):
            route = known.get(encoded)
            routes[encoded] = route or table_format.route(f"routes[{position}]", encoded)
            if position % ROUTES_DECODED_PER_STEP == ROUTES_DECODED_PER_STEP - 1:
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

    encoded_route = Route

    def __init__(self) -> None:
        self._outline = msgspec.json.Decoder(_NativeOutline).decode
        self._route = msgspec.json.Decoder(Route).decode

    def outline(self, document: bytes) -> TableOutline:
        """See `TableFormat`."""
        found = decode_or_raise(self._outline, document)
        table = RoutingTable(
            found.number,
            services=tuple(found.services),
            workspaces=tuple(found.workspaces),
            limits=found.limits,
        )
        return TableOutline(table, [bytes(raw) for raw in found.routes])

    def route(self, path: str, encoded: bytes) -> Route:
        """See `TableFormat`."""
        route: Route = decode_or_raise(self._route, encoded, path)
        return route


def decode_or_raise(decode: Any, encoded: bytes, path: str = "") -> Any:
    """Return the result of a decoder for a text.

    Parameters
    ----------
    decode : callable
        Decoder of a text.
    encoded : bytes
        Text to decode.
    path : str
        Path of the text in its document; empty for the whole document.

    Raises
    ------
    InvalidTableError
        If the text cannot be decoded; names the field by its path, starting with `path`.
    """
    try:
        return decode(encoded)
    except msgspec.DecodeError as error:
        raise InvalidTableError("", _with_full_path(str(error), path)) from error


def _with_full_path(message: str, path: str) -> str:
    """Return a decoder's message with the path of the field from the top of the document."""
    if not path:
        return message
    if "`$" in message:
        return message.replace("`$", f"`$.{path}")
    return f"{message} - at `$.{path}`"


TABLE_FORMATS.register(NATIVE_FORMAT)(_NativeFormat())
