"""Tables decoded in steps equal tables decoded at once."""

from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.routing import (
    NATIVE_FORMAT,
    TABLE_FORMATS,
    Backend,
    PublishedTable,
    RequestKind,
    Route,
    RoutingIndex,
    RoutingTable,
    Service,
    TableReader,
)

SERVICES = (Service("s", "/health", 10),)
PREFIXES = ["/", "/a/", "/a/b/", "/a/b/c/", "/b/", "/longer/"]
PATHS = ["/", "/a/", "/a", "/a/b/x", "/a/b/c/d", "/b/b/", "/longer/x", "/lon"]


def route(host: str, prefix: str, timeout_s: float = 1.0) -> Route:
    backends = (Backend("s", 1.0),)
    return Route(host + prefix, host, prefix, RequestKind.ONCE, backends, timeout_s, 0.3)


def published(number: int, routes: list[Route]) -> PublishedTable:
    document = msgspec.json.encode(RoutingTable(number, tuple(routes), SERVICES)).decode()
    return PublishedTable(number, NATIVE_FORMAT, document)


def run_to_end(steps):
    """Return the result of a generator, and its number of steps."""
    count = 0
    while True:
        try:
            next(steps)
            count += 1
        except StopIteration as stop:
            return stop.value, count


ROUTES = st.lists(
    st.builds(
        route, st.sampled_from(["a", "B"]), st.sampled_from(PREFIXES), st.sampled_from([1.0, 2.0])
    ),
    max_size=12,
    unique_by=lambda r: r.name,
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(ROUTES, min_size=1, max_size=5))
def test_successive_tables_decode_like_single_tables(tables):
    reader = TableReader()
    for number, routes in enumerate(tables, 1):
        table = published(number, routes)
        index, _ = run_to_end(reader.steps(table))
        assert index.table == table.decode()


@settings(derandomize=True, max_examples=300)
@given(ROUTES, st.sampled_from(["a", "b", "c"]), st.sampled_from(PATHS))
def test_longest_matching_prefix_of_the_host_is_found(routes, host, path):
    index = RoutingIndex(RoutingTable(1, tuple(routes), SERVICES))
    matching = [r for r in routes if r.host.lower() == host and path.startswith(r.path_prefix)]
    expected = max(matching, key=lambda r: len(r.path_prefix), default=None)
    assert index.route(host, path) == expected


def test_unchanged_routes_are_not_decoded_again(monkeypatch):
    native = TABLE_FORMATS.get(NATIVE_FORMAT)
    decoded = []
    first = [route(f"h{i}", "/a/") for i in range(500)]
    reader = TableReader()
    run_to_end(reader.steps(published(1, first)))
    usual = native.route
    monkeypatch.setattr(native, "route", lambda place, w: decoded.append(w) or usual(place, w))
    changed = [*first[:7], replace(first[7], timeout_s=9.0), *first[8:]]
    index, steps = run_to_end(reader.steps(published(2, changed)))
    assert len(decoded) == 1 and steps >= 5
    assert index.route("h7", "/a/").timeout_s == 9.0
