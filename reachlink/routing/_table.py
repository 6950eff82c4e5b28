"""Routing tables: which requests are served, by which services and within which limits; pure."""

from dataclasses import dataclass, field
from enum import Enum

from reachlink.routing.exceptions import InvalidTableError


class RequestKind(Enum):
    """How often a request may run, and how its answer is returned."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Backend:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Requests under one path prefix of one host.

    Attributes
    ----------
    name : str
        Name for logs and metrics.
    host, path_prefix : str
        Host and path prefix of matching requests; the prefix begins and ends with a slash.
    kind : RequestKind
        How often the requests may run, and how their answers are returned.
    backends : tuple of Backend
        Services that share the requests.
    timeout_s : float
        Longest time that a request may take, in seconds.
    objective_s : float
        Target time to the answer, or to the first event of a stream, in seconds.
    priority : int
        Priority of the requests; 0 is the most urgent.
    max_attempts : int
        Maximum number of replicas that one request is sent to.
    public : bool
        Whether requests need no key.
    event_gap_s : float
        Target for the longest gap between events of a stream, in seconds; 0 for none.
    resumable : bool
        Whether another run may continue a broken stream.
    regions : tuple of str
        Regions in which the requests may run; empty for any region.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    backends: tuple[Backend, ...]
    timeout_s: float
    objective_s: float
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    event_gap_s: float = 0.0
    resumable: bool = False
    regions: tuple[str, ...] = ()

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.REPEATABLE


@dataclass(slots=True, frozen=True)
class EngineLimits:
    """Capacity and features of the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests that one engine processes concurrently.
    kv_capacity_tokens : int
        KV cache memory of one engine, in tokens.
    kv_token_bytes : int
        KV cache memory of one token, in bytes.
    link_mbps : float
        Bandwidth of an engine's link for KV cache transfers, in Mbit/s.
    moves : bool
        Whether the KV cache of a running generation can be moved to another engine.
    backups : bool
        Whether the KV cache of a running generation can be copied while it grows.
    tokens_per_event : int
        Tokens in one event of a stream.
    move_keep_s : float
        Time in seconds for which an engine keeps KV cache that was moved to it and is unused.
    """

    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
    moves: bool = False
    backups: bool = False
    tokens_per_event: int = 1
    move_keep_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Service:
    """A pool of replicas.

    Attributes
    ----------
    name : str
        Name in the platform's list.
    health_path : str
        Path that returns status 200 while a replica is healthy.
    max_connections : int
        Maximum number of connections to one replica from all callers together.
    engine : EngineLimits, optional
        Capacity of the model engines; None for a plain service.
    cold_requests_per_s : float
        Requests per second from all callers together that one replica can serve while it is
        cold; 0 if it can serve as many as when it is warm.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None = None
    cold_requests_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Workspace:
    """A customer and its API keys.

    Attributes
    ----------
    name : str
        Name for logs and replicas.
    keys : tuple of str
        API keys that its callers send.
    priority : int, optional
        Priority of its requests, which overrides that of the route.
    regions : tuple of str
        Regions in which its requests may run; empty for any region.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on requests from callers, in bytes and seconds."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class RoutingTable:
    """All routing configuration, under one number.

    Attributes
    ----------
    number : int
        Number of the table; the table with the highest number is in force.
    routes : tuple of Route
        Routes; the one with the longest matching prefix applies.
    services : tuple of Service
        Services that routes refer to.
    workspaces : tuple of Workspace
        Customers; if there are none, no request needs a key.
    limits : CallerLimits
        Limits on requests.
    """

    number: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)


def check_table(table: RoutingTable) -> None:
    """Check values and references that decoding a single field does not check.

    Raises
    ------
    InvalidTableError
        If a check fails; names the first invalid field.
    """
    services = _check_services(table)
    _check_routes(table, services)
    _check_workspaces(table)


def _check_services(table: RoutingTable) -> set[str]:
    names: set[str] = set()
    for position, service in enumerate(table.services):
        if service.name in names:
            raise InvalidTableError(f"services[{position}].name", f"{service.name!r} stands twice")
        names.add(service.name)
    return names


def _check_routes(table: RoutingTable, services: set[str]) -> None:
    names_by_match: dict[tuple[str, str], str] = {}
    for position, route in enumerate(table.routes):
        path = f"routes[{position}]"
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            raise InvalidTableError(f"{path}.path_prefix", "must begin and end with a slash")
        match = (route.host.lower(), route.path_prefix)
        if match in names_by_match:
            raise InvalidTableError(
                f"{path}.path_prefix", f"route {names_by_match[match]!r} has this host and prefix"
            )
        names_by_match[match] = route.name
        _check_route(path, route, services)


def _check_route(path: str, route: Route, services: set[str]) -> None:
    if route.timeout_s <= 0:
        raise InvalidTableError(f"{path}.timeout", "must be above 0")
    if not route.backends:
        raise InvalidTableError(f"{path}.backends", "names no service")
    for backend in route.backends:
        if backend.service not in services:
            raise InvalidTableError(f"{path}.service", f"there is no service {backend.service!r}")
        if backend.weight < 0:
            raise InvalidTableError(f"{path}.weight", "must not be below 0")
    if sum(backend.weight for backend in route.backends) <= 0:
        raise InvalidTableError(f"{path}.weight", "the weights sum to 0")


def _check_workspaces(table: RoutingTable) -> None:
    owners: dict[str, str] = {}
    for position, workspace in enumerate(table.workspaces):
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace.name)
            if owner != workspace.name:
                raise InvalidTableError(
                    f"workspaces[{position}].keys", f"shares a key with {owner!r}"
                )
