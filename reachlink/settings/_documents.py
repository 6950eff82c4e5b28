"""The tree as a nested JSON document, and back."""

from collections.abc import Mapping
from typing import Any

from reachlink.settings._paths import parse_path
from reachlink.settings._validation import Problem
from reachlink.settings.exceptions import InvalidSettingsError, UnknownPathError


def to_document(values: Mapping[str, Any]) -> dict[str, Any]:
    """Nest flat values.

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
    """Flatten a nested document.

    Raises
    ------
    InvalidSettingsError
        If a branch ends in no setting; every such path is listed.
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
    """Return why no setting can stand at a path, or None where one can."""
    try:
        parse_path(path)
    except UnknownPathError as error:
        return Problem(path, str(error))
    return None
