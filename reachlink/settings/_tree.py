"""The settings at one revision: sparse values, resolved on use.

Only the values that operators set are held, by path. What a request needs is
resolved through the levels above it and remembered in a bounded cache, so
that memory grows with the values set and not with services x workspaces x
sites.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import msgspec

from reachlink.routing import PublishedTable
from reachlink.settings._edits import Change
from reachlink.settings._paths import Scope, parse_path
from reachlink.settings._policies import ServiceInfo, ServiceKind, ServicePolicy
from reachlink.settings._schema import SETTINGS, setting_named
from reachlink.settings._validation import check_changes, check_values
from reachlink.settings._zone_orders import ZONE_ORDER, ZoneOrder
from reachlink.settings.exceptions import InvalidSettingsError, UnknownPathError

CACHE_SIZE = 512
BUILT_IN = "built-in default"
ROUTING_PATH = "routing.table"

_USUAL_ADAPTERS = {ServiceKind.MODEL: "chat-engine", ServiceKind.PLAIN: "plain-service"}
_POLICY_FIELDS = [
    "repeatable",
    "priority",
    "weight",
    "limits.concurrent",
    "limits.requests_per_s",
    "limits.tokens_per_s",
    "limits.queue_length",
    "limits.queue_wait_s",
    "limits.prompt_tokens",
    "limits.body_bytes",
    "limits.retry_share",
    "targets.first_token_s",
    "targets.gap_ms",
    "placement.spill",
    "placement.link_cost_ms",
    "answers.keep_s",
    "answers.grace_s",
]


@dataclass(slots=True, frozen=True)
class Origin:
    """A value in force and the path that it comes from."""

    value: Any
    path: str


class SettingsTree:
    """Immutable settings at one revision.

    Parameters
    ----------
    values : mapping of str to object
        Values by dotted path.
    revision : int
        Number of the accepted edit that made them.
    """

    def __init__(self, values: Mapping[str, Any] | None = None, revision: int = 0) -> None:
        self._values = dict(values or {})
        self._revision = revision
        self._policies: OrderedDict[tuple[str, str, str], ServicePolicy] = OrderedDict()

    @property
    def revision(self) -> int:
        """Number of the accepted edit that made these values."""
        return self._revision

    @property
    def values(self) -> Mapping[str, Any]:
        """Values that operators set, by path."""
        return self._values

    @property
    def routing(self) -> PublishedTable | None:
        """The routing table as it was published, if there is one."""
        value = self._values.get(ROUTING_PATH)
        return msgspec.convert(value, PublishedTable) if value is not None else None

    def with_changes(self, changes: Iterable[Change], revision: int) -> "SettingsTree":
        """Return the tree with changes that were accepted before, unchecked."""
        values = dict(self._values)
        for change in changes:
            if change.unset:
                values.pop(change.path, None)
            else:
                values[change.path] = change.value
        return SettingsTree(values, revision)

    def edited(self, changes: Iterable[Change], revision: int) -> "SettingsTree":
        """Return the tree after an edit, checked as a whole.

        Raises
        ------
        InvalidSettingsError
            With every problem found.
        """
        changes = list(changes)
        problems = check_changes(changes)
        if problems:
            raise InvalidSettingsError(problems)
        tree = self.with_changes(changes, revision)
        problems = check_values(tree.values)
        if problems:
            raise InvalidSettingsError(problems)
        return tree

    def explain(self, service: str, workspace: str, site: str, name: str) -> Origin:
        """Return a value in force and where it comes from.

        Parameters
        ----------
        service, workspace, site : str
            Any of them may be empty, which skips their levels.
        name : str
            Setting, such as ``limits.concurrent``.
        """
        for level in _levels(service, workspace, site):
            path = f"{level}.{name}"
            if path in self._values:
                return Origin(self._values[path], path)
        return Origin(setting_named(name).default, BUILT_IN)

    def explain_path(self, text: str) -> Origin:
        """Return what is in force at a path, inherited or not.

        Raises
        ------
        UnknownPathError
            If the path names no setting.
        """
        path = parse_path(text)
        if text in self._values:
            return Origin(self._values[text], text)
        return self.explain(path.service, path.workspace, path.site, path.setting.name)

    def policy(self, service: str, workspace: str, site: str) -> ServicePolicy:
        """Return every inherited value in force, from a bounded cache."""
        key = (service, workspace, site)
        found = self._policies.get(key)
        if found is None:
            found = ServicePolicy(
                *(self.explain(service, workspace, site, name).value for name in _POLICY_FIELDS)
            )
            self._policies[key] = found
            if len(self._policies) > CACHE_SIZE:
                self._policies.popitem(last=False)
        return found

    def service(self, name: str) -> ServiceInfo:
        """Return what a service is.

        Raises
        ------
        UnknownPathError
            If there is no such service.
        """
        if name not in self.services:
            raise UnknownPathError(f"there is no service {name!r}")
        return self.services[name]

    @cached_property
    def services(self) -> dict[str, ServiceInfo]:
        """All services by name."""
        names = {p.split(".")[1] for p in self._values if p.startswith("services.")}
        return {name: self._read_service(name) for name in sorted(names)}

    @cached_property
    def zone_orders(self) -> dict[str, ZoneOrder]:
        """The last order about each availability zone that there was one about."""
        return {
            path.split(".")[1]: msgspec.convert(value, ZoneOrder)
            for path, value in self._values.items()
            if path.startswith("sites.") and path.endswith(f".{ZONE_ORDER}")
        }

    @property
    def zones_out_of_service(self) -> frozenset[str]:
        """Availability zones whose replicas get nothing more."""
        return frozenset(zone for zone, order in self.zone_orders.items() if order.out_of_service)

    @cached_property
    def workspace_by_key(self) -> dict[str, str]:
        """Workspace names by key hash.

        A lookup by the hash of a presented key tells nothing of the key
        itself by its duration, since the hash cannot be steered towards
        another one.
        """
        return {
            key_hash: path.split(".")[1]
            for path, value in self._values.items()
            if path.startswith("workspaces.") and path.endswith(".key_hashes")
            for key_hash in value
        }

    @cached_property
    def operators(self) -> dict[str, tuple[str, str]]:
        """Operator name and role by key hash."""
        found: dict[str, tuple[str, str]] = {}
        for path, value in self._values.items():
            if path.startswith("operators.") and path.endswith(".key_hash"):
                name = path.split(".")[1]
                role = self._values.get(f"operators.{name}.role", SETTINGS["role"].default)
                found[value] = (name, role)
        return found

    @property
    def audit_keep(self) -> int:
        """How many audit records are kept."""
        value: int = self.explain("", "", "", "audit.keep").value
        return value

    def _read_service(self, name: str) -> ServiceInfo:
        def own(setting: str) -> Any:
            path = f"{Scope.SERVICE.value.format(service=name)}.{setting}"
            return self._values.get(path, SETTINGS[setting].default)

        kind = ServiceKind(own("kind"))
        return ServiceInfo(
            name=name,
            kind=kind,
            adapter=own("adapter") or _USUAL_ADAPTERS[kind],
            upstream=own("upstream") or name,
            model=own("model") or name,
            versions=tuple(own("versions")),
            path=own("path") or f"/{name}",
            checks_fencing=own("checks_fencing"),
            min_replicas=own("replicas.min"),
        )


def _levels(service: str, workspace: str, site: str) -> list[str]:
    """Return the levels that a value is looked up in, the most specific first."""
    levels: list[str] = []
    if service and workspace and site:
        levels.append(f"services.{service}.workspaces.{workspace}.sites.{site}")
    if service and workspace:
        levels.append(f"services.{service}.workspaces.{workspace}")
    if workspace:
        levels.append(f"workspaces.{workspace}")
    if service and site:
        levels.append(f"services.{service}.sites.{site}")
    if service:
        levels.append(f"services.{service}")
    levels.append("defaults")
    return levels
