"""Tests of the crashes known to several instances, with lost, late and repeated messages."""

from random import Random

import msgspec
import pytest

from reachlink.quarantine import (
    CRASH_RETENTION_S,
    MAX_KEPT,
    Fingerprinter,
    Quarantine,
    QuarantineNote,
)

GUILTY, OTHER = 1, 2


def crash(quarantine: Quarantine, at: float, fingerprint: int = GUILTY, begun: bool = False):
    quarantine.note_crash(fingerprint, f"r{at}", at - 0.1, at, begun, at)


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
    assert here.clear(GUILTY, 4.0)
    there.take(over_the_wire(here.news(4.1)), 4.1)
    here.take(old, 3.1 + 1.0)
    assert [q.verdict(GUILTY, 4.2) for q in (here, there)] == [None, None]
    assert here.digest() == there.digest()


def test_crashes_after_a_clearance_count():
    quarantine = Quarantine(Random(1))
    crash(quarantine, 1.0)
    quarantine.clear(GUILTY, 1.5)
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
        crash(quarantine, at, fingerprint=0)
    assert quarantine.verdict(0, 3.0) is None


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
            crash(instances[one], now, random.randrange(1, 6), random.random() < 0.3)
        elif what < 0.4:
            instances[one].clear(random.randrange(1, 6), now)
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
    held = [{v.fingerprint for v in q.held(now)} for q in instances]
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
