"""Free room is granted to the first request that can use it, and not kept from others."""

import asyncio
from itertools import permutations
from unittest.mock import patch

import msgspec

from reachlink.coordination._recent_grants import GRANT_COUNTED_S, RecentGrants
from reachlink.coordination.tests.test_queue import make_queued_query
from reachlink.coordination.tests.test_queue_failures import Simulation, run_scenario
from reachlink.coordination.tests.test_queue_refusals import GRANT_RATE_KNOWN_S, fill_except
from reachlink.membership import ListedInstance
from reachlink.requests import PeerLoad, PlacementQuery, PlacementReply, ReplicaUsage
from reachlink.scheduling import Refuse, Wait
from reachlink.testing import run_virtually

REPLICAS_IN_TWO_ZONES = [
    ListedInstance("r1", "chat", "a", "r1:1"),
    ListedInstance("r2", "chat", "b", "r2:1"),
]


def with_fields(query: PlacementQuery, **fields: object) -> PlacementQuery:
    return msgspec.structs.replace(query, **fields)


def ask_all(
    sim: Simulation, queries: list[PlacementQuery]
) -> list[asyncio.Future[PlacementReply | None]]:
    member = sim.others[0].member
    return [asyncio.ensure_future(member.ask(query)) for query in queries]


def test_room_is_not_reserved_for_request_that_may_not_go_there():
    async def scenario(sim: Simulation) -> None:
        for instance in sim.instances:
            instance.directory.update(REPLICAS_IN_TWO_ZONES, sim.network.now)
        sim.make_room()
        sim.filler.start_request("r2", 30_000)
        sim.exchange_loads()
        large_query = make_queued_query("away", tokens=25_000, hold_s=1.0)
        waiting = ask_all(sim, [with_fields(large_query, zones=("b",))])
        await asyncio.sleep(0.05)
        first = await sim.others[1].member.ask(make_queued_query("first", tokens=4_000))
        assert first is not None and first.replica is not None
        # By now the first request was overtaken for so long that it reserves room.
        await asyncio.sleep(0.5)
        second = await sim.others[1].member.ask(
            make_queued_query("second", tokens=4_000, hold_s=0.3)
        )
        assert second is not None and second.replica is not None
        waiting[0].cancel()

    run_scenario(scenario)


def test_room_is_reserved_where_overtaken_request_may_go():
    async def scenario(sim: Simulation) -> None:
        fill_except(sim, 9_000)
        large_query = make_queued_query("large", tokens=25_000, hold_s=1.0)
        waiting = ask_all(sim, [with_fields(large_query, excluded=("r1",))])
        await asyncio.sleep(0.05)
        first = make_queued_query("first", tokens=4_000)
        overtaking = await sim.others[1].member.ask(with_fields(first, excluded=("r1",)))
        assert overtaking is not None and overtaking.replica is not None
        await asyncio.sleep(0.5)
        second = make_queued_query("second", tokens=4_000, hold_s=0.3)
        blocked = await sim.others[1].member.ask(with_fields(second, excluded=("r1",)))
        assert blocked is not None and isinstance(blocked.wait_or_refuse, Wait)
        waiting[0].cancel()

    run_scenario(scenario)


def test_overtaken_request_in_one_zone_is_not_hidden_by_request_for_other_zone():
    async def scenario(sim: Simulation) -> None:
        for instance in sim.instances:
            instance.directory.update(REPLICAS_IN_TWO_ZONES, sim.network.now)
        fill_except(sim, 9_000)
        large_query = make_queued_query("away", tokens=26_000, hold_s=1.0)
        large = make_queued_query("large", tokens=25_000, hold_s=1.0)
        waiting = ask_all(
            sim, [with_fields(large_query, zones=("b",)), with_fields(large, zones=("a",))]
        )
        await asyncio.sleep(0.05)
        first = make_queued_query("first", tokens=4_000)
        overtaking = await sim.others[1].member.ask(with_fields(first, zones=("a",)))
        assert overtaking is not None and overtaking.replica is not None
        await asyncio.sleep(0.5)
        second = make_queued_query("second", tokens=4_000, hold_s=0.3)
        blocked = await sim.others[1].member.ask(with_fields(second, zones=("a",)))
        assert blocked is not None and isinstance(blocked.wait_or_refuse, Wait)
        for task in waiting:
            task.cancel()

    run_scenario(scenario)


