"""Validation of settings; all problems are reported together, up to `MAX_PROBLEMS`."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from reachlink.settings._edits import Change
from reachlink.settings._paths import Scope, SettingPath, parse_path
from reachlink.settings.exceptions import UnknownPathError

MAX_PROBLEMS = 50


@dataclass(slots=True, frozen=True)
class Problem:
    """One invalid setting.

    Attributes
    ----------
    path : str
        Dotted path of the setting.
    message : str
        Reason why it is invalid.
    """

    path: str
    message: str


def check_changes(changes: Iterable[Change]) -> list[Problem]:
    """Validate the path, type and range of each change, and that no path occurs twice."""
    problems: list[Problem] = []
    seen: set[str] = set()
    for change in changes:
        if change.path in seen:
            problems.append(Problem(change.path, "is changed twice in one edit"))
        seen.add(change.path)
        problems.extend(_check_change(change))
    return problems[:MAX_PROBLEMS]


def check_values(values: Mapping[str, Any]) -> list[Problem]:
    """Validate rules that span several values: references and uniqueness."""
    paths = {text: parse_path(text) for text in values}
    problems = _find_unknown_references(paths)
    problems.extend(_find_duplicate_keys(paths, values))
    problems.extend(_find_duplicate_routes(paths, values))
    return problems[:MAX_PROBLEMS]


def _check_change(change: Change) -> list[Problem]:
    try:
        path = parse_path(change.path)
    except UnknownPathError as error:
        return [Problem(change.path, str(error))]
    if change.unset:
        return []
    try:
        msgspec.convert(change.value, path.setting.type, strict=True)
    except msgspec.ValidationError as error:
        return [Problem(change.path, str(error))]
    return []


def _find_unknown_references(paths: Mapping[str, SettingPath]) -> list[Problem]:
    sites = {p.site for p in paths.values() if p.scope is Scope.SITE}
    workspaces = {p.workspace for p in paths.values() if p.scope is Scope.WORKSPACE}
    services = {p.service for p in paths.values() if p.scope is Scope.SERVICE}
    problems: list[Problem] = []
    for text, path in paths.items():
        if path.scope not in (Scope.SITE, Scope.DEFAULTS) and path.site not in sites | {""}:
            problems.append(Problem(text, f"there is no site {path.site!r}"))
        if path.workspace and path.workspace not in workspaces:
            problems.append(Problem(text, f"there is no workspace {path.workspace!r}"))
        if path.service and path.service not in services:
            problems.append(Problem(text, f"there is no service {path.service!r}"))
    return problems


def _find_duplicate_keys(
    paths: Mapping[str, SettingPath], values: Mapping[str, Any]
) -> list[Problem]:
    owner: dict[str, str] = {}
    problems: list[Problem] = []
    for text, path in paths.items():
        if path.setting.name != "key_hashes":
            continue
        for key_hash in values[text]:
            first = owner.setdefault(key_hash, text)
            if first != text:
                problems.append(Problem(text, f"has a key that {first} has too"))
    return problems


def _find_duplicate_routes(
    paths: Mapping[str, SettingPath], values: Mapping[str, Any]
) -> list[Problem]:
    owner: dict[tuple[str, str], str] = {}
    problems: list[Problem] = []
    for text, path in paths.items():
        if path.setting.name not in ("path", "model"):
            continue
        first = owner.setdefault((path.setting.name, values[text]), text)
        if first != text:
            problems.append(Problem(text, f"is the same as {first}"))
    return problems
