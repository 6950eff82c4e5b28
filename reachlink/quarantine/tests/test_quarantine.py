"""Tests of the crashes known to several instances, with lost, late and repeated messages."""

import itertools
from random import Random

import msgspec
import pytest

from reachlink.quarantine import (
    CRASH_RETENTION_S,
    MAX_KEPT,
    ClearanceNote,
    CrashNote,
    Fingerprinter,
    Quarantine,
    QuarantineNote,
)
from reachlink.upstreams import RequestFeatures

GUILTY, OTHER = RequestFeatures(1), RequestFeatures(2)


def crash(
    quarantine: Quarantine, at: float, features: RequestFeatures = GUILTY, late: bool = False
) -> None:
    quarantine.note_crash(features, f"r{at}", at - 0.1, at, late, at)


def clear(quarantine: Quarantine, features: RequestFeatures, at: float) -> bool:
    """Record a complete answer that began just before."""
    return quarantine.note_sound(features, at, complete=True, now=at)


def over_the_wire(note: QuarantineNote) -> QuarantineNote:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(note), type=QuarantineNote)


def test_crashes_at_several_instances_add_up():
    here, there = Quarantine(Random(1)), Quarantine(Random(2))
    crash(here, 1.0)
    crash(there, 2.0)
    assert here.take(over_the_wire(there.news(2.1)), 2.1)
    assert here.verdict(GUILTY, 2.1) is None
    crash(here, 3.0)
    assert here.verdict(GUILTY, 3.0) is not None


def test_repeated_note_counts_as_one_crash():
    here, there = Quarantine(Random(1)), Quarantine(Random(2))
    crash(there, 1.0)
    for _ in range(5):
        here.take(over_the_wire(there.everything(1.2)), 1.2)
    assert here.digest() == there.digest()
    assert not here.take(there.everything(1.3), 1.3)
    assert here.verdict(GUILTY, 1.3) is None


def test_clearance_covers_crash_notes_that_arrive_later():
    here, there = Quarantine(Random(1)), Quarantine(Random(2))
    for at in (1.0, 2.0, 3.0):
        crash(there, at)
    old = over_the_wire(there.everything(3.1))
    here.take(old, 3.1)
    assert clear(here, GUILTY, 4.0)
    there.take(over_the_wire(here.news(4.1)), 4.1)
    here.take(old, 3.1 + 1.0)
    assert [q.verdict(GUILTY, 4.2) for q in (here, there)] == [None, None]
    assert here.digest() == there.digest()


def test_crashes_after_a_clearance_count():
    quarantine = Quarantine(Random(1))
    crash(quarantine, 1.0)
    clear(quarantine, GUILTY, 1.5)
    for at in (2.0, 3.0):
        crash(quarantine, at)
    assert quarantine.verdict(GUILTY, 3.0) is None
    crash(quarantine, 4.0)
    assert quarantine.verdict(GUILTY, 4.0) is not None


def test_one_crash_holds_again_an_hour_after_the_first():
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at)
    assert quarantine.verdict(GUILTY, CRASH_RETENTION_S) is not None
    assert quarantine.verdict(GUILTY, CRASH_RETENTION_S + 1.5) is None
    crash(quarantine, CRASH_RETENTION_S + 1.6)
    assert quarantine.verdict(GUILTY, CRASH_RETENTION_S + 1.6) is not None


def test_request_without_fingerprint_is_never_held():
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at, RequestFeatures())
    assert quarantine.verdict(RequestFeatures(), 3.0) is None


def test_flood_of_other_requests_does_not_evict_held_request():
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at)
    quarantine.take(_flood(2 * MAX_KEPT), 5.0)
    assert quarantine.verdict(GUILTY, 5.0) is not None
    assert len(quarantine.everything(5.0).crashes) == MAX_KEPT


def _flood(count: int) -> QuarantineNote:
    other = Quarantine(Random(2))
    crash(other, 4.0, OTHER)
    (one,) = other.everything(5.0).crashes
    crashes = [
        msgspec.structs.replace(one, note_id=n + 10, fingerprint=n + 10) for n in range(count)
    ]
    return QuarantineNote(crashes=crashes)


