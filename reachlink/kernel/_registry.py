"""Registries of named plug-ins, which are registered when their module is imported."""

import difflib
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from reachlink.kernel.exceptions import UnknownPluginError

T = TypeVar("T")


class Registry(Generic[T]):
    """Mapping from names to plug-ins of one kind.

    Parameters
    ----------
    kind : str
        Kind of the plug-ins, used in error messages.

    Examples
    --------
    >>> codecs = Registry("codec")
    >>> _ = codecs.register("upper")(str.upper)
    >>> codecs.get("upper")("a")
    'A'
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that records a plug-in under `name`.

        Parameters
        ----------
        name : str
            Name under which `get` finds the plug-in.

        Returns
        -------
        callable
            Decorator that returns its argument unchanged.
        """

        def record(plugin: T) -> T:
            if name in self._plugins:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._plugins[name] = plugin
            return plugin

        return record

    def get(self, name: str) -> T:
        """Return the plug-in registered under `name`.

        Raises
        ------
        UnknownPluginError
            If there is none; the message suggests the most similar name.
        """
        if name in self._plugins:
            return self._plugins[name]
        near = difflib.get_close_matches(name, self._plugins, n=1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        raise UnknownPluginError(f"no {self._kind} named {name!r}{hint}")

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._plugins))
