"""Refusals by the owner of a queue, and the retries of refused callers."""

import asyncio

import msgspec
import pytest
from structlog.testing import capture_logs

from reachlink.coordination.tests.test_queue import make_queued_query
from reachlink.coordination.tests.test_queue_failures import Simulation, enqueue_all, run_scenario
from reachlink.requests import PlacementQuery
from reachlink.scheduling import RefusalReason, Refuse, Wait

# Time in seconds after which the rate at which room becomes free is known.
GRANT_RATE_KNOWN_S = 2.5


def test_long_request_that_can_start_in_time_is_not_refused():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1")
        await asyncio.sleep(GRANT_RATE_KNOWN_S)
        # It may start in the first half of its time, and its turn comes within a quarter of it.
        long = make_queued_query(
            "long", tokens=8_000, hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0
        )
        answer = await sim.others[1].member.ask(long)
        assert answer is not None and isinstance(answer.wait_or_refuse, Wait)
        assert 5.0 < answer.wait_or_refuse.expected_wait_s < 15.0

    run_scenario(scenario)


def fill_except(sim: Simulation, tokens: int) -> None:
    """Fill each replica except for a number of tokens."""
    sim.make_room()
    for replica in ("r1", "r2"):
        sim.filler.start_request(replica, 30_000 - tokens)
    sim.exchange_loads()


def test_request_is_not_refused_while_room_is_free_for_it_behind_others():
    async def scenario(sim: Simulation) -> None:
        fill_except(sim, 5_000)
        sim.ask(sim.others[0], "large", tokens=25_000)
        await asyncio.sleep(GRANT_RATE_KNOWN_S)
        small = make_queued_query("small", tokens=4_000, hold_s=0.0, give_up_in_s=6.0)
        answer = await sim.others[1].member.ask(small)
        assert answer is not None and isinstance(answer.wait_or_refuse, Wait)
        again = make_queued_query("small", tokens=4_000, hold_s=0.5, give_up_in_s=6.0)
        answer = await sim.others[1].member.ask(again)
        assert answer is not None and answer.replica is not None

    run_scenario(scenario)


def test_announced_retry_keeps_age_from_before_refusal():
    async def scenario(sim: Simulation) -> None:
        first, second = sim.others
        tried = make_queued_query("tried", hold_s=1.0, first_event_due_in_s=50.0, give_up_in_s=1.9)
        tried = msgspec.structs.replace(tried, fingerprint=7)
        waiting = asyncio.ensure_future(first.member.ask(tried))
        await asyncio.sleep(0.3)
        younger = make_queued_query(
            "younger", hold_s=1.0, first_event_due_in_s=50.0, give_up_in_s=60.0
        )
        others = [asyncio.ensure_future(second.member.ask(younger))]
        refused = await waiting
        assert refused is not None and isinstance(refused.wait_or_refuse, Refuse)
        others.append(asyncio.ensure_future(second.member.ask(younger)))
        await asyncio.sleep(refused.wait_or_refuse.retry_after_s)
        back = make_queued_query("back", hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0)
        back = msgspec.structs.replace(back, fingerprint=7)
        answer = await first.member.ask(back)
        assert answer is not None and isinstance(answer.wait_or_refuse, Wait)
        assert answer.wait_or_refuse.ahead == 0
        await asyncio.gather(*others)

    run_scenario(scenario)


def test_announced_retry_whose_lease_expires_keeps_its_age():
    async def scenario(sim: Simulation) -> None:
        first, second = sim.others
        tried = make_queued_query(
            "tried", hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0, waited_s=5.0
        )
        queue_owner = sim.owner.queue_owner
        assert queue_owner is not None
        assert tried.need is not None
        queue_owner._outcomes._ledger.registry.reserve(
            7, "chat", tried.need, Refuse(0.1, place_reserved=True), sim.network.now
        )
        await asyncio.sleep(0.15)
        back = make_queued_query("back", hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0)
        back = msgspec.structs.replace(back, fingerprint=7)
        await first.member.ask(back)
        # Its instance sends no query until after the lease of the request has expired.
        await asyncio.sleep(1.0)
        assert queue_owner.waiting_counts == {"chat": 0}
        await second.member.ask(
            make_queued_query("older", hold_s=0.0, first_event_due_in_s=50.0, waited_s=3.0)
        )
        answer = await first.member.ask(back)
        assert answer is not None and isinstance(answer.wait_or_refuse, Wait)
        assert answer.wait_or_refuse.ahead == 0

    run_scenario(scenario)


