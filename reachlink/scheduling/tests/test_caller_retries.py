"""Callers who come back: who finds its place, and what becomes of promises."""

import pytest

from reachlink.scheduling import (
    Begin,
    CallerRetryRegistry,
    Need,
    RefusalReason,
    Refuse,
    Wait,
    with_caller_retry,
)
from reachlink.scheduling import _caller_retries as returns

NEED = Need(tokens=2000, prompt_tokens=1000, give_up_in_s=39.0, workspace="w1", waited_s=0.5)
IN_S = 3.0
REFUSED = Refuse(IN_S, RefusalReason.OVER_SHARE, place_reserved=True)
NO_PLACE = Refuse(IN_S)
ONE, OTHER = 11, 12


@pytest.fixture
def book() -> CallerRetryRegistry:
    return CallerRetryRegistry()


def tell(
    book: CallerRetryRegistry, fingerprint: int = ONE, at: float = 100.0, refuse=REFUSED, need=NEED
):
    return book.record_outcome(None, fingerprint, "chat", need, refuse, at)


def test_timely_retry_is_credited_with_its_age(book):
    assert tell(book) == REFUSED
    back_at = 100.0 + IN_S + 0.2
    need = with_caller_retry(NEED, book.claim(ONE, back_at), back_at)
    assert need.waited_s == pytest.approx(0.5 + IN_S + 0.2)
    assert need.is_announced_retry


def test_early_retry_keeps_its_reservation_and_retry_time(book):
    tell(book)
    assert book.claim(ONE, 101.0) is None
    assert with_caller_retry(NEED, None, 101.0) == NEED
    # Refused again, whatever for, it is told the rest of its time.
    assert tell(book, at=101.0, refuse=NO_PLACE) == Refuse(IN_S - 1.0, RefusalReason.NO_ROOM, True)
    assert book.claim(ONE, 100.0 + IN_S) is not None


def test_reservation_is_claimed_only_once(book):
    tell(book)
    assert book.claim(ONE, 104.0) is not None
    assert book.claim(ONE, 104.0) is None


def test_reservation_expires(book):
    tell(book)
    assert book.claim(ONE, 100.0 + IN_S + returns.EXPIRY_DELAY_S) is None
    assert book.counts.missed == 1
    assert len(book) == 0


def test_reservation_of_another_request_cannot_be_claimed(book):
    tell(book)
    assert book.claim(OTHER, 104.0) is None
    assert book.claim(ONE, 104.0) is not None


def test_request_without_fingerprint_gets_no_reservation(book):
    assert tell(book, fingerprint=0) == replace_kept(REFUSED)
    assert len(book) == 0
    assert book.claim(0, 104.0) is None


def replace_kept(refuse: Refuse) -> Refuse:
    return Refuse(refuse.retry_after_s, refuse.reason, place_reserved=False)


def test_kept_broken_and_missed_reservations_are_counted(book):
    for fingerprint, start in [(1, Begin("r")), (2, Begin("r")), (3, REFUSED), (4, Wait(1.0))]:
        tell(book, fingerprint)
        reservation = book.claim(fingerprint, 104.0)
        book.record_outcome(
            reservation,
            fingerprint,
            "chat",
            with_caller_retry(NEED, reservation, 104.0),
            start,
            104.0,
        )
    tell(book, 5)
    book.reserved_tokens("chat", 200.0)
    counts = book.counts
    # The one that was refused again was promised a place again, and did not come.
    assert (counts.kept, counts.broken, counts.missed) == (2, 1, 2)
    assert counts.refused == {RefusalReason.OVER_SHARE: 6}


def test_early_retry_that_starts_drops_its_reservation(book):
    tell(book)
    assert book.record_outcome(None, ONE, "chat", NEED, Wait(1.0), 101.0) == Wait(1.0)
    assert book.reserved_tokens("chat", 101.0) == NEED.tokens
    assert book.record_outcome(None, ONE, "chat", NEED, Begin("r"), 101.0) == Begin("r")
    assert book.reserved_tokens("chat", 101.0) == 0
    book.reserved_tokens("chat", 200.0)
    assert book.counts.missed == 0


def test_restored_reservation_can_be_claimed_at_once(book):
    tell(book)
    reservation = book.claim(ONE, 104.0)
    book.restore(reservation, 110.0)
    assert book.reserved_tokens("chat", 110.0) == NEED.tokens
    need = with_caller_retry(NEED, book.claim(ONE, 110.1), 110.1)
    assert need.is_announced_retry
    assert need.waited_s == pytest.approx(10.6)
    book.restore(reservation, 111.0)
    assert book.claim(ONE, 111.0 + returns.EXPIRY_DELAY_S) is None


def test_refusal_without_reserved_place_reserves_no_memory(book):
    tell(book, refuse=NO_PLACE)
    assert book.reserved_tokens("chat", 100.0) == 0
    reservation = book.claim(ONE, 104.0)
    assert with_caller_retry(NEED, reservation, 104.0).is_announced_retry
    book.record_outcome(reservation, ONE, "chat", NEED, NO_PLACE, 104.0)
    assert (book.counts.kept, book.counts.broken) == (0, 0)


def test_reserved_memory_is_counted_until_claim_or_expiry(book):
    tell(book, ONE)
    tell(book, OTHER)
    assert book.reserved_tokens("chat", 101.0) == 2 * NEED.tokens
    assert book.reserved_tokens("other", 101.0) == 0
    book.claim(ONE, 103.0)
    assert book.reserved_tokens("chat", 103.0) == NEED.tokens
    assert book.reserved_tokens("chat", 120.0) == 0


def test_credited_age_of_repeated_refusals_is_bounded(book):
    now, need = 100.0, NEED
    for _ in range(40):
        tell(book, at=now, need=need)
        now += IN_S
        need = with_caller_retry(NEED, book.claim(ONE, now), now)
    assert need.waited_s == returns.MAX_CREDITED_AGE_S


def test_reservations_per_workspace_are_bounded(book):
    most = returns.MAX_PER_WORKSPACE
    told = [tell(book, fingerprint) for fingerprint in range(1, most + 2)]
    assert all(refuse.place_reserved for refuse in told[:-1])
    assert told[-1] == replace_kept(REFUSED)
    other = Need(tokens=2000, workspace="w2")
    assert tell(book, most + 9, need=other).place_reserved


def test_number_of_reservations_is_bounded_and_earliest_expiry_is_dropped(book):
    for number in range(returns.MAX_RESERVATIONS + 1):
        need = Need(tokens=1, workspace=str(number % 100))
        tell(book, number + 1, 100.0 + number * 1e-5, need=need)
    assert len(book) == returns.MAX_RESERVATIONS
    assert book.counts.dropped == 1
    assert book.claim(1, 104.0) is None
    assert book.claim(2, 104.0) is not None


def test_claimed_reservations_leave_nothing_behind(book):
    for number in range(3 * returns.MAX_RESERVATIONS):
        tell(book, number + 1, 100.0)
        book.claim(number + 1, 100.0 + IN_S)
    assert len(book) == 0
    assert len(book._expiries) <= 2 * returns.MAX_RESERVATIONS + 1
    assert not book._workspace_counts
