"""What a relaying entry instance takes on, and how its routing table grows."""

import asyncio
from random import Random

import msgspec
import pytest

from reachlink.coordination._service_queue import ServiceQueue
from reachlink.entry import RelayConfig, RelayNode
from reachlink.entry._planned_stop import PlannedStop
from reachlink.entry.tests.relay import CONFIG
from reachlink.kernel import _slices, steady_time
from reachlink.membership import InstanceRecord, ListedInstance, SettingsAnswer
from reachlink.requests import Allocation, ReplicaReport
from reachlink.routing import NATIVE_FORMAT, PublishedTable, RequestKind, RoutingTable
from reachlink.scheduling import Need, SchedulingSettings
from reachlink.settings import ROUTING_PATH
from reachlink.testing._settings_world import Names, routes
from reachlink.testing._settings_world import published as published_table
from reachlink.upstreams import RELAY_ADAPTERS

ITSELF = InstanceRecord("e1", "127.0.0.1:0", "a")


@pytest.fixture
def node(config):
    made, loop = running(config)
    yield made
    made.bus.close()
    loop.close()


@pytest.fixture
def node_with_lines(config):
    settings = SchedulingSettings(line=True)
    made, loop = running(msgspec.structs.replace(config, scheduling=settings))
    yield made
    made.bus.close()
    loop.close()


def running(config: RelayConfig) -> tuple[RelayNode, asyncio.AbstractEventLoop]:
    async def make() -> RelayNode:
        return RelayNode(config)

    loop = asyncio.new_event_loop()
    return loop.run_until_complete(make()), loop


@pytest.fixture
def config():
    if "memory" not in RELAY_ADAPTERS:
        RELAY_ADAPTERS.register("memory")(lambda client: None)
    return CONFIG


def test_lines_are_kept_only_where_the_deployment_asks_for_them(node, node_with_lines):
    assert node.line is None
    assert node_with_lines.line is not None and node_with_lines.line.waiting_counts == {}


def test_operators_see_the_lines_that_an_instance_keeps(node_with_lines):
    line = node_with_lines.line
    need = Need(tokens=4000, give_up_in_s=30.0)
    line._queues["chat"] = ServiceQueue("chat")
    line._queues["chat"].requests.join("id-1", "e2", need, steady_time() - 2.0, 10.0)
    node_with_lines.metrics.count_in_line("chat", "granted")
    page = node_with_lines.metrics.page().decode()
    (length,) = [row for row in page.splitlines() if row.startswith("reachlink_line_length")]
    (oldest,) = [row for row in page.splitlines() if row.startswith("reachlink_line_oldest_s")]
    assert 'service="chat"' in length and float(length.split()[-1]) == 1.0
    assert 2.0 <= float(oldest.split()[-1]) < 3.0
    assert "reachlink_line_total{" in page and 'outcome="granted"' in page


def published(number: int, revision: int) -> SettingsAnswer:
    document = msgspec.json.encode(RoutingTable(number)).decode()
    table = msgspec.to_builtins(PublishedTable(number, NATIVE_FORMAT, document))
    return SettingsAnswer(revision, True, values={ROUTING_PATH: table})


def test_a_table_is_in_force_once_it_is_known_and_never_goes_back(node):
    node.ready = True
    assert node.index is None
    for number, revision in ((4, 1), (9, 2), (7, 1)):
        node.settings.take(published(number, revision))
        asyncio.run(node.on_settings())
    assert node.index is not None and node.index.number == 9


def test_the_first_table_is_waited_for_but_not_for_long(node):
    node.ready = True

    async def waiting(patience_s: float, then) -> bool:
        asyncio.get_running_loop().call_soon(then)
        return await node.first_index(patience_s) is not None

    reading = []

    def publish() -> None:
        node.settings.take(published(4, 1))
        reading.append(asyncio.create_task(node.on_settings()))

    async def both() -> tuple[bool, bool]:
        return await waiting(0.001, lambda: None), await waiting(60.0, publish)

    assert asyncio.run(both()) == (False, True)


def test_requests_are_decided_by_the_table_before_while_a_large_one_is_read(node, monkeypatch):
    node.ready = True
    # Each step ends a slice, however fast the machine is.
    monkeypatch.setattr(_slices, "SLICE_S", 0.0)
    names = Names()
    large = routes(3000, names)

    async def play() -> list[int]:
        node.settings.take(published(1, 1))
        await node.on_settings()
        values = {ROUTING_PATH: msgspec.to_builtins(published_table(2, large))}
        node.settings.take(SettingsAnswer(2, True, values=values))
        reading = asyncio.create_task(node.on_settings())
        seen = []
        while not reading.done():
            seen.append(node.index.number)
            await asyncio.sleep(0)
        return [*seen, node.index.number]

    seen = asyncio.run(play())
    assert seen[0] == 1 and seen[-1] == 2 and seen == sorted(seen)
    assert seen.count(1) > 30
    assert node.index.route(large[-1].host, large[-1].path_prefix) == large[-1]


