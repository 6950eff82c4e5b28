"""First elections: fast if all replicas start together, but never during a lease."""

from random import Random

import pytest

from reachlink.agreement import Core, Log, Member, Timing
from reachlink.agreement._messages import Message, VoteReply, VoteRequest

NAMES = ["a", "b", "c"]
DELAY_S = 0.002
STARTED_AT = 100.0
# Start-up time in seconds, longer than a lease.
STARTUP_S = 0.9


def replica(name: str, now: float, started_at: float | None) -> Core:
    log = Log()
    log.snapshot_members = [Member(n, f"{n}:1", "zone", True) for n in NAMES]
    return Core(name, log, 3, "", Timing(), Random(name), now, started_at)


def run_until_leader(replicas: dict[str, Core], now: float) -> float:
    """Deliver messages and ticks in time order; return the time at which a leader is elected."""
    on_the_way: list[tuple[float, str, str, Message]] = []
    while not any(core.is_leader for core in replicas.values()):
        due = min(core.next_due() for core in replicas.values())
        now = max(now, min([due, *(at for at, *_ in on_the_way)]))
        arrived = [item for item in on_the_way if item[0] <= now]
        on_the_way = [item for item in on_the_way if item[0] > now]
        for _, sender, to, message in arrived:
            replicas[to].receive(sender, message, now)
        for name, core in replicas.items():
            core.tick(now)
            for to, message in core.pop_effects().messages:
                on_the_way.append((now + DELAY_S, name, to, message))
    return now


def test_replicas_that_start_together_elect_a_leader_without_an_election_timeout():
    now = STARTED_AT + STARTUP_S
    replicas = {name: replica(name, now, STARTED_AT) for name in NAMES}
    elected = run_until_leader(replicas, now)
    assert elected - now < Timing().first_election_max_s + 10 * DELAY_S


@pytest.mark.parametrize("started_at", [STARTED_AT, None])
def test_a_restarted_replica_does_not_campaign_during_a_lease(started_at):
    core = replica("a", STARTED_AT, started_at)
    assert core.next_due() >= STARTED_AT + Timing().election_min_s


def test_a_restarted_replica_grants_no_vote_during_a_lease():
    core = replica("a", STARTED_AT, STARTED_AT)
    request = VoteRequest(4, "b", 0, 0, True)
    core.receive("b", request, STARTED_AT + 0.5 * Timing().election_min_s)
    core.receive("b", request, STARTED_AT + 1.1 * Timing().election_min_s)
    replies = [m for _, m in core.pop_effects().messages if isinstance(m, VoteReply)]
    assert [reply.granted for reply in replies] == [False, True]
