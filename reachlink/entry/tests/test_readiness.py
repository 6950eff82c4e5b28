"""An entry instance is ready once it knows where requests can go."""

import asyncio

import pytest

from reachlink.entry import EntryConfig, EntryDaemon, PlatformSource
from reachlink.membership import ListedInstance, PlatformUnavailableError


class LateList:
    """A platform list that cannot be read at first."""

    def __init__(self) -> None:
        self.up = False

    async def instances(self) -> list[ListedInstance]:
        if not self.up:
            raise PlatformUnavailableError("connection refused")
        return [ListedInstance("r1", "explain", "a", "127.0.0.1:1")]


@pytest.fixture
def daemon():
    config = EntryConfig(
        name="e1",
        availability_zone="a",
        port=0,
        bus_address="127.0.0.1:0",
        cluster_secret="",
        controls=["127.0.0.1:1"],
        peers=[],
        platform=PlatformSource(url="http://127.0.0.1:1/"),
    )

    async def make() -> EntryDaemon:
        return EntryDaemon(config)

    loop = asyncio.new_event_loop()
    made = loop.run_until_complete(make())
    yield made
    made._node.bus.close()
    loop.close()


def test_an_instance_that_has_not_read_the_list_is_not_ready(daemon):
    """Found beside load: ready, it refused the first request for want of a replica."""
    daemon._platform = LateList()
    daemon._node.ready = True

    async def status() -> int:
        await daemon._read_platform()
        return (await daemon._readiness(None)).status

    assert asyncio.run(status()) == 503
    daemon._platform.up = True
    assert asyncio.run(status()) == 200