@pytest.mark.parametrize("at_owner", [False, True], ids=["member", "owner"])
@pytest.mark.parametrize(("stopping", "ahead"), [(True, 0), (False, 1)], ids=["stops", "gone"])
def test_a_queued_request_of_a_stopping_instance_keeps_its_age_at_another(
    at_owner, stopping, ahead
):
    async def scenario(sim: Simulation) -> None:
        first, second = sim.owner if at_owner else sim.others[0], sim.others[1]
        fill_except(sim, 0)
        tried = make_queued_query(
            "tried", hold_s=1.0, first_event_due_in_s=50.0, give_up_in_s=60.0, waited_s=5.0
        )
        tried = msgspec.structs.replace(tried, fingerprint=7)
        waiting = asyncio.ensure_future(first.member.ask(tried))
        await asyncio.sleep(0.2)
        await second.member.ask(
            make_queued_query("older", hold_s=0.0, first_event_due_in_s=50.0, waited_s=3.0)
        )
        first.stopping = stopping
        waiting.cancel()
        await asyncio.sleep(0.05)
        back = make_queued_query("back", hold_s=0.0, first_event_due_in_s=50.0, give_up_in_s=60.0)
        answer = await second.member.ask(msgspec.structs.replace(back, fingerprint=7))
        assert answer is not None and isinstance(answer.wait_or_refuse, Wait)
        assert answer.wait_or_refuse.ahead == ahead

    run_scenario(scenario)


def make_query_of(
    workspace: str, request_id: str, tokens: int, hold_s: float = 0.5
) -> PlacementQuery:
    query = make_queued_query(request_id, tokens=tokens, hold_s=hold_s, give_up_in_s=200.0)
    assert query.need is not None
    need = msgspec.structs.replace(query.need, workspace=workspace)
    return msgspec.structs.replace(query, need=need)


async def queue_large_workspace(sim: Simulation) -> None:
    """Queue requests of one workspace for more room than there is, until the rate is known."""
    asking = sim.others[0].member
    for _ in range(6):
        queries = [make_query_of("large", f"large-{n}", 6_000) for n in range(9)]
        await asyncio.gather(*(asking.ask(query) for query in queries))


def test_workspace_over_its_share_is_refused_first_with_reason():
    async def scenario(sim: Simulation) -> None:
        await queue_large_workspace(sim)
        with capture_logs() as logs:
            large = await sim.others[1].member.ask(make_query_of("large", "new", 6_000, 0.0))
            small = await sim.others[1].member.ask(make_query_of("small", "other", 6_000, 0.0))
        assert large is not None and isinstance(large.wait_or_refuse, Refuse)
        assert large.wait_or_refuse.reason is RefusalReason.OVER_SHARE
        assert small is not None and isinstance(small.wait_or_refuse, Wait)
        assert sim.owner.queue_outcomes == ["over_share"]
        (line,) = [line for line in logs if line["event"] == "refused"]
        assert (line["reason"], line["workspace"]) == ("over_share", "large")

    run_scenario(scenario)


def test_workspace_over_its_share_is_not_refused_while_room_is_free():
    async def scenario(sim: Simulation) -> None:
        fill_except(sim, 5_000)
        await queue_large_workspace(sim)
        answer = await sim.others[1].member.ask(make_query_of("large", "new", 4_000, 0.0))
        assert answer is not None and isinstance(answer.wait_or_refuse, Wait)

    run_scenario(scenario)