def test_same_excluded_replicas_in_other_order_are_not_compared_again():
    async def scenario(sim: Simulation) -> None:
        fill_except(sim, 5_000)
        sim.filler.start_request("r2", 5_000)
        sim.exchange_loads()
        orders = list(permutations(("r1", "x1", "x2", "x3")))[:12]
        queries = [make_queued_query(f"id-{number}", hold_s=1.0) for number in range(len(orders))]
        ask_all(
            sim,
            [with_fields(q, excluded=order) for q, order in zip(queries, orders, strict=True)],
        )
        await asyncio.sleep(0.05)
        answer = await sim.others[1].member.ask(
            make_queued_query("other", tokens=4_000, hold_s=0.06)
        )
        assert answer is not None and answer.replica is not None
        assert answer.replica.name == "r1"

    run_scenario(scenario)


def test_fitting_request_gets_place_behind_any_number_that_do_not_fit():
    async def scenario(sim: Simulation) -> None:
        fill_except(sim, 5_000)
        # Each request needs less than the one before, and more than there is.
        ask_all(
            sim,
            [make_queued_query(f"id-{n}", tokens=29_000 - 500 * n, hold_s=1.0) for n in range(30)],
        )
        await asyncio.sleep(0.05)
        answer = await sim.others[1].member.ask(
            make_queued_query("small", tokens=4_000, hold_s=0.5)
        )
        assert answer is not None and answer.replica is not None

    run_scenario(scenario)


def test_replicas_are_compared_once_a_scan_if_no_request_fits():
    async def scenario(sim: Simulation) -> None:
        tasks = ask_all(
            sim,
            [make_queued_query(f"id-{n}", tokens=29_000 - 500 * n, hold_s=1.0) for n in range(30)],
        )
        await asyncio.sleep(0.05)
        queue_owner, options = sim.owner.queue_owner, sim.owner.placer._options
        assert queue_owner is not None
        with patch.object(options, "for_service", wraps=options.for_service) as compared:
            queue_owner._scan(queue_owner._queues["chat"])
            assert compared.call_count == 1
        for task in tasks:
            task.cancel()

    run_scenario(scenario)


def test_replicas_are_not_compared_for_each_refused_request():
    async def scenario(sim: Simulation) -> None:
        sim.ask(sim.others[0], "id-1")
        await asyncio.sleep(GRANT_RATE_KNOWN_S)
        queue_owner, placer = sim.owner.queue_owner, sim.owner.placer
        assert queue_owner is not None
        queue_owner._scan(queue_owner._queues["chat"])
        queries = [make_queued_query(f"late-{n}", give_up_in_s=2.0, hold_s=0.0) for n in range(20)]
        with patch.object(placer, "has_room", wraps=placer.has_room) as compared:
            answers = await asyncio.gather(*ask_all(sim, queries))
        assert all(a is not None and isinstance(a.wait_or_refuse, Refuse) for a in answers)
        assert compared.call_count <= 1

    run_scenario(scenario)


def test_each_grant_counts_for_its_own_time_only():
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        peer_load = PeerLoad()
        grants = RecentGrants(peer_load, loop.time)
        counts = []
        for _ in range(2):
            grants.add("m1", ReplicaUsage("r1", running=1, tokens=1_000))
            counts.append(peer_load.usage_at("r1", loop.time()).tokens)
            await asyncio.sleep(0.8 * GRANT_COUNTED_S)
        for _ in range(2):
            counts.append(peer_load.usage_at("r1", loop.time()).tokens)
            await asyncio.sleep(0.25 * GRANT_COUNTED_S)
        assert counts == [1_000, 2_000, 1_000, 0]

    run_virtually(scenario())
