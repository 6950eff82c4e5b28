"""A line through measured points."""

import msgspec


class Slope(msgspec.Struct, kw_only=True):
    """One line through measured points: ``y = intercept + slope * x``."""

    name: str
    x: str
    y: str
    points: list[tuple[float, float]]
    intercept: float
    slope: float


def fit(name: str, x: str, y: str, points: list[tuple[float, float]]) -> Slope:
    """Return the least-squares line through points."""
    count = len(points)
    mean_x = sum(p[0] for p in points) / count
    mean_y = sum(p[1] for p in points) / count
    spread = sum((p[0] - mean_x) ** 2 for p in points)
    slope = sum((p[0] - mean_x) * (p[1] - mean_y) for p in points) / spread
    found = Slope(
        name=name,
        x=x,
        y=y,
        points=points,
        intercept=mean_y - slope * mean_x,
        slope=slope,
    )
    print(f"{name}: {y} = {found.intercept:.6g} + {slope:.6g} * {x}   {points}", flush=True)
    return found
