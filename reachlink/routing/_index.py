"""Look-ups of routes, services and workspaces in a routing table; pure."""

from collections.abc import Generator
from random import Random

from reachlink.routing._table import Route, RoutingTable, Service, Workspace

# Routes indexed per step, which takes less than a millisecond.
ROUTES_INDEXED_PER_STEP = 500


class _HostRoutes:
    """Routes of one host by path prefix.

    A look-up takes one step per distinct prefix length instead of one per route. With 4,240 routes
    of one host, it takes 0.2 us instead of 195 us per request (``make bench-tables``, one run on a
    machine with other load).
    """

    __slots__ = ("_lengths", "_routes")

    def __init__(self) -> None:
        self._routes: dict[str, Route] = {}
        self._lengths: list[int] = []

    def add(self, route: Route) -> None:
        """Add a route; of several with the same prefix, the first one is used."""
        length = len(route.path_prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)
        self._routes.setdefault(route.path_prefix, route)

    def route(self, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        for length in self._lengths:
            route = self._routes.get(path[:length])
            if route is not None:
                return route
        return None


class RoutingIndex:
    """A routing table indexed for look-ups.

    Parameters
    ----------
    table : RoutingTable
        A checked table.

    Examples
    --------
    >>> RoutingIndex(RoutingTable(1)).route("a.example", "/x/") is None
    True
    """

    def __init__(self, table: RoutingTable) -> None:
        for _ in self._build(table):
            pass

    @classmethod
    def steps(cls, table: RoutingTable) -> Generator[None, None, "RoutingIndex"]:
        """Build the index of a large table; the caller may do other work at each yield."""
        index = cls.__new__(cls)
        yield from index._build(table)
        return index

    def _build(self, table: RoutingTable) -> Generator[None, None, None]:
        self._table = table
        self._hosts: dict[str, _HostRoutes] = {}
        for position, route in enumerate(table.routes):
            self._hosts.setdefault(route.host.lower(), _HostRoutes()).add(route)
            if position % ROUTES_INDEXED_PER_STEP == ROUTES_INDEXED_PER_STEP - 1:
                yield
        self._services = {service.name: service for service in table.services}
        self._keys = {key: w for w in table.workspaces for key in w.keys}
        yield
        self._ranks = _ranks(table)

    @property
    def table(self) -> RoutingTable:
        """The indexed table."""
        return self._table

    @property
    def number(self) -> int:
        """Number of the table."""
        return self._table.number

    @property
    def needs_keys(self) -> bool:
        """Whether requests need a key unless their route is public."""
        return bool(self._table.workspaces)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that matches the path."""
        name = host.partition(":")[0].lower()
        found = self._hosts.get(name)
        return found.route(path) if found is not None else None

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def workspace(self, key: str) -> Workspace | None:
        """Return the workspace that owns a key."""
        return self._keys.get(key)

    def urgency(self, workspace: Workspace | None, route: Route) -> int:
        """Return the urgency rank of a request among all requests of this table; 0 is most urgent.

        Requests are ranked by the priority of their workspace, and requests of equal workspace
        priority by that of their route. By the workspace's priority alone, engines would process
        prompts of all routes in order of arrival, and urgent ones too late.

        Parameters
        ----------
        workspace : Workspace or None
            Workspace of the request; None if the route needs no key.
        route : Route
            Route of the request.
        """
        return self._ranks[_urgency_key(workspace, route)]

    def choose_service(self, route: Route, random: Random) -> Service:
        """Return one of a route's services, chosen at random by weight."""
        if len(route.backends) == 1:
            return self._services[route.backends[0].service]
        weights = [backend.weight for backend in route.backends]
        backend = random.choices(route.backends, weights)[0]
        return self._services[backend.service]


def _urgency_key(workspace: Workspace | None, route: Route) -> tuple[int, int]:
    """Return the sort key of urgency: the effective priority, then the route's priority.

    The effective priority is that of the workspace if it has one, and that of the route otherwise.
    """
    effective = workspace.priority if workspace is not None else None
    return (route.priority if effective is None else effective), route.priority


def _ranks(table: RoutingTable) -> dict[tuple[int, int], int]:
    """Return the rank of each pair of priorities that requests of a table can have."""
    routes = {route.priority: route for route in table.routes}
    workspaces: dict[int | None, Workspace | None] = {w.priority: w for w in table.workspaces}
    workspaces[None] = None
    pairs = {_urgency_key(w, r) for w in workspaces.values() for r in routes.values()}
    return {pair: rank for rank, pair in enumerate(sorted(pairs))}
