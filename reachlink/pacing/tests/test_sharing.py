"""Permits granted by several instances: their sum, during partitions and restarts; no network."""

from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.pacing import (
    LimitSharing,
    PermitQuery,
    RateLimiter,
    partition_share,
    rendezvous_order,
)
from reachlink.pacing import _sharing as sharing

# Load that deployments allow: a factor of the limit, plus a number of requests.
BOUND_FACTOR, EXTRA_REQUESTS = 1.5, 5.0
WINDOW_S = 4.0
STEP_S = 0.02


@settings(derandomize=True)
@given(st.lists(st.integers(1, 60), min_size=1, max_size=8))
def test_sides_of_a_partition_grant_at_most_one_and_a_half_limits(sides):
    known = sum(sides)
    assert sum(partition_share(side, known) for side in sides) <= BOUND_FACTOR


@settings(derandomize=True)
@given(st.integers(1, 400), st.floats(0.0, 1.0))
def test_one_side_and_isolated_instances_stay_within_the_bound(known, part):
    """One side has an owner, and each other instance grants its own share by number."""
    side = max(1, int(known * part))
    total = partition_share(side, known) + (known - side) / known
    assert total <= BOUND_FACTOR + 1e-9


def test_additional_instance_changes_the_owner_of_few_limits():
    replicas = [f"r{n}" for n in range(700)]
    names = [f"e{n}" for n in range(10)]
    before = {r: rendezvous_order(names, r)[0] for r in replicas}
    after = {r: rendezvous_order([*names, "e10"], r)[0] for r in replicas}
    changed = [r for r in replicas if before[r] != after[r]]
    assert {after[r] for r in changed} == {"e10"}
    assert len(changed) < 700 / 11 * 2


def test_permits_are_granted_at_the_rate_and_in_order():
    limiter = RateLimiter(4.0, 10.0)
    assert [limiter.take(10.0, max_wait_s=9.0) for _ in range(4)] == [0.0, 0.25, 0.5, 0.75]
    # A permit that is free only after the longest wait is not reserved.
    assert limiter.take(10.0, max_wait_s=0.5) == 1.0
    assert limiter.take(10.0, max_wait_s=1.0) == 1.0


def test_one_unused_permit_is_kept():
    limiter = RateLimiter(2.0, 0.0)
    assert [limiter.take(100.0) for _ in range(3)] == [0.0, 0.0, 0.5]


def test_background_requests_give_way_to_others():
    limiter = RateLimiter(2.0, 0.0)
    assert limiter.take(10.0) == 0.0
    assert limiter.take(10.0, background=True) > 0.0
    assert limiter.take(10.4, background=True) > 0.0
    assert limiter.take(10.5, background=True) == 0.0
    # The background request has not taken the next permit of a regular request.
    assert limiter.take(10.5) == 0.0


def test_new_rate_applies_to_reserved_permits():
    limiter = RateLimiter(0.1, 0.0)
    assert limiter.take(0.0) == 0.0
    limiter.set_rate(1.0, 0.0)
    assert limiter.take(0.0, max_wait_s=5.0) == pytest.approx(1.0)


@dataclass
class Fleet:
    """Instances on a simulated clock; instances on different sides do not hear each other."""

    count: int
    now: float = 1000.0
    # Side of a network partition that each instance is on; default 0.
    sides: dict[str, int] = field(default_factory=dict)
    dead: set[str] = field(default_factory=set)
    heard: dict[tuple[str, str], float] = field(default_factory=dict)
    sharings: dict[str, LimitSharing] = field(default_factory=dict)
    sent: list[float] = field(default_factory=list)

    def __post_init__(self):
        self.names = [f"e{n}" for n in range(self.count)]
        for name in self.names:
            self.start(name)

    def start(self, name):
        heard = lambda other, me=name: self.heard.get((me, other), float("-inf"))  # noqa: E731
        self.sharings[name] = LimitSharing(name, heard, Random(name))
        self.sharings[name].update_roster(self.names, self.count, self.now)

    def can_hear(self, one, other):
        up = not {one, other} & self.dead
        return up and self.sides.get(one, 0) == self.sides.get(other, 0)

    def exchange_heartbeats(self):
        for one in self.names:
            for other in self.names:
                if one != other and self.can_hear(one, other):
                    self.heard[one, other] = self.now

    def request_permit(self, name, query):
        """Return the wait for a permit, determined as `LimitExchange` does."""
        for owner in self.sharings[name].owners(query.replica)[:2]:
            reached = owner == name or self.can_hear(name, owner)
            if reached and self.sharings[owner].is_owner(query.replica, self.now):
                return self.sharings[owner].grant(query, self.now)
        return self.sharings[name].grant_without_owner(query, self.now)

    def run(self, seconds, per_s, random):
        """Let every instance request more permits than it gets for a number of seconds."""
        until = self.now + seconds
        while self.now < until:
            self.now = round(self.now + STEP_S, 6)
            if round(self.now / STEP_S) % round(0.5 / STEP_S) == 0:
                self.exchange_heartbeats()
            names = [name for name in self.names if name not in self.dead]
            random.shuffle(names)
            for name in names:
                if self.request_permit(name, PermitQuery("r", per_s, 0.0)) <= 0.0:
                    self.sent.append(self.now)

    def max_sent_in_window(self, since=0.0):
        sent = [at for at in self.sent if at >= since]
        return max((sum(a <= b < a + WINDOW_S for b in sent) for a in sent), default=0)


