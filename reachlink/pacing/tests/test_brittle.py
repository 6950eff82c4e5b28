"""What a brittle replica states holds for its lifetime, and for all instances together."""

import pytest

from reachlink.pacing import BrittleTracker, parse_refusals
from reachlink.pacing import _brittle as brittle_module

ADDRESS = "10.0.0.1:80"
SLOTS = 6


def tracker(name: str = "e1", instances: int = 1) -> BrittleTracker:
    made = BrittleTracker(name)
    made.instances = lambda: instances
    made.slots_at = lambda address: SLOTS
    return made


def begin_all(one: BrittleTracker, now: float) -> int:
    """Send as many requests as the replica may have now; return their number."""
    sent = 0
    while one.admits(ADDRESS, now):
        one.begin(ADDRESS)
        sent += 1
    return sent


def test_a_replica_that_states_nothing_is_not_bounded():
    one = tracker()
    for _ in range(1000):
        one.begin(ADDRESS)
    assert one.admits(ADDRESS, 0.0)


def test_one_instance_keeps_to_its_window_and_may_send_again_as_requests_end():
    one = tracker()
    one.record(ADDRESS, 5.0, 0.0)
    assert SLOTS <= begin_all(one, 0.0) <= brittle_module.WINDOWS_PER_SLOT * SLOTS + 1
    assert 0.0 < one.remaining_s(ADDRESS, 0.0) < 0.1
    one.end(ADDRESS)
    assert one.admits(ADDRESS, 0.0)


@pytest.mark.parametrize("instances", [7, 65, 410])
def test_all_instances_together_have_little_more_than_the_replica_works_on(instances):
    together = []
    for period in range(40):
        now = period * brittle_module.PERIOD_S
        sent = 0
        for number in range(instances):
            one = tracker(f"e{number}", instances)
            one.record(ADDRESS, 5.0, now)
            sent += begin_all(one, now)
        together.append(sent)
    mean = sum(together) / len(together)
    assert mean == pytest.approx(brittle_module.WINDOWS_PER_SLOT * SLOTS, rel=0.2)


def test_a_rejection_stops_the_instance_for_its_part_of_the_rejections():
    one = tracker(instances=7)
    one.record(ADDRESS, 4.0, 0.0)
    assert one.note_refused(ADDRESS, 0.5, 1.0)
    assert not one.admits(ADDRESS, 4.0)
    assert one.remaining_s(ADDRESS, 1.0) == pytest.approx(3.5)


def test_requests_on_their_way_are_rejected_together_and_count_once():
    one = tracker()
    one.record(ADDRESS, 4.0, 0.0)
    assert one.note_refused(ADDRESS, 0.5, 1.0)
    assert not one.note_refused(ADDRESS, 0.9, 1.1)
    assert one.note_refused(ADDRESS, 1.5, 2.0)


def test_a_window_that_shrank_widens_again_without_rejections():
    one = tracker()
    one.record(ADDRESS, 4.0, 0.0)
    before = begin_all(one, 0.0)
    for _ in range(before):
        one.end(ADDRESS)
    one.note_refused(ADDRESS, 0.5, 1.0)
    after = begin_all(one, 1.6)
    assert after < before
    for _ in range(after):
        one.end(ADDRESS)
    assert begin_all(one, 30.0) >= before - 1


def test_only_an_answer_to_a_later_request_ends_it():
    one = tracker()
    one.record(ADDRESS, 4.0, 2.0)
    assert not one.record_absence(ADDRESS, 1.0)
    assert one.count() == 1
    assert one.record_absence(ADDRESS, 3.0)
    assert one.is_empty


def test_a_restart_and_another_replica_at_the_address_end_it():
    one = tracker()
    one.record(ADDRESS, 4.0, 2.0)
    one.on_restart(ADDRESS, 3.0)
    assert one.is_empty
    one.record(ADDRESS, 4.0, 4.0)
    one.on_address_reused(ADDRESS)
    assert one.is_empty


@pytest.mark.parametrize("text", ["many", "", "nan", "inf", "-1"])
def test_what_is_no_number_of_rejections_is_refused(text):
    with pytest.raises(ValueError):
        parse_refusals(text)


@pytest.mark.parametrize(("text", "per_s"), [("3", 3.0), ("0.5", 0.5), ("0", 0.1), ("1e9", 1e6)])
def test_numbers_are_clipped_to_what_is_kept_to(text, per_s):
    assert parse_refusals(text) == per_s


def test_the_number_of_replicas_is_bounded():
    one = tracker()
    for number in range(2 * brittle_module.MAX_TRACKED_REPLICAS):
        one.record(f"r{number}", 4.0, float(number))
    assert one.count() == brittle_module.MAX_TRACKED_REPLICAS


def test_what_one_replica_of_a_service_states_holds_for_all_until_they_say_otherwise():
    one = tracker()
    one.service_at = lambda address: [ADDRESS, "10.0.0.2:80"]
    assert one.record(ADDRESS, 4.0, 2.0)
    assert one.count() == 2
    assert one.record_absence("10.0.0.2:80", 3.0)
    one.record(ADDRESS, 4.0, 4.0)
    assert one.count() == 1
