"""Failures neither lose queued requests, nor serve them twice, nor delay them too long."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import pytest
from structlog.testing import capture_logs

from reachlink.coordination._asking import REPLY_TIMEOUT_S
from reachlink.coordination.tests.world import SERVICE, Instance, make_fleet
from reachlink.requests import CallerRequest, LoadUpdate, RequestFailedError
from reachlink.requests._queue_placer import QueuePlacer
from reachlink.requests._request_dispatcher import RequestDispatcher
from reachlink.routing import Backend, RequestKind, Route
from reachlink.scheduling import Refuse
from reachlink.testing import run_virtually
from reachlink.upstreams import GenerationFacts, RelayRequest, Replica

OBJECTIVE_S, TIMEOUT_S = 4.0, 20.0
ROUTE = Route(
    "chat",
    "h",
    "/c/",
    RequestKind.STREAM,
    (Backend("chat", 1.0),),
    timeout_s=TIMEOUT_S,
    objective_s=OBJECTIVE_S,
)
TICK_S = 0.005
# Longest time in seconds until a member's request is queued at another owner and scanned: the
# timeout of the held query, the query to the next owner, and the time to its next scan.
MAX_FAILOVER_S = 0.5 + 2 * REPLY_TIMEOUT_S + 0.1


@dataclass
class Simulation:
    """A fleet without room with a running clock, and the outcome of each request."""

    coordinators: int = 2
    members: int = 2
    placed: list[tuple[str, str]] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.network, self.chosen, self.others = make_fleet(
            self.coordinators, self.members, queues=True
        )
        self.instances = self.chosen + self.others
        self.filler = next(c for c in self.chosen if c is not self.owner)
        for replica in ("r1", "r2"):
            self.filler.start_request(replica, 30_000)
        for member in self.others:
            member.set_replica_list()

    @property
    def owner(self) -> Instance:
        name = self.others[0].selector.owners("chat", self.network.now)[0].name
        return next(c for c in self.chosen if c.record.name == name)

    def exchange_loads(self) -> None:
        """Exchange the loads of all instances that reach each other."""
        reachable = [i for i in self.instances if i.record.name not in self.network.silent]
        for sender in reachable:
            update = LoadUpdate(sender.record.name, sender.tracker.usages(self.network.now))
            for receiver in reachable:
                if receiver is not sender:
                    receiver.peer_load.update(update, self.network.now)

    def make_room(self) -> None:
        """End all requests that fill the replicas at the start."""
        for replica in ("r1", "r2"):
            for allocation in list(self.filler.tracker.state(replica).allocations):
                self.filler.tracker.remove(replica, allocation)
        self.exchange_loads()

    def ask(self, instance: Instance, name: str, tokens: int = 8_000) -> asyncio.Task[None]:
        task = asyncio.ensure_future(self._ask(instance, name, tokens))
        self.tasks.append(task)
        return task

    async def _ask(self, instance: Instance, name: str, tokens: int) -> None:
        facts = GenerationFacts("m", 3000, tokens - 3000, (), 0)
        relay = RelayRequest(name, "POST", "/x", [], b"", generation=facts)
        request = CallerRequest(relay, ROUTE, SERVICE, self.network.now, TIMEOUT_S)
        found = await QueuePlacer(instance.parts, instance.placer).place(request, set())
        if isinstance(found, Replica):
            self.placed.append((name, found.name))
            instance.start_request(found.name, tokens)
        else:
            self.refused.append(name)

    async def run(self) -> None:
        """Advance the clock with the time of the loop, and exchange loads regularly."""
        loop = asyncio.get_running_loop()
        at, exchanged_at = loop.time(), loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            self.network.now += loop.time() - at
            at = loop.time()
            if at - exchanged_at > 0.05:
                exchanged_at = at
                self.exchange_loads()

    async def all_done(self, within_s: float) -> bool:
        done, left = await asyncio.wait(self.tasks, timeout=within_s)
        for task in done:
            task.result()
        return not left


def run_scenario(
    scenario: Callable[[Simulation], Awaitable[None]], coordinators: int = 2, members: int = 2
) -> Simulation:
    async def run() -> Simulation:
        sim = Simulation(coordinators, members)
        clock = asyncio.ensure_future(sim.run())
        await asyncio.sleep(0.02)
        sim.exchange_loads()
        await scenario(sim)
        clock.cancel()
        for task in sim.tasks:
            task.cancel()
        return sim

    found: Simulation = run_virtually(run())
    return found


def served_once(sim: Simulation, *names: str) -> bool:
    return sorted(name for name, _ in sim.placed) == sorted(names)


async def enqueue_all(sim: Simulation, *names: str) -> None:
    for number, name in enumerate(names):
        sim.ask(sim.others[number % len(sim.others)], name)
    await asyncio.sleep(0.15)
    assert not sim.placed


def test_all_requests_get_new_room_without_failures():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2", "id-3")
        sim.make_room()
        assert await sim.all_done(1.0)

    sim = run_scenario(scenario)
    assert served_once(sim, "id-1", "id-2", "id-3")


def test_requests_move_to_next_owner_after_owner_is_killed():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2")
        sim.network.silent.add(sim.owner.record.name)
        sim.make_room()
        assert await sim.all_done(MAX_FAILOVER_S)

    assert served_once(run_scenario(scenario), "id-1", "id-2")


def test_all_queries_at_lost_owner_move_on_as_soon_as_one_finds_it_lost():
    async def scenario(sim: Simulation) -> None:
        sim.others.append(sim.others[0])
        await enqueue_all(sim, "id-1")
        # Its second query has just been sent and is held.
        await asyncio.sleep(0.4)
        sim.network.silent.add(sim.owner.record.name)
        sim.ask(sim.others[0], "id-2")
        sim.make_room()
        assert await sim.all_done(0.3)

    assert served_once(run_scenario(scenario), "id-1", "id-2")


def test_lost_owner_is_logged_once_for_any_number_of_queries():
    names = [f"id-{number}" for number in range(20)]

    async def scenario(sim: Simulation) -> None:
        member = sim.others[0]
        for name in names:
            sim.ask(member, name, tokens=3_500)
        await asyncio.sleep(0.15)
        sim.network.silent.add(sim.owner.record.name)
        with capture_logs() as logs:
            sim.ask(member, "new", tokens=3_500)
            await asyncio.sleep(REPLY_TIMEOUT_S + 0.1)
        assert [line["event"] for line in logs].count("line_owner_silent") == 1
        sim.make_room()
        assert await sim.all_done(20.0)

    sim = run_scenario(scenario)
    assert len({name for name, _ in sim.placed}) + len(sim.refused) == 21


def test_paused_owner_grants_nothing_to_requests_that_moved_on():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2")
        owner = sim.owner
        sim.network.silent.add(owner.record.name)
        await asyncio.sleep(MAX_FAILOVER_S)
        sim.network.silent.discard(owner.record.name)
        sim.make_room()
        assert await sim.all_done(MAX_FAILOVER_S)
        await asyncio.sleep(0.1)
        # The leases of the requests that moved on have expired at the paused owner.
        assert owner.queue_owner is not None

    assert served_once(run_scenario(scenario), "id-1", "id-2")


def test_paused_owner_does_not_refuse_its_own_requests_because_of_the_pause():
    async def scenario(sim: Simulation) -> None:
        sim.ask(sim.owner, "own")
        await enqueue_all(sim, "id-1")
        sim.network.now += 1.0
        await asyncio.sleep(0.2)
        assert not sim.refused
        sim.make_room()
        assert await sim.all_done(MAX_FAILOVER_S)

    assert served_once(run_scenario(scenario), "own", "id-1")


def test_members_cut_off_from_all_coordinators_queue_locally():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2")
        sim.network.silent.update(c.record.name for c in sim.chosen)
        await asyncio.sleep(MAX_FAILOVER_S)
        lengths = [
            m.queue_owner.waiting_counts.get("chat", 0)
            for m in sim.others
            if m.queue_owner is not None
        ]
        assert lengths == [1, 1]
        # The last known load of the others expires, so that the requests may start.
        assert await sim.all_done(4.0)

    assert served_once(run_scenario(scenario), "id-1", "id-2")


def test_two_temporary_owners_serve_each_request_once():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2")
        # One member finds the owner silent, the other does not.
        other = sim.others[1]
        other.selector.mark_silent(sim.owner.record.name, sim.network.now)
        await asyncio.sleep(0.6)
        sim.make_room()
        assert await sim.all_done(1.0)

    assert served_once(run_scenario(scenario), "id-1", "id-2")


def test_no_request_is_lost_while_restarted_coordinators_do_not_queue():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2")
        for coordinator in sim.chosen:
            coordinator.coordinator.set_coordinating(False)
            coordinator.coordinator.set_coordinating(True)
        await asyncio.sleep(0.6)
        sim.make_room()
        assert await sim.all_done(2.0)

    assert served_once(run_scenario(scenario), "id-1", "id-2")


def test_requests_without_queue_owner_are_refused_long_before_deadline():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2")
        for coordinator in sim.chosen:
            coordinator.coordinator.set_coordinating(False)
        assert await sim.all_done(0.25 * TIMEOUT_S)

    sim = run_scenario(scenario)
    assert not sim.placed and sorted(sim.refused) == ["id-1", "id-2"]


def test_instances_that_start_together_decide_without_queue():
    async def scenario(sim: Simulation) -> None:
        for coordinator in sim.chosen:
            coordinator.coordinator.set_coordinating(False)
            coordinator.coordinator.set_coordinating(True)
        sim.make_room()
        for number, instance in enumerate(sim.instances):
            sim.ask(instance, f"id-{number}", tokens=5_000)
        assert await sim.all_done(1.0)

    sim = run_scenario(scenario)
    assert served_once(sim, "id-0", "id-1", "id-2", "id-3")


def test_request_of_departed_caller_gets_no_place():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "gone", "there")
        sim.tasks[0].cancel()
        del sim.tasks[0]
        await asyncio.sleep(0.05)
        owner = sim.owner.queue_owner
        assert owner is not None and owner.waiting_counts == {"chat": 1}
        sim.make_room()
        assert await sim.all_done(1.0)

    assert served_once(run_scenario(scenario), "there")


def test_request_of_departed_caller_at_owner_gets_no_place():
    async def scenario(sim: Simulation) -> None:
        sim.ask(sim.owner, "gone")
        sim.ask(sim.others[0], "there")
        await asyncio.sleep(0.15)
        sim.tasks[0].cancel()
        del sim.tasks[0]
        await asyncio.sleep(0.05)
        assert sim.owner.queue_owner is not None and sim.owner.queue_owner.waiting_counts == {
            "chat": 1
        }
        sim.make_room()
        assert await sim.all_done(1.0)

    assert served_once(run_scenario(scenario), "there")


def test_requests_of_killed_member_get_no_place():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "gone", "there")
        sim.network.silent.add(sim.others[0].record.name)
        sim.tasks[0].cancel()
        del sim.tasks[0]
        # Its query is held for at most half a second, and its lease ends shortly after.
        await asyncio.sleep(1.0)
        owner = sim.owner.queue_owner
        assert owner is not None and owner.waiting_counts == {"chat": 1}

    run_scenario(scenario)


def test_coordinator_uses_same_queue_as_its_members():
    async def scenario(sim: Simulation) -> None:
        for number, instance in enumerate(sim.instances):
            sim.ask(instance, f"id-{number}", tokens=5_000)
        await asyncio.sleep(0.15)
        owner = sim.owner.queue_owner
        assert owner is not None and owner.waiting_counts == {"chat": 4}
        sim.make_room()
        assert await sim.all_done(1.0)

    sim = run_scenario(scenario)
    assert served_once(sim, "id-0", "id-1", "id-2", "id-3")
    for replica in ("r1", "r2"):
        assert sum(name == replica for _, name in sim.placed) <= 6


def test_no_request_is_queued_past_its_deadline():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, "id-1", "id-2")
        sim.network.now += TIMEOUT_S
        assert await sim.all_done(1.0)

    sim = run_scenario(scenario)
    assert not sim.placed and sorted(sim.refused) == ["id-1", "id-2"]


@pytest.mark.parametrize("instances", [8, 65, 195])
def test_messages_per_waiting_request_do_not_grow_with_instances(instances):
    """Each request needs one query that is not held, then one every half second."""
    members = instances - 2

    async def scenario(sim: Simulation) -> None:
        for number, member in enumerate(sim.others):
            sim.ask(member, f"id-{number}")
        await asyncio.sleep(1.2)

    sim = run_scenario(scenario, members=members)
    place_calls = [channel for _, channel in sim.network.calls if channel == "place"]
    assert len(place_calls) <= 4 * members


def test_no_request_is_refused_while_all_replicas_are_briefly_gone():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, *(f"id-{number}" for number in range(5)))
        for instance in sim.instances:
            instance.directory.update([], sim.network.now)
        await asyncio.sleep(4.0)
        sim.ask(sim.others[0], "new")
        await asyncio.sleep(0.1)
        assert not sim.refused
        for instance in sim.instances:
            instance.set_replica_list()
        sim.make_room()
        assert await sim.all_done(1.0)

    assert served_once(run_scenario(scenario), *(f"id-{number}" for number in range(5)), "new")


@pytest.mark.parametrize("stuck_s", [2.5, 3.0])
@pytest.mark.parametrize("number", [3, 5, 30])
def test_request_that_cannot_start_in_time_is_refused_on_arrival(number, stuck_s):
    names = [f"id-{n:02}" for n in range(number)]

    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, *names)
        # No room becomes free, although a typical request would have ended in this time.
        await asyncio.sleep(2.0)
        assert not sim.refused
        await asyncio.sleep(stuck_s - 2.0)
        # Of the queued requests only those at the end are refused, whose forecast wait is three
        # times the time that they have left.
        refused = sorted(sim.refused)
        assert refused == names[number - len(refused) :]
        assert len(refused) <= number - min(number, 4)
        sim.ask(sim.others[0], "new")
        await asyncio.sleep(0.1)
        assert "new" in sim.refused
        assert set(sim.owner.queue_outcomes) == {"no_room"}
        assert sim.owner.queue_outcomes == ["no_room"] * len(sim.refused)

    run_scenario(scenario)


def test_only_last_request_is_refused_at_short_queue():
    async def scenario(sim: Simulation) -> None:
        await enqueue_all(sim, *(f"id-{number}" for number in range(3)))
        await asyncio.sleep(3.0)
        assert not sim.refused
        sim.ask(sim.others[0], "new")
        await asyncio.sleep(0.1)
        assert sim.refused == ["new"]
        assert sim.owner.queue_outcomes == ["no_room"]

    run_scenario(scenario)


def test_refusal_reaches_caller_with_retry_time():
    async def scenario(sim: Simulation) -> None:
        member = sim.others[0]
        dispatcher = RequestDispatcher(member.parts)
        facts = GenerationFacts("m", 3000, 5000, (), 0)
        relay = RelayRequest("id-1", "POST", "/x", [], b"", generation=facts)
        request = CallerRequest(relay, ROUTE, SERVICE, sim.network.now, TIMEOUT_S)
        attempts = dispatcher.retry_policy.begin(request)
        request.refusal = Refuse(7.5)
        error = dispatcher.retry_policy.failure(request, attempts)
        assert isinstance(error, RequestFailedError)
        assert (error.status, error.reason) == (503, "no_room")
        assert error.retry_after_s == pytest.approx(7.5)

    run_scenario(scenario)