def features(random: Random) -> RequestFeatures:
    """Return a request of a few, with parts of a few."""
    parts = tuple(random.sample(range(10, 16), random.randrange(3)))
    return RequestFeatures(random.randrange(1, 6), parts, random.randrange(3))


@pytest.mark.parametrize("seed", range(30))
def test_instances_converge_despite_unreliable_messages(seed):
    """Messages are lost, late, repeated and reordered; a restarted instance has no notes."""
    random = Random(seed)
    instances = [Quarantine(Random(seed * 10 + n)) for n in range(4)]
    late: list[tuple[QuarantineNote, float]] = []
    now = 100.0
    for _ in range(120):
        now += random.uniform(0.01, 0.3)
        one, another = random.sample(range(4), 2)
        what = random.random()
        if what < 0.3:
            crash(instances[one], now, features(random), random.random() < 0.3)
        elif what < 0.4:
            clear(instances[one], features(random), now)
        elif what < 0.43:
            instances[one] = Quarantine(Random(random.getrandbits(64)))
        elif what < 0.7:
            late.append((over_the_wire(instances[one].news(now)), now))
        elif late:
            note, _ = late[random.randrange(len(late))]
            instances[another].take(note, now)
    for _ in range(3):
        for one in instances:
            for other in instances:
                one.take(over_the_wire(other.everything(now)), now)
    held = [{v.digests for v in q.held(now)} for q in instances]
    assert held == [held[0]] * 4
    assert len({q.digest() for q in instances}) == 1


def test_fingerprint_depends_on_secret_workspace_method_target_and_body():
    maker = Fingerprinter(b"secret")
    one = maker.fingerprint("w", "POST", "h/a", b"body")
    assert one == Fingerprinter(b"secret").fingerprint("w", "POST", "h/a", b"body")
    others = [
        maker.fingerprint("v", "POST", "h/a", b"body"),
        maker.fingerprint("w", "GET", "h/a", b"body"),
        maker.fingerprint("w", "POST", "h/b", b"body"),
        maker.fingerprint("w", "POST", "h/a", b"Body"),
        maker.fingerprint("wP", "OST", "h/a", b"body"),
        Fingerprinter(b"other").fingerprint("w", "POST", "h/a", b"body"),
    ]
    assert one not in others


SYSTEM, DEADLY, DOCUMENT = 11, 12, 13
_own_parts = itertools.count(1000)


def request(*parts: int, model: int = 0) -> RequestFeatures:
    """Return a new request whose prompt has these parts and one of its own."""
    own = next(_own_parts)
    return RequestFeatures(own, (*parts, own + 100_000), model)


def held(quarantine: Quarantine, features: RequestFeatures, now: float = 10.0) -> bool:
    return quarantine.verdict(features, now) is not None


def test_request_with_the_part_is_held_and_those_that_share_its_other_parts_are_not():
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at, request(SYSTEM, DEADLY, DOCUMENT))
    assert held(quarantine, request(SYSTEM, DEADLY, DOCUMENT))
    assert not held(quarantine, request(SYSTEM, DOCUMENT))
    assert not held(quarantine, request(SYSTEM))


def test_sound_answer_clears_the_parts_beside_the_one_that_crashes_replicas():
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at, request(SYSTEM, DEADLY, DOCUMENT))
    assert not held(quarantine, request(DEADLY))
    assert clear(quarantine, request(SYSTEM, DOCUMENT), 3.5)
    assert held(quarantine, request(DEADLY))
    assert not held(quarantine, request(SYSTEM, DOCUMENT))


def test_answer_that_began_before_a_crash_does_not_clear_it():
    """A part may crash replicas of new weights and have been sound at the old ones."""
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at, request(DEADLY))
    assert not quarantine.note_sound(request(DEADLY), begun_at=0.5, complete=True, now=4.0)
    assert held(quarantine, request(DEADLY))


def test_answer_under_way_clears_early_crashes_only():
    quarantine = Quarantine(Random(1))
    crash(quarantine, 1.0, request(SYSTEM))
    crash(quarantine, 1.0, request(DOCUMENT), late=True)
    assert quarantine.note_sound(request(SYSTEM), begun_at=2.0, complete=False, now=3.1)
    assert not quarantine.note_sound(request(DOCUMENT), begun_at=2.0, complete=False, now=3.1)
    assert quarantine.note_sound(request(DOCUMENT), begun_at=2.0, complete=True, now=3.2)


