"""A replica that nobody reaches is no sign that its availability zone cannot be reached."""

import asyncio

import pytest

from reachlink.requests.tests.test_moving import virtual_time_world
from reachlink.requests.tests.world import answering, failing
from reachlink.routing import RequestKind
from reachlink.testing import run_virtually
from reachlink.upstreams import UpstreamUnreachableError


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch):
    monkeypatch.setattr(
        "reachlink.requests.tests.world.steady_time", lambda: asyncio.get_running_loop().time()
    )


def test_one_replica_that_nobody_reaches_does_not_take_its_zone_away():
    away = UpstreamUnreachableError("silent", replica_away=True)
    setup = virtual_time_world("b b b", "p", script=failing(away))
    for name in ("p2", "p3"):
        setup.adapter.scripts[name] = [answering(200, b"whole")]
    for _ in range(20):
        assert run_virtually(setup.run(RequestKind.ONCE)).body == b"whole"
