"""What instances know of each other."""

from reachlink.entry import Digest, DigestBook, ReplicaLoad
from reachlink.entry._digests import DIGEST_LIFETIME_S, PlacementNote
from reachlink.placement import MemoryProfile

LATE = DIGEST_LIFETIME_S + 1.0


def digest(name: str, zone: str, count: int = 0, demand: float = 0.0) -> Digest:
    profile = MemoryProfile([100.0 * count] * 8, [0.0] * 8, float(count))
    loads = [ReplicaLoad.of_profile("r1", profile)] if count else []
    return Digest(name, zone, 1, True, loads, {"chat/w": demand} if demand else {})


def test_a_zone_that_falls_silent_keeps_its_part_of_the_limits():
    book = DigestBook("z1")
    for name, zone in (("a", "z1"), ("b", "z2"), ("c", "z2")):
        book.take(digest(name, zone, demand=2.0), 0.0)
    book.take(digest("a", "z1", demand=2.0), LATE)
    assert sorted(book.drop_old(LATE)) == ["b", "c"]
    assert book.limit_instances() == 4
    assert book.others_demand() == {"chat/w": 6.0}
    book.take(digest("b", "z2", demand=1.0), LATE)
    assert book.limit_instances() == 3
    assert book.others_demand() == {"chat/w": 3.0}


def test_an_instance_that_dies_alone_gives_its_part_back():
    book = DigestBook("z1")
    for name in "ab":
        book.take(digest(name, "z1"), 0.0)
    book.take(digest("a", "z1"), LATE)
    book.drop_old(LATE)
    assert book.limit_instances() == 2


def test_a_silent_peer_counts_for_no_load():
    book = DigestBook("z1")
    book.take(digest("a", "z2", count=5), 0.0)
    assert book.others_load()["r1"].count == 5
    book.drop_old(LATE)
    assert book.others_load() == {}


def test_notes_count_until_the_next_digest_includes_them():
    book = DigestBook("z1")
    book.take(digest("a", "z1", count=1), 0.0)
    (load,) = digest("a", "z1", count=1).loads
    assert book.take_note(PlacementNote("a", load))
    assert book.others_load()["r1"].count == 2
    book.take(digest("a", "z1", count=2), 1.0)
    assert book.others_load()["r1"].count == 2
    assert not book.take_note(PlacementNote("stranger", load))
