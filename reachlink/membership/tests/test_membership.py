"""The directory believes the first sign of leaving; settings never go back."""

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


def test_a_stale_list_does_not_take_back_a_refusal():
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


def after_list_that_lags(source: LeavingSource, at: int) -> ReplicaDirectory:
    """Return a directory whose list has an instance leave and stay by turns after it said so."""
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
def test_its_own_word_holds_in_its_life_whatever_lists_say(source):
    directory = after_list_that_lags(source, 1000)
    assert not directory.may_get_work("a")
    directory.update(born(InstanceState.LIVE, 2000), 53.0)
    assert directory.may_get_work("a")


def test_a_guess_is_taken_back():
    assert after_list_that_lags(LeavingSource.CLOSING, 1000).may_get_work("a")


def test_a_name_without_a_time_of_start_is_one_life_until_a_list_had_it_not():
    directory = ReplicaDirectory()
    directory.update(listed(), 0.0)
    directory.mark_leaving("a", LeavingSource.ANSWER, 1.0)
    directory.update(listed(), 300.0)
    assert not directory.may_get_work("a")
    directory.update([], 301.0)
    directory.update(listed(), 302.0)
    assert directory.may_get_work("a")


def test_backoffs_end_with_the_address_and_the_life_that_asked():
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


def test_an_instance_that_left_is_still_found_for_its_generations():
    directory = ReplicaDirectory()
    directory.update(listed(), 0.0)
    directory.update([], 1.0)
    assert directory.live("up") == []
    assert directory.find("a") is not None


def test_routes_replace_addresses():
    directory = ReplicaDirectory({"127.0.0.1:1": "127.0.0.1:9"})
    directory.update(listed(), 0.0)
    assert directory.live("up")[0].address == "127.0.0.1:9"


def answer_to(revision: int, base: int, whole: bool) -> SettingsAnswer:
    """Return what a source at `revision` says to one who has `base`."""
    if whole or base > revision:
        return SettingsAnswer(revision, False, values={"defaults.priority": revision % 10})
    deltas = [
        Delta(r, [Change("defaults.priority", r % 10)]) for r in range(base + 1, revision + 1)
    ]
    return SettingsAnswer(revision, False, deltas)


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 30), st.integers(0, 30), st.booleans()), max_size=40))
def test_whatever_arrives_the_revision_only_grows_and_fits_its_values(answers):
    holder = SettingsHolder()
    for revision, base, whole in answers:
        before = holder.tree.revision
        grew = holder.take(answer_to(revision, base, whole))
        after = holder.tree.revision
        assert after == (revision if grew else before)
        assert after >= before
        if after:
            assert holder.tree.values["defaults.priority"] == after % 10


def test_a_holder_passes_on_deltas_or_the_whole():
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


def test_a_reading_tells_what_is_new_in_it():
    directory = ReplicaDirectory()
    assert directory.update([one("r1"), one("r2")], 0.0) == [one("r1"), one("r2")]
    leaves = one("r1", InstanceState.LEAVING)
    assert directory.update([leaves, one("r2")], 1.0) == [leaves]
    assert directory.update([leaves, one("r2")], 2.0) == []


def test_what_another_reader_found_counts_at_once_and_takes_nothing_back():
    directory = ReplicaDirectory()
    directory.update([one("r1")], 0.0)
    directory.hear([one("r2"), one("r1", InstanceState.LEAVING)], 1.0)
    assert [r.name for r in directory.live("chat")] == ["r2"]
    directory.hear([one("r1")], 1.1)
    assert [r.name for r in directory.live("chat")] == ["r2"]
    assert directory.leaving("chat", 0.5) == ["r1"]
    assert directory.leaving("chat", 1.5) == []


def test_an_older_copy_of_the_list_does_not_hide_what_another_reader_found():
    directory = ReplicaDirectory()
    directory.hear([one("r2")], 1.0)
    directory.update([one("r1")], 1.5)
    assert directory.may_get_work("r2")
    directory.update([one("r1")], 2.5)
    assert not directory.may_get_work("r2")


def test_a_zone_out_of_service_gets_nothing_and_its_instances_stay():
    directory = ReplicaDirectory()
    directory.update(
        [
            ListedInstance("r1", "chat", "a", "127.0.0.1:1"),
            ListedInstance("r2", "chat", "b", "127.0.0.1:2"),
        ],
        0.0,
    )
    directory.take_out_of_service({"b"}, 0.0)
    assert [r.name for r in directory.live("chat")] == ["r1"]
    assert not directory.may_get_work("r2") and directory.stays("r2")
    assert {r.name for r in directory.staying("chat")} == {"r1", "r2"}
    # One that comes later finds the order in force.
    directory.hear([ListedInstance("r3", "chat", "b", "127.0.0.1:3")], 1.0)
    assert not directory.may_get_work("r3")
    directory.take_out_of_service(set(), 0.0)
    assert {r.name for r in directory.live("chat")} == {"r1", "r2", "r3"}


def test_a_zone_taken_back_counts_as_cold_until_the_list_can_have_told():
    directory = ReplicaDirectory()
    directory.update([ListedInstance("r1", "chat", "a", "127.0.0.1:1")], 0.0)
    directory.take_out_of_service({"a"}, 1.0)
    assert directory.cold_s("r1", 2.0) == 0.0
    directory.take_out_of_service(set(), 5.0)
    assert directory.cold_s("r1", 5.0) == 4.0
    assert directory.cold_s("r1", 9.5) == 0.0


def test_a_list_that_trails_does_not_make_a_cold_instance_warm():
    directory = ReplicaDirectory()
    cold = ListedInstance("r1", "chat", "a", "127.0.0.1:1", cold_s=3.0)
    warm = ListedInstance("r1", "chat", "a", "127.0.0.1:1")
    directory.update([warm], 0.0)
    # News to the others: they would send as much as to a warm one.
    assert directory.update([cold], 1.0) == [cold]
    assert directory.update([warm], 1.5) == []
    assert directory.cold_s("r1", 2.0) == 2.0
    assert directory.cold_s("r1", 4.5) == 0.0


def test_what_another_reader_has_found_cold_is_cold_here():
    directory = ReplicaDirectory()
    directory.update([ListedInstance("r1", "chat", "a", "127.0.0.1:1")], 0.0)
    directory.hear([ListedInstance("r1", "chat", "a", "127.0.0.1:1", cold_s=2.0)], 1.0)
    assert directory.cold_s("r1", 1.0) == 2.0


def test_a_name_that_is_gone_for_good_is_not_taken_back_by_a_list():
    directory = ReplicaDirectory(unconfirmed_mark_s=2.0)
    directory.update(listed(), 0.0)
    assert directory.mark_gone("a", 1.0)
    assert not directory.mark_gone("a", 1.1)
    for now in (2.0, 5.0, 9.0):
        directory.update(listed(), now)
        assert not directory.may_get_work("a") and not directory.stays("a")
