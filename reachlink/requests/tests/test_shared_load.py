"""The total usage is correct for any sequence of updates, additions, removals and waits."""

from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.requests import LoadUpdate, PeerLoad, ReplicaUsage

KEPT_S = 3.0
INSTANCES = st.sampled_from(["e1", "e2", "e3"])
USAGES = st.lists(
    st.builds(
        ReplicaUsage,
        replica=st.sampled_from(["r1", "r2"]),
        running=st.integers(0, 3),
        tokens=st.integers(0, 9_000),
    ),
    max_size=2,
    unique_by=lambda usage: usage.replica,
)
STEPS = st.one_of(
    st.tuples(st.just("take"), INSTANCES, USAGES),
    st.tuples(st.just("add"), INSTANCES, USAGES),
    st.tuples(st.just("forget"), INSTANCES),
    st.tuples(st.just("wait"), st.sampled_from([0.5, 2.0, 3.5])),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(STEPS, max_size=20))
def test_total_is_sum_of_latest_valid_update_of_each_instance(steps):
    load, now = PeerLoad(), 0.0
    latest: dict[str, tuple[float, dict[str, int]]] = {}
    for step in steps:
        match step:
            case ("take", name, usages):
                load.update(LoadUpdate(name, usages), now)
                latest[name] = (now, {s.replica: s.tokens for s in usages})
            case ("add", name, usages):
                for usage in usages:
                    load.add(name, usage, now)
                    _, tokens = latest.setdefault(name, (now, {}))
                    tokens[usage.replica] = tokens.get(usage.replica, 0) + usage.tokens
            case ("forget", name):
                load.forget(name)
                latest.pop(name, None)
            case ("wait", seconds):
                now += seconds
        latest = {n: (at, t) for n, (at, t) in latest.items() if now - at <= KEPT_S}
        for replica in ("r1", "r2"):
            for without in ("", "e1"):
                expected = sum(
                    tokens.get(replica, 0) for n, (_, tokens) in latest.items() if n != without
                )
                assert load.usage_at(replica, now, without).tokens == expected
