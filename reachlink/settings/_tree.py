"""Settings at one revision: explicit values, with inheritance resolved on access.

The tree stores only the values that operators set, by path. The values that
apply to a request are looked up from the most specific level to the most
general one and kept in a cache of bounded size. Memory therefore grows with
the number of values set and not with services x workspaces x sites.
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

POLICY_CACHE_SIZE = 512
BUILT_IN_DEFAULT = "built-in default"
ROUTING_PATH = "routing.table"

_DEFAULT_ADAPTERS = {ServiceKind.MODEL: "chat-engine", ServiceKind.PLAIN: "plain-service"}
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
    """Effective value of a setting and its origin.

    Attributes
    ----------
    value : object
        Value that applies.
    path : str
        Path at which the value is set, or `BUILT_IN_DEFAULT`.
    """

    value: Any
    path: str


class SettingsTree:
    """Settings at one revision; immutable.

    Parameters
    ----------
    values : mapping of str to object
        Values by dotted path.
    revision : int
        Number of the accepted edit that produced the values.
    """

    def __init__(self, values: Mapping[str, Any] | None = None, revision: int = 0) -> None:
        self._values = dict(values or {})
        self._revision = revision
        self._policies: OrderedDict[tuple[str, str, str], ServicePolicy] = OrderedDict()

    @property
    def revision(self) -> int:
        """Number of the accepted edit that produced the values."""
        return self._revision

    @property
    def values(self) -> Mapping[str, Any]:
        """Values that operators set, by path."""
        return self._values

    @property
    def routing(self) -> PublishedTable | None:
        """Published routing table; None if there is none."""
        value = self._values.get(ROUTING_PATH)
        return msgspec.convert(value, PublishedTable) if value is not None else None

    def with_changes(self, changes: Iterable[Change], revision: int) -> "SettingsTree":
        """Return the tree after changes that were already accepted, without validation."""
        values = dict(self._values)
        for change in changes:
            if change.unset:
                values.pop(change.path, None)
            else:
                values[change.path] = change.value
        return SettingsTree(values, revision)

    def edited(self, changes: Iterable[Change], revision: int) -> "SettingsTree":
        """Return the tree after an edit, validated as a whole.

        Raises
        ------
        InvalidSettingsError
            If a change or a resulting value is invalid; the error lists the problems.
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
        """Return the effective value of a setting and its origin.

        Parameters
        ----------
        service, workspace, site : str
            Names to resolve for; a site is an availability zone. The levels of an
            empty name are skipped.
        name : str
            Name of the setting, such as ``limits.concurrent``.

        Returns
        -------
        Origin
            Value from the most specific level that has one, else the default.
        """
        for prefix in _lookup_prefixes(service, workspace, site):
            path = f"{prefix}.{name}"
            if path in self._values:
                return Origin(self._values[path], path)
        return Origin(setting_named(name).default, BUILT_IN_DEFAULT)

    def explain_path(self, text: str) -> Origin:
        """Return the effective value at a path and its origin, inherited or not.

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
        """Return the effective values of all inherited settings, from a cache of bounded size."""
        key = (service, workspace, site)
        found = self._policies.get(key)
        if found is None:
            found = ServicePolicy(
                *(self.explain(service, workspace, site, name).value for name in _POLICY_FIELDS)
            )
            self._policies[key] = found
            if len(self._policies) > POLICY_CACHE_SIZE:
                self._policies.popitem(last=False)
        return found

    def service(self, name: str) -> ServiceInfo:
        """Return the definition of a service.

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
        """Last order for each availability zone that has one, by zone."""
        return {
            path.split(".")[1]: msgspec.convert(value, ZoneOrder)
            for path, value in self._values.items()
            if path.startswith("sites.") and path.endswith(f".{ZONE_ORDER}")
        }

    @property
    def zones_out_of_service(self) -> frozenset[str]:
        """Availability zones out of service: nothing further is sent to their replicas."""
        return frozenset(zone for zone, order in self.zone_orders.items() if order.out_of_service)

    @cached_property
    def workspace_by_key(self) -> dict[str, str]:
        """Workspace names by key hash.

        The duration of a lookup by the hash of a presented key reveals nothing
        about the valid keys, since a caller cannot choose a key whose hash
        comes close to a given one.
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
        """Number of audit records that are kept."""
        value: int = self.explain("", "", "", "audit.keep").value
        return value

    def _read_service(self, name: str) -> ServiceInfo:
        def read_own_value(setting: str) -> Any:
            path = f"{Scope.SERVICE.value.format(service=name)}.{setting}"
            return self._values.get(path, SETTINGS[setting].default)

        kind = ServiceKind(read_own_value("kind"))
        return ServiceInfo(
            name=name,
            kind=kind,
            adapter=read_own_value("adapter") or _DEFAULT_ADAPTERS[kind],
            upstream=read_own_value("upstream") or name,
            model=read_own_value("model") or name,
            versions=tuple(read_own_value("versions")),
            path=read_own_value("path") or f"/{name}",
            checks_fencing=read_own_value("checks_fencing"),
            min_replicas=read_own_value("replicas.min"),
        )


def _lookup_prefixes(service: str, workspace: str, site: str) -> list[str]:
    """Return the path prefixes at which a value is looked up, most specific first."""
    prefixes: list[str] = []
    if service and workspace and site:
        prefixes.append(f"services.{service}.workspaces.{workspace}.sites.{site}")
    if service and workspace:
        prefixes.append(f"services.{service}.workspaces.{workspace}")
    if workspace:
        prefixes.append(f"workspaces.{workspace}")
    if service and site:
        prefixes.append(f"services.{service}.sites.{site}")
    if service:
        prefixes.append(f"services.{service}")
    prefixes.append("defaults")
    return prefixes