def test_part_that_is_sound_with_another_model_is_held_with_the_one_that_crashes():
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at, request(SYSTEM, DEADLY, model=1))
    clear(quarantine, request(DEADLY, model=2), 4.0)
    clear(quarantine, request(SYSTEM, model=1), 4.0)
    assert held(quarantine, request(DEADLY, model=1))
    assert not held(quarantine, request(DEADLY, model=2))


def test_part_that_crashes_replicas_of_two_models_is_held_with_any():
    quarantine = Quarantine(Random(1))
    for at, model in ((1.0, 1), (2.0, 2), (3.0, 1)):
        crash(quarantine, at, request(DEADLY, model=model))
    assert held(quarantine, request(DEADLY, model=3))


def test_clearance_of_a_part_reaches_other_instances():
    here, there = Quarantine(Random(1)), Quarantine(Random(2))
    for at in (1.0, 2.0, 3.0):
        crash(here, at, request(SYSTEM, DEADLY))
    there.take(over_the_wire(here.everything(3.1)), 3.1)
    clear(there, request(SYSTEM), 3.5)
    here.take(over_the_wire(there.news(3.6)), 3.6)
    assert held(here, request(DEADLY))
    assert here.digest() == there.digest()


def test_release_voids_the_crashes_for_all_that_was_there():
    """What only shared the replicas would be held in place of what is released."""
    quarantine = Quarantine(Random(1))
    for at in (1.0, 2.0, 3.0):
        crash(quarantine, at, request(DEADLY))
        crash(quarantine, at, request(DOCUMENT))
    (verdict,) = quarantine.held(3.0)
    assert quarantine.release(verdict.fingerprint, 4.0)
    assert quarantine.held(4.0) == []
    assert not quarantine.release(verdict.fingerprint, 4.0)


def test_notes_of_the_former_format_are_read():
    """Instances of the former version name no parts in crashes, and no digests in clearances."""
    note = QuarantineNote(crashes=[CrashNote(5, 1, "r1", 0.1, 0.0, False)])
    old = msgspec.msgpack.encode([9, [[5, 1, "r1", 0.1, 0.0, False]], []])
    assert msgspec.msgpack.decode(old, type=QuarantineNote).crashes == note.crashes
    quarantine = Quarantine(Random(1))
    quarantine.take(note, 1.0)
    assert quarantine.suspects == {1}
    quarantine.take(QuarantineNote(clearances=[ClearanceNote(6, 0.0, (5,))]), 2.0)
    assert quarantine.suspects == set()


def test_part_that_had_a_sound_answer_just_before_weighs_half():
    """A part that many requests share is in more crashes than those that cause them."""
    quarantine = Quarantine(Random(1))
    assert not clear(quarantine, request(SYSTEM), 0.5)
    for at, part in ((1.0, DEADLY), (2.0, DOCUMENT), (3.0, DEADLY), (4.0, DOCUMENT)):
        crash(quarantine, at, request(SYSTEM, part))
    assert quarantine.held(4.0) == []
    crash(quarantine, 5.0, request(SYSTEM, DEADLY))
    assert held(quarantine, request(SYSTEM, DEADLY))
    assert not held(quarantine, request(SYSTEM))


def test_part_that_was_sound_until_just_before_is_held_after_six_crashes():
    quarantine = Quarantine(Random(1))
    clear(quarantine, request(DEADLY), 0.5)
    for at in range(1, 6):
        crash(quarantine, float(at), request(DEADLY))
    assert quarantine.held(5.0) == []
    crash(quarantine, 6.0, request(DEADLY))
    assert held(quarantine, request(DEADLY))


def test_other_instances_know_which_parts_had_sound_answers_where_a_replica_crashed():
    here, there = Quarantine(Random(1)), Quarantine(Random(2))
    clear(here, request(SYSTEM), 0.5)
    for at in (1.0, 2.0, 3.0):
        crash(here, at, request(SYSTEM, request().parts[0]))
    there.take(over_the_wire(here.everything(3.1)), 3.1)
    assert [there.held(3.1), here.held(3.1)] == [[], []]
    assert not held(there, request(SYSTEM))
