"""Regions in which a request is allowed to run; pure."""

from reachlink.routing._table import Route, Workspace


def allowed_regions(route: Route | None, workspace: Workspace | None) -> frozenset[str] | None:
    """Return the regions in which a request may run, or None if it may run in any region.

    If both its route and its workspace restrict the regions, both restrictions apply. The result
    may be empty; then no replica may get the request.

    Examples
    --------
    >>> workspace = Workspace("w", (), regions=("north", "south"))
    >>> sorted(allowed_regions(None, workspace))
    ['north', 'south']
    """
    bound = [frozenset(named.regions) for named in (route, workspace) if named and named.regions]
    if not bound:
        return None
    return frozenset.intersection(*bound)
