"""Changes to individual settings."""

from collections.abc import Mapping
from typing import Any

import msgspec


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """Set or unset one value.

    Attributes
    ----------
    path : str
        Dotted path of the setting.
    value : object
        New value; ignored if `unset` is true.
    unset : bool
        Whether to remove the value, so that the inherited value applies.
    """

    path: str
    value: Any = None
    unset: bool = False


def diff_values(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[Change]:
    """Return the changes that turn `old` into `new`, sorted by path."""
    changes: list[Change] = []
    for path in sorted(old.keys() | new.keys()):
        if path not in new:
            changes.append(Change(path, unset=True))
        elif path not in old or old[path] != new[path]:
            changes.append(Change(path, new[path]))
    return changes
