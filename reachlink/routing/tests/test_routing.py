"""Routing tables: look-ups, checks that name the invalid field, and formats."""

from dataclasses import replace
from random import Random

import msgspec
import pytest

from reachlink.routing import (
    NATIVE_FORMAT,
    Backend,
    InvalidTableError,
    PublishedTable,
    RequestKind,
    Route,
    RoutingIndex,
    RoutingTable,
    Service,
    Workspace,
    check_table,
)


def route(name: str, prefix: str, *backends: Backend, host: str = "a.example") -> Route:
    return Route(
        name,
        host,
        prefix,
        RequestKind.ONCE,
        backends or (Backend("s1", 1.0),),
        timeout_s=1.0,
        objective_s=0.3,
    )


SERVICES = (Service("s1", "/health", 10), Service("s2", "/health", 10))
TABLE = RoutingTable(3, (route("short", "/a/"), route("long", "/a/b/")), SERVICES)


def test_longest_prefix_applies():
    index = RoutingIndex(TABLE)
    found = index.route("a.example", "/a/b/c")
    assert found is not None and found.name == "long"
    found = index.route("A.Example:8080", "/a/x")
    assert found is not None and found.name == "short"


@pytest.mark.parametrize("host,path", [("b.example", "/a/x"), ("a.example", "/a"), ("", "/a/")])
def test_no_matching_route(host, path):
    assert RoutingIndex(TABLE).route(host, path) is None


def test_services_are_chosen_by_weight():
    split = route("split", "/s/", Backend("s1", 90.0), Backend("s2", 10.0))
    index = RoutingIndex(RoutingTable(1, (split,), SERVICES))
    random = Random(1)
    drawn = [index.choose_service(split, random).name for _ in range(1000)]
    assert 60 < drawn.count("s2") < 140


def test_workspaces_are_found_by_key():
    index = RoutingIndex(replace(TABLE, workspaces=(Workspace("w", ("k1", "k2")),)))
    assert index.needs_keys
    assert index.workspace("k2").name == "w"
    assert index.workspace("k3") is None


@pytest.mark.parametrize(
    "table,field",
    [
        (replace(TABLE, routes=(route("a", "/a"),)), "routes[0].path_prefix"),
        (replace(TABLE, routes=(route("a", "/a/"), route("b", "/a/"))), "routes[1].path_prefix"),
        (replace(TABLE, routes=(route("a", "/a/", Backend("no", 1.0)),)), "routes[0].service"),
        (replace(TABLE, routes=(route("a", "/a/", Backend("s1", 0.0)),)), "routes[0].weight"),
        (replace(TABLE, routes=(replace(route("a", "/a/"), timeout_s=0.0),)), "routes[0].timeout"),
        (replace(TABLE, services=(SERVICES[0], SERVICES[0])), "services[1].name"),
        (
            replace(TABLE, workspaces=(Workspace("v", ("k",)), Workspace("w", ("k",)))),
            "workspaces[1].keys",
        ),
    ],
)
def test_invalid_table_names_its_field(table, field):
    with pytest.raises(InvalidTableError) as caught:
        check_table(table)
    assert caught.value.field == field


def test_native_format_round_trip():
    document = msgspec.json.encode(TABLE).decode()
    assert PublishedTable(3, NATIVE_FORMAT, document).decode() == TABLE


def test_truncated_document_is_rejected():
    document = msgspec.json.encode(TABLE).decode()[:-20]
    with pytest.raises(InvalidTableError):
        PublishedTable(3, NATIVE_FORMAT, document).decode()


def prioritised(*pairs: tuple[int | None, int]) -> tuple[RoutingIndex, list[int]]:
    """Return an index with some workspace and route priorities, and the urgency of each pair."""
    routes = {p: replace(route(f"r{p}", f"/{p}/"), priority=p) for _, p in pairs}
    workspaces = {w: Workspace(f"w{w}", (f"k{w}",), w) for w, _ in pairs}
    index = RoutingIndex(
        replace(TABLE, routes=tuple(routes.values()), workspaces=tuple(workspaces.values()))
    )
    return index, [index.urgency(workspaces[w], routes[r]) for w, r in pairs]


def test_urgency_follows_the_workspace_and_then_the_route():
    _, found = prioritised((0, 0), (0, 1), (1, 0), (1, 1))
    assert found == sorted(found) and len(set(found)) == 4 and found[0] == 0


def test_urgency_follows_the_route_without_a_workspace_priority():
    index, (first, second, _) = prioritised((None, 0), (None, 1), (0, 1))
    assert first < second
    assert index.urgency(None, index.table.routes[0]) == first
