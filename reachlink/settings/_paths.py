"""Paths of settings, such as ``services.explain.workspaces.w1.limits.concurrent``."""

import difflib
import re
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from reachlink.settings._schema import SETTINGS, Setting
from reachlink.settings.exceptions import UnknownPathError

PATH_CACHE_SIZE = 32_768

_NAME = re.compile(r"[^\W_][\w-]{0,62}")


class Scope(Enum):
    """Level of the tree at which a value is set.

    Each value is the pattern with which the paths of that level start. A site is
    an availability zone.
    """

    DEFAULTS = "defaults"
    SITE = "sites.{site}"
    SERVICE = "services.{service}"
    SERVICE_SITE = "services.{service}.sites.{site}"
    SERVICE_WORKSPACE = "services.{service}.workspaces.{workspace}"
    SERVICE_WORKSPACE_SITE = "services.{service}.workspaces.{workspace}.sites.{site}"
    WORKSPACE = "workspaces.{workspace}"
    OPERATOR = "operators.{operator}"
    ROUTING = "routing"


@dataclass(slots=True, frozen=True)
class SettingPath:
    """Parsed path of a setting.

    Attributes
    ----------
    scope : Scope
        Level of the tree.
    setting : Setting
        Definition of the setting.
    service, workspace, site, operator : str
        Names in the path; empty if the scope does not include them.
    """

    scope: Scope
    setting: Setting
    service: str = ""
    workspace: str = ""
    site: str = ""
    operator: str = ""

    def __str__(self) -> str:
        names = {
            "service": self.service,
            "workspace": self.workspace,
            "site": self.site,
            "operator": self.operator,
        }
        return f"{self.scope.value.format(**names)}.{self.setting.name}"


# Longest scopes first, since a shorter scope also matches the start of their paths.
_SCOPE_PARTS = sorted(
    ((scope, scope.value.split(".")) for scope in Scope), key=lambda item: -len(item[1])
)


@lru_cache(maxsize=PATH_CACHE_SIZE)
def parse_path(text: str) -> SettingPath:
    """Parse a dotted path.

    Results are cached, since every edit parses the paths of all values.

    Parameters
    ----------
    text : str
        Dotted path of a single setting.

    Returns
    -------
    SettingPath
        Scope, names in the path, and definition of the setting.

    Raises
    ------
    UnknownPathError
        If the text is not a valid path of a known setting.
    """
    parts = text.split(".")
    for scope, pattern in _SCOPE_PARTS:
        names = _match_scope(pattern, parts)
        if names is not None:
            return _make_setting_path(text, scope, names, ".".join(parts[len(pattern) :]))
    raise UnknownPathError(f"{text!r} is not a path to a setting{_suggest_first_part(parts[0])}")


def _match_scope(pattern: list[str], parts: list[str]) -> dict[str, str] | None:
    if len(parts) <= len(pattern):
        return None
    names: dict[str, str] = {}
    for expected, part in zip(pattern, parts, strict=False):
        if expected.startswith("{"):
            names[expected[1:-1]] = part
        elif expected != part:
            return None
    return names


def _make_setting_path(text: str, scope: Scope, names: dict[str, str], leaf: str) -> SettingPath:
    for kind, name in names.items():
        if not _NAME.fullmatch(name):
            raise UnknownPathError(f"{text!r}: {name!r} is not a valid name of a {kind}")
    setting = SETTINGS.get(leaf)
    if setting is None:
        matches = difflib.get_close_matches(leaf, _settings_allowed_in(scope), n=1)
        hint = f"; did you mean {matches[0]!r}?" if matches else ""
        raise UnknownPathError(f"{text!r}: there is no setting {leaf!r}{hint}")
    if scope.name not in setting.scopes:
        places = ", ".join(sorted(setting.scopes)).lower()
        raise UnknownPathError(f"{text!r}: {leaf!r} cannot stand here, only in: {places}")
    return SettingPath(scope, setting, **names)


def _settings_allowed_in(scope: Scope) -> list[str]:
    return [name for name, setting in SETTINGS.items() if scope.name in setting.scopes]


def _suggest_first_part(first: str) -> str:
    matches = difflib.get_close_matches(first, {parts[0] for _, parts in _SCOPE_PARTS}, n=1)
    return f"; did you mean {matches[0]!r}?" if matches and matches[0] != first else ""