def test_a_stop_without_a_known_end_takes_no_stream_and_soon_nothing(node):
    deadline = steady_time() + 1.0
    assert node.accepts(RequestKind.STREAM, deadline)
    node.begin_drain()
    assert node.draining
    assert not node.accepts(RequestKind.STREAM, deadline)
    assert node.accepts(RequestKind.ONCE, deadline)
    node.planned_stop = PlannedStop(steady_time() - node.config.last_requests_s)
    assert not node.accepts(RequestKind.ONCE, deadline)


@pytest.mark.parametrize("kind", list(RequestKind))
def test_a_stop_with_a_known_end_takes_what_is_surely_answered_before_that(node, kind):
    node.planned_stop = PlannedStop(steady_time(), 8.0)
    due_at = node.planned_stop.answers_due_at
    assert node.accepts(kind, due_at)
    assert not node.accepts(kind, due_at + 0.01)


def test_control_instances_of_this_zone_are_asked_first_and_seeds_stay_known(node):
    node.on_controls(
        [
            InstanceRecord("c2", "10.0.0.2:7200", "b"),
            InstanceRecord("c3", "10.0.0.3:7200", "a"),
        ]
    )
    assert set(node.control.addresses) == {"10.0.0.1:7200", "10.0.0.2:7200", "10.0.0.3:7200"}
    node.take_seeds(["10.0.0.9:7200"])
    assert "10.0.0.9:7200" in node.control.addresses


def test_an_instance_that_reaches_replicas_of_other_zones_is_not_cut_off(node):
    """Found on a recorded day: cut off from the control instances only, it used its zone alone.

    The roster that the others get has it no more, so that they stop telling it
    their load; the replicas of other zones still answer it.
    """
    now = steady_time()
    node.on_roster([InstanceRecord("e9", "10.0.9.1:7201", "b"), ITSELF], 2)
    node._isolation._known_since = {"e9": now - 60.0}
    node.directory.update([ListedInstance("r9", "chat", "b", "10.0.9.2:80")], now)
    node.tracker.state("r9").record_report(ReplicaReport("r9", False, 0, 0, 0.0), now)
    assert not node.cut_off()


def test_a_replica_that_starts_again_begins_without_what_it_showed_before(node):
    """Trust lost, load, and the time of its departure were those of its life before."""
    now = steady_time()
    node.directory.update([ListedInstance("r9", "chat", "a", "10.0.9.2:80")], now)
    node.reports.take([ReplicaReport("r9", True, 900, 9, 0.3, leaves_in_s=1.0, born=100)])
    flight = Allocation("id-1", 100, used_tokens=100)
    node.tracker.add("r9", flight)
    for _ in range(3):
        node.tracker.state("r9").health.on_failure(now, Random(1))
    node.reports.take([ReplicaReport("r9", False, 0, 0, 0.1, born=200)])
    state = node.tracker.state("r9")
    assert node.directory.may_get_work("r9")
    assert state.health.allowance(now) == 1.0
    assert state.reported_tokens(now) == 0
    assert node._departures.expected_at("r9") is None
    # What this instance has there is known by its connections, not by the replica's life.
    assert state.allocations == {flight}


def test_what_is_held_shows_on_the_page(node):
    node.metrics.export_held(node.held)
    node.metrics.bodies_refused.add(1)
    page = node.metrics.page().decode()
    for name in ("incoming", "request", "answer", "limit"):
        assert f"reachlink_held_{name}_bytes" in page
    assert "reachlink_bodies_refused_total" in page


def test_requests_are_not_decided_by_a_table_that_nobody_confirmed_since_the_start(node):
    """A control instance without a leader may have told of it: newer ones may be accepted."""
    node.settings.take(published(3, 1))
    loop = node.bus._loop
    loop.run_until_complete(node.on_settings())
    assert node.index is None
    assert loop.run_until_complete(node.first_index(0.01)) is None

    async def wait_for_table():
        waiting = asyncio.create_task(node.first_index(5.0))
        await asyncio.sleep(0.0)
        node.ready = True
        return await waiting

    found = loop.run_until_complete(wait_for_table())
    assert found is not None and found.number == 3
    assert node.index is found
