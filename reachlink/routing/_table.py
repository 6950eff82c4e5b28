"""Routing tables: which requests exist, where they go and within which limits; pure."""

from dataclasses import dataclass, field
from enum import Enum

from reachlink.routing.exceptions import InvalidTableError


class RequestKind(Enum):
    """How often a request may run, and how its answer comes."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Backend:
    """A service that gets a share of a route's requests."""

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
        What it matches; the prefix begins and ends with a slash.
    kind : RequestKind
        How often its requests may run.
    backends : tuple of Backend
        Services that share its requests.
    timeout_s : float
        Longest time that a request may be held, in seconds.
    objective_s : float
        Time to the answer, or to the first event of a stream, in seconds.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Most replicas that one request may be sent to.
    public : bool
        Whether requests need no key.
    event_gap_s : float
        Longest pause between events that is in time, in seconds; 0 for none.
    resumable : bool
        Whether a new run may continue a broken stream.
    regions : tuple of str
        Regions that its requests may run in; empty for any.
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
    """What the model engines of a service can hold and do.

    Attributes
    ----------
    slots : int
        Requests that one engine works on at once.
    kv_capacity_tokens : int
        Memory of one engine, in tokens.
    kv_token_bytes : int
        Memory of one token, in bytes.
    link_mbps : float
        Bandwidth of an engine's link for moving memory, in Mbit/s.
    moves, backups : bool
        Whether a running generation's memory can be moved, or copied as it grows.
    tokens_per_event : int
        Tokens that one event of a stream holds.
    move_keep_s : float
        How long an engine keeps memory that was moved and not used, in seconds.
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
        Path that answers 200 while a replica is healthy.
    max_connections : int
        Connections that one replica takes from all callers together.
    engine : EngineLimits, optional
        None for a plain service.
    cold_requests_per_s : float
        Requests a second that one replica bears while it is cold, those of all callers
        together; 0 where it bears as many as when it is warm.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None = None
    cold_requests_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Workspace:
    """A customer with its keys.

    Attributes
    ----------
    name : str
        Name for logs and replicas.
    keys : tuple of str
        Keys that its callers send.
    priority : int, optional
        Goes before a route's.
    regions : tuple of str
        Regions that its requests may run in; empty for any.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    regions: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on what callers send, in bytes and seconds."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class RoutingTable:
    """Everything that decides what becomes of a request, under one number.

    Attributes
    ----------
    number : int
        The highest number is in force.
    routes, services, workspaces : tuple
        Without workspaces, no request needs a key.
    limits : CallerLimits
        Bounds on requests.
    """

    number: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)


def check_table(table: RoutingTable) -> None:
    """Check what no single field shows.

    Raises
    ------
    InvalidTableError
        With the first field that is wrong.
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
    places: dict[tuple[str, str], str] = {}
    for position, route in enumerate(table.routes):
        where = f"routes[{position}]"
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            raise InvalidTableError(f"{where}.path_prefix", "must begin and end with a slash")
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            raise InvalidTableError(
                f"{where}.path_prefix", f"route {places[place]!r} has this host and prefix"
            )
        places[place] = route.name
        _check_route(where, route, services)


def _check_route(where: str, route: Route, services: set[str]) -> None:
    if route.timeout_s <= 0:
        raise InvalidTableError(f"{where}.timeout", "must be above 0")
    if not route.backends:
        raise InvalidTableError(f"{where}.backends", "names no service")
    for backend in route.backends:
        if backend.service not in services:
            raise InvalidTableError(f"{where}.service", f"there is no service {backend.service!r}")
        if backend.weight < 0:
            raise InvalidTableError(f"{where}.weight", "must not be below 0")
    if sum(backend.weight for backend in route.backends) <= 0:
        raise InvalidTableError(f"{where}.weight", "the weights sum to 0")


def _check_workspaces(table: RoutingTable) -> None:
    holders: dict[str, str] = {}
    for position, workspace in enumerate(table.workspaces):
        for key in workspace.keys:
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                raise InvalidTableError(
                    f"workspaces[{position}].keys", f"shares a key with {holder!r}"
                )
