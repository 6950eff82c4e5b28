"""Tests of the replica directory and of the settings holder.

The directory counts an instance as leaving from the first sign on, although lists lag. The
revision of a settings holder never decreases.
"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reachlink.membership import (
    Delta,
    InstanceState,
    LeavingSource,
    ListedInstance,
    ReplicaDirectory,
    SettingsAnswer,
    SettingsHolder,
)
from reachlink.pacing import PacingTracker
from reachlink.settings import Change


def listed(state: InstanceState = InstanceState.LIVE) -> list[ListedInstance]:
    return [ListedInstance("a", "up", "z1", "127.0.0.1:1", state)]


def test_stale_list_does_not_clear_refusal_mark():
    directory = ReplicaDirectory()
    directory.update(listed(), 0.0)
    assert directory.mark_leaving("a", LeavingSource.REFUSAL, 1.0)
    directory.update(listed(), 2.0)
    assert not directory.may_get_work("a")
    directory.update(listed(InstanceState.LEAVING), 3.0)
    directory.update(listed(), 9.0)
    assert directory.may_get_work("a")


def born(state: InstanceState, born: int) -> list[ListedInstance]:
    return [ListedInstance("a", "up", "z1", "127.0.0.1:1", state, born=born)]


def directory_after_lagging_lists(source: LeavingSource, at: int) -> ReplicaDirectory:
    """Return a directory whose instance was marked by `source`, then listed in changing states."""
    directory = ReplicaDirectory()
    directory.update(born(InstanceState.LIVE, at), 0.0)
    directory.mark_leaving("a", LeavingSource.CLOSING, 1.0)
    directory.mark_leaving("a", source, 1.0)
    for now, state in ((9.0, InstanceState.LEAVING), (50.0, InstanceState.LIVE)):
        directory.update(born(state, at), now)
    directory.update([], 51.0)
    directory.update(born(InstanceState.LIVE, at), 52.0)
    return directory


@pytest.mark.parametrize("source", [LeavingSource.REFUSAL, LeavingSource.ANSWER])
def test_mark_by_instance_itself_holds_until_restart(source):
    directory = directory_after_lagging_lists(source, 1000)
    assert not directory.may_get_work("a")
    directory.update(born(InstanceState.LIVE, 2000), 53.0)
    assert directory.may_get_work("a")


def test_inferred_mark_is_cleared_by_list():
    assert directory_after_lagging_lists(LeavingSource.CLOSING, 1000).may_get_work("a")


def test_instance_without_start_time_restarts_after_list_that_lacks_it():
    directory = ReplicaDirectory()
    directory.update(listed(), 0.0)
    directory.mark_leaving("a", LeavingSource.ANSWER, 1.0)
    directory.update(listed(), 300.0)
    assert not directory.may_get_work("a")
    directory.update([], 301.0)
    directory.update(listed(), 302.0)
    assert directory.may_get_work("a")


def test_backoffs_end_with_restart_and_reused_address():
    pacing = PacingTracker(Random(1))
    backoffs = pacing.backoffs
    directory = ReplicaDirectory(pacing=pacing)
    directory.update(born(InstanceState.LIVE, 1000), 0.0)
    backoffs.record("127.0.0.1:1", 3600.0, 0.0)
    directory.update(born(InstanceState.LIVE, 2000), 100.0)
    assert backoffs.admits("127.0.0.1:1", 100.0)
    backoffs.record("127.0.0.1:1", 3600.0, 100.0)
    directory.update([ListedInstance("b", "up", "z1", "127.0.0.1:1")], 101.0)
    assert backoffs.admits("127.0.0.1:1", 101.0)


def test_instance_absent_from_list_is_still_found():
    directory = ReplicaDirectory()
    directory.update(listed(), 0.0)
    directory.update([], 1.0)
    assert directory.live("up") == []
    assert directory.find("a") is not None


def test_routes_replace_listed_addresses():
    directory = ReplicaDirectory({"127.0.0.1:1": "127.0.0.1:9"})
    directory.update(listed(), 0.0)
    assert directory.live("up")[0].address == "127.0.0.1:9"


def answer_to(revision: int, base: int, whole: bool) -> SettingsAnswer:
    """Return the answer of a source at `revision` to a requester at `base`."""
    if whole or base > revision:
        return SettingsAnswer(revision, False, values={"defaults.priority": revision % 10})
    deltas = [
        Delta(r, [Change("defaults.priority", r % 10)]) for r in range(base + 1, revision + 1)
    ]
    return SettingsAnswer(revision, False, deltas)


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 30), st.integers(0, 30), st.booleans()), max_size=40))
def test_revision_never_decreases_and_matches_values(answers):
    holder = SettingsHolder()
    for revision, base, whole in answers:
        before = holder.tree.revision
        grew = holder.take(answer_to(revision, base, whole))
        after = holder.tree.revision
        assert after == (revision if grew else before)
        assert after >= before
        if after:
            assert holder.tree.values["defaults.priority"] == after % 10


def test_holder_answers_with_deltas_or_all_values():
    source, reader = SettingsHolder(), SettingsHolder()
    source.take(answer_to(5, 0, False))
    assert source.since(3).values is None
    reader.take(source.since(reader.tree.revision))
    assert reader.tree.revision == 5
    fresh = SettingsHolder()
    fresh.take(SettingsAnswer(7, False, values={"defaults.priority": 7}))
    assert fresh.since(2).values == {"defaults.priority": 7}


def one(name: str, state: InstanceState = InstanceState.LIVE) -> ListedInstance:
    return ListedInstance(name, "chat", "a", f"{name}:1", state)


def test_update_returns_new_and_changed_instances():
    directory = ReplicaDirectory()
    assert directory.update([one("r1"), one("r2")], 0.0) == [one("r1"), one("r2")]
    leaves = one("r1", InstanceState.LEAVING)
    assert directory.update([leaves, one("r2")], 1.0) == [leaves]
    assert directory.update([leaves, one("r2")], 2.0) == []


def test_peer_report_applies_at_once_and_clears_no_mark():
    directory = ReplicaDirectory()
    directory.update([one("r1")], 0.0)
    directory.apply_peer_list([one("r2"), one("r1", InstanceState.LEAVING)], 1.0)
    assert [r.name for r in directory.live("chat")] == ["r2"]
    directory.apply_peer_list([one("r1")], 1.1)
    assert [r.name for r in directory.live("chat")] == ["r2"]
    assert directory.leaving("chat", 0.5) == ["r1"]
    assert directory.leaving("chat", 1.5) == []


def test_older_list_does_not_hide_instance_reported_by_peer():
    directory = ReplicaDirectory()
    directory.apply_peer_list([one("r2")], 1.0)
    directory.update([one("r1")], 1.5)
    assert directory.may_get_work("r2")
    directory.update([one("r1")], 2.5)
    assert not directory.may_get_work("r2")


def test_zone_out_of_service_gets_no_work_and_keeps_its_instances():
    directory = ReplicaDirectory()
    directory.update(
        [
            ListedInstance("r1", "chat", "a", "127.0.0.1:1"),
            ListedInstance("r2", "chat", "b", "127.0.0.1:2"),
        ],
        0.0,
    )
    directory.set_zones_out_of_service({"b"}, 0.0)
    assert [r.name for r in directory.live("chat")] == ["r1"]
    assert not directory.may_get_work("r2") and directory.stays("r2")
    assert {r.name for r in directory.staying("chat")} == {"r1", "r2"}
    # The order also applies to an instance that is added later.
    directory.apply_peer_list([ListedInstance("r3", "chat", "b", "127.0.0.1:3")], 1.0)
    assert not directory.may_get_work("r3")
    directory.set_zones_out_of_service(set(), 0.0)
    assert {r.name for r in directory.live("chat")} == {"r1", "r2", "r3"}


def test_zone_returned_to_service_counts_as_cold_for_list_delay():
    directory = ReplicaDirectory()
    directory.update([ListedInstance("r1", "chat", "a", "127.0.0.1:1")], 0.0)
    directory.set_zones_out_of_service({"a"}, 1.0)
    assert directory.cold_s("r1", 2.0) == 0.0
    directory.set_zones_out_of_service(set(), 5.0)
    assert directory.cold_s("r1", 5.0) == 4.0
    assert directory.cold_s("r1", 9.5) == 0.0


def test_lagging_list_does_not_make_cold_instance_warm():
    directory = ReplicaDirectory()
    cold = ListedInstance("r1", "chat", "a", "127.0.0.1:1", cold_s=3.0)
    warm = ListedInstance("r1", "chat", "a", "127.0.0.1:1")
    directory.update([warm], 0.0)
    # Peers must be told: otherwise they send as much as to a warm instance.
    assert directory.update([cold], 1.0) == [cold]
    assert directory.update([warm], 1.5) == []
    assert directory.cold_s("r1", 2.0) == 2.0
    assert directory.cold_s("r1", 4.5) == 0.0


def test_cold_instance_reported_by_peer_is_cold_here():
    directory = ReplicaDirectory()
    directory.update([ListedInstance("r1", "chat", "a", "127.0.0.1:1")], 0.0)
    directory.apply_peer_list([ListedInstance("r1", "chat", "a", "127.0.0.1:1", cold_s=2.0)], 1.0)
    assert directory.cold_s("r1", 1.0) == 2.0


def test_list_does_not_clear_mark_of_replaced_instance():
    directory = ReplicaDirectory(unconfirmed_mark_s=2.0)
    directory.update(listed(), 0.0)
    assert directory.mark_gone("a", 1.0)
    assert not directory.mark_gone("a", 1.1)
    for now in (2.0, 5.0, 9.0):
        directory.update(listed(), now)
        assert not directory.may_get_work("a") and not directory.stays("a")
