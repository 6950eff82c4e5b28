"""Tests of instances that restart under the same name.

Marks and backoffs of the process before the restart must not apply to the new one.
"""

import pytest

from reachlink.membership import InstanceState, LeavingSource, ListedInstance, ReplicaDirectory

LEAVING = InstanceState.LEAVING


def listed(born: int = 0, state: InstanceState = InstanceState.LIVE, at: str = "r1:1"):
    return [ListedInstance("r1", "chat", "a", at, state, born=born)]


def directory(born: int = 100) -> tuple[ReplicaDirectory, list[str]]:
    """Return a directory that contains `r1`, and the list of restarts that it reports."""
    made = ReplicaDirectory(unconfirmed_mark_s=30.0)
    made.update(listed(), 0.0)
    again: list[str] = []
    made.set_restart_listener(again.append)
    made.record_start("r1", born, 0.0)
    return made, again


@pytest.mark.parametrize("source", list(LeavingSource))
def test_restart_clears_leaving_mark(source):
    made, again = directory()
    if source is LeavingSource.REPLACED:
        made.mark_gone("r1", 1.0)
    else:
        made.mark_leaving("r1", source, 1.0)
    assert not made.may_get_work("r1")
    assert made.record_start("r1", 200, 2.0)
    assert made.may_get_work("r1")
    assert made.leaving("chat", 0.0) == []
    assert again == ["r1"]


def test_restarted_instance_can_be_marked_again():
    made, _ = directory()
    made.mark_leaving("r1", LeavingSource.REPORT, 1.0)
    made.record_start("r1", 200, 2.0)
    assert made.mark_leaving("r1", LeavingSource.REPORT, 3.0)
    assert not made.may_get_work("r1")


@pytest.mark.parametrize("born", [0, 50, 100])
def test_same_or_earlier_start_time_is_not_a_restart(born):
    made, again = directory()
    made.mark_leaving("r1", LeavingSource.REPORT, 1.0)
    assert not made.record_start("r1", born, 2.0)
    assert not made.may_get_work("r1")
    assert again == []


def test_list_with_earlier_start_time_is_ignored():
    made, _ = directory()
    made.record_start("r1", 200, 1.0)
    made.update(listed(100, LEAVING), 2.0)
    assert made.may_get_work("r1")
    made.update(listed(200, LEAVING), 3.0)
    assert not made.may_get_work("r1")


def test_restart_is_detected_from_list():
    made, again = directory()
    made.mark_gone("r1", 1.0)
    made.update(listed(200), 2.0)
    assert made.may_get_work("r1")
    assert again == ["r1"]


def test_replaced_instance_without_start_time_returns_after_list_that_lacks_it():
    """Without a start time, only a list that lacked the instance makes a later one count."""
    made = ReplicaDirectory()
    made.update(listed(), 0.0)
    made.mark_gone("r1", 1.0)
    made.update(listed(), 2.0)
    assert not made.may_get_work("r1")
    made.update([], 3.0)
    made.update(listed(at="r1:2"), 9.0)
    assert made.may_get_work("r1")
