"""Formats that a routing table may be published in."""

from collections.abc import Callable

import msgspec

from reachlink.kernel import Registry
from reachlink.routing._table import RoutingTable, check_table
from reachlink.routing.exceptions import InvalidTableError

Decoder = Callable[[bytes], RoutingTable]
"""Reads a published document; raises `InvalidTableError`."""

TABLE_FORMATS: Registry[Decoder] = Registry("routing table format")
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
        table = TABLE_FORMATS.get(self.format)(self.document.encode())
        check_table(table)
        return table


@TABLE_FORMATS.register(NATIVE_FORMAT)
def decode_native(document: bytes) -> RoutingTable:
    """Read the project's own JSON format, whose fields are those of `RoutingTable`."""
    try:
        return msgspec.json.decode(document, type=RoutingTable)
    except msgspec.DecodeError as error:
        raise InvalidTableError("", str(error)) from error