def settled_fleet(count):
    fleet = Fleet(count)
    fleet.exchange_heartbeats()
    fleet.run(4.0, 100.0, Random(0))
    fleet.sent.clear()
    return fleet


@pytest.mark.parametrize("per_s", [0.2, 1.0, 3.3, 20.0])
@pytest.mark.parametrize("count", [1, 7, 24])
def test_granted_permits_match_the_limit(count, per_s):
    fleet = settled_fleet(count)
    fleet.run(20.0, per_s, Random(1))
    assert fleet.max_sent_in_window() <= per_s * WINDOW_S + 2
    assert len(fleet.sent) >= 0.95 * per_s * 20.0 - 1


SIDES = st.lists(st.integers(0, 2), min_size=7, max_size=7)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(SIDES, st.sampled_from([0.2, 2.0, 3.3, 10.0]), st.integers(0, 5))
def test_bound_holds_during_any_partition(sides, per_s, seed):
    """The bound holds from the start of the partition until after its end."""
    fleet = settled_fleet(7)
    fleet.run(3.0, per_s, Random(seed))
    fleet.sides = dict(zip(fleet.names, sides, strict=True))
    fleet.run(8.0, per_s, Random(seed))
    fleet.sides = {}
    fleet.run(5.0, per_s, Random(seed))
    assert fleet.max_sent_in_window() <= BOUND_FACTOR * per_s * WINDOW_S + EXTRA_REQUESTS


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.sets(st.integers(0, 6), max_size=6), st.sampled_from([0.2, 2.0, 3.3, 10.0]))
def test_bound_holds_while_instances_restart(ended, per_s):
    fleet = settled_fleet(7)
    fleet.run(3.0, per_s, Random(1))
    fleet.dead = {fleet.names[n] for n in ended}
    fleet.run(5.0, per_s, Random(1))
    again, fleet.dead = fleet.dead, set()
    for name in again:
        fleet.start(name)
    fleet.run(5.0, per_s, Random(1))
    assert fleet.max_sent_in_window() <= BOUND_FACTOR * per_s * WINDOW_S + EXTRA_REQUESTS


@pytest.mark.parametrize("count", [7, 24])
def test_bound_holds_if_all_instances_start_at_once(count):
    """Instances that start at once may know no others; here they hear nobody for two seconds."""
    fleet = Fleet(count)
    fleet.sides = {name: n for n, name in enumerate(fleet.names)}
    fleet.run(sharing.SETTLE_S, 3.3, Random(1))
    fleet.sides = {}
    fleet.exchange_heartbeats()
    fleet.run(6.0, 3.3, Random(1))
    assert fleet.max_sent_in_window() <= BOUND_FACTOR * 3.3 * WINDOW_S + EXTRA_REQUESTS


def test_another_owner_takes_over_and_the_whole_limit_is_used():
    fleet = settled_fleet(7)
    fleet.run(5.0, 3.3, Random(1))
    fleet.dead = {rendezvous_order(fleet.names, "r")[0]}
    fleet.run(sharing.PEER_SILENCE_TIMEOUT_S + 1.0, 3.3, Random(1))
    since = fleet.now
    fleet.run(10.0, 3.3, Random(1))
    assert sum(at > since for at in fleet.sent) >= 0.9 * 33
    gaps = [b - a for a, b in pairwise(fleet.sent) if a > since]
    assert max(gaps) < 1.0


def test_bound_holds_if_hundreds_of_instances_reach_no_owner():
    random = Random(1)
    fleet = [LimitSharing(f"e{n}", lambda name: float("-inf"), random) for n in range(410)]
    for one in fleet:
        one.update_roster([f"c{n}" for n in range(10)], 410, 0.0)
    sent = []
    for step in range(800):
        now = 10.0 + step * STEP_S
        for one in fleet:
            if one.grant_without_owner(PermitQuery("r", 3.3, 0.0), now) <= 0.0:
                sent.append(now)
    max_sent_in_window = max(sum(a <= b < a + WINDOW_S for b in sent) for a in sent)
    assert max_sent_in_window <= BOUND_FACTOR * 3.3 * WINDOW_S + EXTRA_REQUESTS


def test_most_recent_limit_applies_to_all_instances():
    one = LimitSharing("e0", lambda name: float("-inf"), Random(1))
    one.update_roster(["e0"], 1, 0.0)
    one.grant(PermitQuery("r", 2.0, age_s=0.1), 10.0)
    # Older information with a higher limit must not replace the newer one.
    one.grant(PermitQuery("r", 200.0, age_s=5.0), 10.0)
    assert one.grant(PermitQuery("r", 200.0, age_s=5.0), 10.0) > 0.4
