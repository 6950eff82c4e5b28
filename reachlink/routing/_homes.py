"""Regions that requests are bound to; pure."""

from reachlink.routing._table import Route, Workspace


def home_regions(route: Route | None, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions that a request may run in, or None where it may run in any.

    Where both its route and its workspace name some, both bind: the result may be empty,
    and then no replica may get the request.

    Examples
    --------
    >>> workspace = Workspace("w", (), regions=("north", "south"))
    >>> sorted(home_regions(None, workspace))
    ['north', 'south']
    """
    bound = [frozenset(named.regions) for named in (route, workspace) if named and named.regions]
    if not bound:
        return None
    return frozenset.intersection(*bound)
