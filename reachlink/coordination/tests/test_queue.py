"""Requests of all instances that find no room wait in one queue."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest

from reachlink.coordination.tests.world import SERVICE, Instance, Network, make_fleet, make_query
from reachlink.requests import LoadUpdate, PlacementQuery, PlacementReply
from reachlink.scheduling import MAX_QUEUED, Need, RefusalReason, Refuse, Wait
from reachlink.testing import run_virtually

HOLD_S = 0.4


def make_queued_query(
    request_id: str,
    tokens: int = 9_000,
    hold_s: float = HOLD_S,
    priority: int = 5,
    first_event_due_in_s: float = 4.0,
    give_up_in_s: float = 30.0,
    waited_s: float = 0.0,
) -> PlacementQuery:
    need = Need(
        tokens=tokens,
        prompt_tokens=3_000,
        first_event_due_in_s=first_event_due_in_s,
        give_up_in_s=give_up_in_s,
        priority=priority,
        waited_s=waited_s,
    )
    return msgspec.structs.replace(
        make_query(tokens), request_id=request_id, need=need, hold_s=hold_s
    )


def full_fleet(
    coordinators: int = 2, members: int = 2
) -> tuple[Network, list[Instance], list[Instance]]:
    """Return a fleet whose replicas are filled by requests of the first coordinator."""
    network, chosen, others = make_fleet(coordinators, members, queues=True)
    for replica in ("r1", "r2"):
        chosen[0].start_request(replica, 30_000)
    exchange_loads(chosen, network.now)
    return network, chosen, others


def exchange_loads(chosen: list[Instance], now: float) -> None:
    """Send the load of each coordinator to all others."""
    for sender in chosen:
        for receiver in chosen:
            if receiver is not sender:
                receiver.peer_load.update(make_load_update(sender, now), now)


def make_load_update(sender: Instance, now: float) -> LoadUpdate:
    return LoadUpdate(sender.record.name, sender.tracker.usages(now))


def end_requests(instance: Instance, replica: str) -> None:
    """End the requests of an instance at a replica."""
    for flight in list(instance.tracker.state(replica).allocations):
        instance.tracker.remove(replica, flight)


def owner_of(instance: Instance, chosen: list[Instance], now: float) -> Instance:
    name = instance.selector.owners("chat", now)[0].name
    return next(c for c in chosen if c.record.name == name)


def other_than(owner: Instance, chosen: list[Instance]) -> Instance:
    return next(c for c in chosen if c is not owner)


def run_scenario(scenario: Coroutine[Any, Any, Any]) -> Any:
    return run_virtually(scenario)


def test_request_with_room_and_empty_queue_starts_at_once():
    async def scenario():
        _, _, (m1, _) = make_fleet(queues=True)
        return await m1.member.ask(make_queued_query("id-1"))

    assert run_scenario(scenario()).replica is not None


def test_waiting_request_gets_new_room_with_one_message():
    async def scenario():
        network, chosen, (m1, _) = full_fleet()
        waiting = asyncio.ensure_future(m1.member.ask(make_queued_query("id-1", hold_s=5.0)))
        await asyncio.sleep(0.02)
        assert not waiting.done()
        end_requests(chosen[0], "r1")
        exchange_loads(chosen, network.now)
        return await waiting, [address for address, _ in network.calls]

    answer, calls = run_scenario(scenario())
    assert answer.replica.name == "r1"
    assert len(calls) == 1


def test_reply_to_waiting_request_has_number_ahead():
    async def scenario():
        network, chosen, (m1, m2) = full_fleet()
        first = asyncio.ensure_future(m1.member.ask(make_queued_query("id-1")))
        await asyncio.sleep(0.02)
        second = await m2.member.ask(make_queued_query("id-2", hold_s=0.0))
        return await first, second

    first, second = run_scenario(scenario())
    assert isinstance(first.wait_or_refuse, Wait) and first.wait_or_refuse.ahead == 0
    assert isinstance(second.wait_or_refuse, Wait) and second.wait_or_refuse.ahead == 1


def test_requests_of_all_instances_in_zone_wait_in_one_order():
    async def scenario():
        network, chosen, (m1, m2) = full_fleet()
        late = asyncio.ensure_future(
            m1.member.ask(make_queued_query("late", first_event_due_in_s=-1.0, hold_s=2.0))
        )
        await asyncio.sleep(0.01)
        normal = asyncio.ensure_future(m2.member.ask(make_queued_query("normal", hold_s=2.0)))
        await asyncio.sleep(0.01)
        urgent = asyncio.ensure_future(
            chosen[1].member.ask(make_queued_query("urgent", priority=1, hold_s=2.0))
        )
        await asyncio.sleep(0.02)
        order = []
        for waiting in (late, normal, urgent):
            name = {late: "late", normal: "normal", urgent: "urgent"}[waiting]
            waiting.add_done_callback(lambda _, name=name: order.append(name))
        for replica in ("r1", "r2"):
            end_requests(chosen[0], replica)
        exchange_loads(chosen, network.now)
        await asyncio.gather(late, normal, urgent)
        return order

    assert run_scenario(scenario()) == ["urgent", "normal", "late"]


@pytest.mark.parametrize("instances", [8, 65, 195])
def test_oldest_requests_get_new_room_for_any_number_of_instances(instances):
    async def scenario():
        network, chosen, others = full_fleet(members=instances - 2)
        waiting = []
        for number, member in enumerate(reversed(others)):
            # Each request has waited longer than the one before.
            query = make_queued_query(
                f"id-{number}", tokens=10_000, waited_s=number * 0.01, hold_s=1.0
            )
            waiting.append(asyncio.ensure_future(member.member.ask(query)))
        await asyncio.sleep(0.1)
        for replica in ("r1", "r2"):
            end_requests(chosen[0], replica)
        exchange_loads(chosen, network.now)
        answers = await asyncio.gather(*waiting)
        return [number for number, answer in enumerate(answers) if answer.replica is not None]

    # Three requests fit into each of the two replicas.
    assert run_scenario(scenario()) == list(range(instances - 2))[-6:]


def test_grants_count_at_once():
    async def scenario():
        network, chosen, (m1, m2) = full_fleet()
        queries = [make_queued_query(f"id-{n}", tokens=20_000, hold_s=0.3) for n in range(3)]
        tasks = [
            asyncio.ensure_future(instance.member.ask(query))
            for instance, query in zip((m1, m2, m1), queries, strict=True)
        ]
        await asyncio.sleep(0.05)
        for replica in ("r1", "r2"):
            end_requests(chosen[0], replica)
        exchange_loads(chosen, network.now)
        return [answer.replica.name if answer.replica else "" for answer in await gather(tasks)]

    found = run_scenario(scenario())
    assert sorted(found) == ["", "r1", "r2"] and found[2] == ""


async def gather(tasks: list[asyncio.Future[PlacementReply | None]]) -> list[PlacementReply]:
    found = await asyncio.gather(*tasks)
    assert None not in found
    return [answer for answer in found if answer is not None]


def test_grant_to_instance_that_reports_elsewhere_counts_briefly():
    """The other coordinator soon reports the request, which would then count twice."""

    async def scenario():
        network, chosen, (m1, _) = make_fleet(queues=True)
        owner = owner_of(m1, chosen, network.now)
        answer = await m1.member.ask(make_queued_query("id-1"))
        at_once = owner.peer_load.usage_at(answer.replica.name, network.now).tokens
        network.now += 0.3
        await asyncio.sleep(0.3)
        return at_once, owner.peer_load.usage_at(answer.replica.name, network.now).tokens

    assert run_scenario(scenario()) == (9_000, 0)


def test_grant_to_instance_that_reports_here_counts_until_its_next_update():
    async def scenario():
        network, chosen, (m1, _) = make_fleet(queues=True)
        owner = owner_of(m1, chosen, network.now)
        owner.peer_load.update(make_load_update(m1, network.now), network.now)
        answer = await m1.member.ask(make_queued_query("id-1"))
        network.now += 0.5
        await asyncio.sleep(0.5)
        before = owner.peer_load.usage_at(answer.replica.name, network.now).tokens
        m1.start_request(answer.replica.name, 9_000)
        owner.peer_load.update(make_load_update(m1, network.now), network.now)
        return before, owner.peer_load.usage_at(answer.replica.name, network.now).tokens

    assert run_scenario(scenario()) == (9_000, 9_000)


def test_grant_of_owner_to_itself_counts_once():
    async def scenario():
        network, chosen, _ = make_fleet(queues=True)
        owner = owner_of(chosen[0], chosen, network.now)
        answer = await owner.member.ask(make_queued_query("id-1"))
        owner.start_request(answer.replica.name, 9_000)
        (option,) = [
            o
            for o in owner.placer.options.for_service(SERVICE, set())
            if o.name == answer.replica.name
        ]
        return option.tokens

    assert run_scenario(scenario()) == 9_000


def test_full_queue_refuses_last_request_at_once():
    async def scenario():
        _, chosen, (m1, _) = full_fleet()
        late = asyncio.ensure_future(
            m1.member.ask(
                make_queued_query("late", first_event_due_in_s=-1.0, give_up_in_s=90.0, hold_s=1.0)
            )
        )
        await asyncio.sleep(0.01)
        rest = [
            asyncio.ensure_future(m1.member.ask(make_queued_query(f"id-{n}", hold_s=1.0)))
            for n in range(MAX_QUEUED)
        ]
        await asyncio.sleep(0.05)
        assert late.done() and not any(task.done() for task in rest)
        for task in rest:
            task.cancel()
        return late.result()

    answer = run_scenario(scenario())
    assert isinstance(answer.wait_or_refuse, Refuse)
    assert answer.wait_or_refuse.reason is RefusalReason.LINE_FULL


def test_smaller_requests_overtake_larger_one_only_for_limited_time():
    async def scenario():
        network, chosen, (m1, m2) = make_fleet(queues=True)
        filler = other_than(owner_of(m1, chosen, network.now), chosen)
        for replica in ("r1", "r2"):
            filler.start_request(replica, 22_000)
        exchange_loads(chosen, network.now)
        large = asyncio.ensure_future(
            m1.member.ask(make_queued_query("large", tokens=25_000, hold_s=1.0))
        )
        await asyncio.sleep(0.03)
        small = asyncio.ensure_future(
            m2.member.ask(make_queued_query("small", tokens=4_000, hold_s=1.0))
        )
        overtaking = await small
        network.now += 0.5
        late = asyncio.ensure_future(
            m2.member.ask(make_queued_query("small-2", tokens=3_000, hold_s=0.3))
        )
        blocked = await late
        large.cancel()
        return overtaking, blocked

    overtaking, blocked = run_scenario(scenario())
    assert overtaking.replica is not None
    assert isinstance(blocked.wait_or_refuse, Wait)


def test_query_past_its_hold_time_gets_no_grant():
    async def scenario():
        network, chosen, (m1, _) = full_fleet()
        owner = owner_of(m1, chosen, network.now)
        waiting = asyncio.ensure_future(m1.member.ask(make_queued_query("id-1", hold_s=0.5)))
        await asyncio.sleep(0.05)
        # The owner's process is paused past the hold time of the query.
        network.now += 0.6
        for replica in ("r1", "r2"):
            end_requests(chosen[0], replica)
        exchange_loads(chosen, network.now)
        await asyncio.sleep(0.1)
        granted = owner.queue_outcomes.count("granted")
        waiting.cancel()
        return granted

    assert run_scenario(scenario()) == 0


def test_request_that_joins_as_scan_ends_is_scanned_for():
    async def scenario():
        network, chosen, (m1, _) = full_fleet()
        owner = owner_of(m1, chosen, network.now)
        # The scan task has ended, but its callback has not run yet.
        ended = asyncio.ensure_future(asyncio.sleep(0.0))
        await ended
        owner.queue_owner._scan_task = ended
        waiting = asyncio.ensure_future(m1.member.ask(make_queued_query("id-1", hold_s=0.9)))
        await asyncio.sleep(0.1)
        end_requests(chosen[0], "r1")
        exchange_loads(chosen, network.now)
        await asyncio.sleep(0.1)
        assert waiting.done()
        return waiting.result()

    assert run_scenario(scenario()).replica is not None


def test_request_too_large_for_any_replica_is_not_queued():
    async def scenario():
        _, _, (m1, _) = full_fleet()
        return await m1.member.ask(make_queued_query("id-1", tokens=31_000))

    answer = run_scenario(scenario())
    assert answer.replica is None and answer.wait_or_refuse is None


def test_query_that_may_not_queue_gets_reply_without_queueing():
    async def scenario():
        _, _, (m1, _) = full_fleet()
        return await m1.member.ask(make_query())

    answer = run_scenario(scenario())
    assert answer.ready and answer.replica is None and answer.wait_or_refuse is None


def test_announced_retry_goes_before_new_requests_of_same_class():
    network, chosen, others = full_fleet()
    owner = owner_of(others[0], chosen, network.now)

    async def scenario() -> list[PlacementReply]:
        fillers = [
            asyncio.ensure_future(
                others[0].member.ask(make_queued_query(f"id-{number}", give_up_in_s=60.0))
            )
            for number in range(MAX_QUEUED)
        ]
        await asyncio.sleep(0.01)
        first = msgspec.structs.replace(
            make_queued_query("first", first_event_due_in_s=-1.0, give_up_in_s=9.0), fingerprint=7
        )
        refused = await others[0].member.ask(first)
        assert refused is not None and isinstance(refused.wait_or_refuse, Refuse)
        await asyncio.sleep(HOLD_S)
        await asyncio.gather(*fillers)
        for task in fillers:
            owner.queue_owner.leave(SERVICE.name, f"id-{fillers.index(task)}")
        await asyncio.sleep(max(0.0, refused.wait_or_refuse.retry_after_s - HOLD_S))
        new_request = asyncio.ensure_future(
            others[0].member.ask(
                make_queued_query("new", first_event_due_in_s=-1.0, give_up_in_s=9.0)
            )
        )
        await asyncio.sleep(0.01)
        retry_query = msgspec.structs.replace(
            make_queued_query("again", first_event_due_in_s=-1.0, give_up_in_s=6.0), fingerprint=7
        )
        retry = asyncio.ensure_future(others[1].member.ask(retry_query))
        await asyncio.sleep(0.01)
        end_requests(chosen[0], "r1")
        chosen[0].start_request("r1", 15_000)
        exchange_loads(chosen, network.now)
        return await gather([new_request, retry])

    new, again = run_scenario(scenario())
    assert again.replica is not None
    assert new.replica is None
