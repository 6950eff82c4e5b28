"""Options that every command has."""

import os
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter

from reachlink.cli._client import Target

ADDRESS_VARIABLE = "REACHLINK_ADDRESS"
KEY_VARIABLE = "REACHLINK_KEY"


@Parameter(name="*")
@dataclass(slots=True, frozen=True)
class Connection:
    """Where the command goes.

    Parameters
    ----------
    address : list of str
        ``host:port`` of an entry or control instance; several are tried in
        turn. Default: REACHLINK_ADDRESS, separated by commas.
    key : str
        The operator's key. Default: REACHLINK_KEY.
    json : bool
        Print JSON instead of lines.
    """

    address: Annotated[
        tuple[str, ...], Parameter(help="host:port; may be given more than once")
    ] = ()
    key: str = ""
    json: bool = False

    def target(self) -> Target:
        """Return the addresses and the key, from the environment where not given."""
        given = os.environ.get(ADDRESS_VARIABLE, "")
        addresses = self.address or tuple(a for a in given.split(",") if a)
        return Target(addresses, self.key or os.environ.get(KEY_VARIABLE, ""))
