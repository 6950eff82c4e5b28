"""Conversion of settings between flat values and a nested JSON document."""

from collections.abc import Mapping
from typing import Any

from reachlink.settings._paths import parse_path
from reachlink.settings._validation import Problem
from reachlink.settings.exceptions import InvalidSettingsError, UnknownPathError


def to_document(values: Mapping[str, Any]) -> dict[str, Any]:
    """Convert values by path to a nested document.

    Parameters
    ----------
    values : mapping of str to object
        Values by dotted path.

    Returns
    -------
    dict
        Nested JSON document, sorted by name.
    """
    document: dict[str, Any] = {}
    for path in sorted(values):
        *parents, leaf = path.split(".")
        node = document
        for parent in parents:
            node = node.setdefault(parent, {})
        node[leaf] = values[path]
    return document


def from_document(document: Mapping[str, Any]) -> dict[str, Any]:
    """Convert a nested document to values by path.

    Parameters
    ----------
    document : mapping of str to object
        Nested JSON document.

    Returns
    -------
    dict
        Values by dotted path.

    Raises
    ------
    InvalidSettingsError
        If a leaf of the document is not at the path of a setting; the error
        lists every such path.
    """
    values: dict[str, Any] = {}
    problems: list[Problem] = []
    _flatten("", document, values, problems)
    if problems:
        raise InvalidSettingsError(problems)
    return values


def _flatten(
    prefix: str, node: Mapping[str, Any], values: dict[str, Any], problems: list[Problem]
) -> None:
    for name, value in node.items():
        path = f"{prefix}{name}"
        problem = _problem_at(path)
        if isinstance(value, Mapping) and problem is not None:
            _flatten(f"{path}.", value, values, problems)
            continue
        if problem is not None:
            problems.append(problem)
        values[path] = value


def _problem_at(path: str) -> Problem | None:
    """Return why a path is not valid for a setting, or None if it is valid."""
    try:
        parse_path(path)
    except UnknownPathError as error:
        return Problem(path, str(error))
    return None
