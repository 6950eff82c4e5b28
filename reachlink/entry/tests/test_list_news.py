"""Reading the platform's list by turns."""

from random import Random

from reachlink.entry._list_news import TOLD_S, ListNews
from reachlink.entry._list_reader import LONGEST_TURN_S, ListReader, ReadingRole
from reachlink.membership import InstanceState, ListedInstance, ReplicaDirectory

NEW = ListedInstance("r1", "chat", "a", "r1:1")
LEAVES = ListedInstance("r2", "chat", "b", "r2:1", InstanceState.LEAVING)


def test_what_one_instance_finds_the_others_know():
    now = 10.0
    told: list[bool] = []
    one = ListNews(ReplicaDirectory(), lambda: told.append(True), lambda: now)
    directory = ReplicaDirectory()
    other = ListNews(directory, lambda: None, lambda: now)
    one.tell([NEW, LEAVES])
    other.take(one.recent())
    assert told and [r.name for r in directory.live("chat")] == ["r1"]


def test_a_finding_is_told_for_a_short_time():
    times = iter([10.0, 10.0 + TOLD_S / 2, 10.0 + 2 * TOLD_S])
    news = ListNews(ReplicaDirectory(), lambda: None, lambda: next(times))
    news.tell([NEW])
    assert len(news.recent()) == 1
    assert news.recent() == []


def test_nothing_found_is_not_told():
    told: list[bool] = []
    ListNews(ReplicaDirectory(), lambda: told.append(True)).tell([])
    assert not told


def reader(instances: int) -> ListReader:
    directory = ReplicaDirectory()
    news = ListNews(directory, lambda: None)
    return ListReader(
        None,  # type: ignore[arg-type]
        directory,
        news,
        lambda: instances,
        0.5,
        0.125,
        lambda: ReadingRole.READS,
        Random(1),
    )


def test_the_more_instances_share_the_reading_the_seldomer_each_reads():
    assert reader(1)._interval_s() == 0.5
    assert reader(8)._interval_s() == 1.0
    assert reader(400)._interval_s() == LONGEST_TURN_S
