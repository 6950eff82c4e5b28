"""Callers who come back: who finds its place, and what becomes of promises."""

import pytest

from reachlink.scheduling import (
    Begin,
    Need,
    RefusalReason,
    Refuse,
    ReturnBook,
    Wait,
    with_return,
)
from reachlink.scheduling import _returns as returns

NEED = Need(tokens=2000, prompt_tokens=1000, give_up_in_s=39.0, workspace="w1", waited_s=0.5)
IN_S = 3.0
REFUSED = Refuse(IN_S, RefusalReason.OVER_SHARE, kept=True)
NO_PLACE = Refuse(IN_S)
ONE, OTHER = 11, 12


@pytest.fixture
def book() -> ReturnBook:
    return ReturnBook()


def tell(book: ReturnBook, fingerprint: int = ONE, at: float = 100.0, refuse=REFUSED, need=NEED):
    return book.settle(None, fingerprint, "chat", need, refuse, at)


def test_who_comes_back_in_its_time_gets_its_age_back(book):
    assert tell(book) == REFUSED
    back_at = 100.0 + IN_S + 0.2
    need = with_return(NEED, book.take(ONE, back_at), back_at)
    assert need.waited_s == pytest.approx(0.5 + IN_S + 0.2)
    assert need.returner


def test_who_comes_early_gains_nothing_and_loses_nothing(book):
    tell(book)
    assert book.take(ONE, 101.0) is None
    assert with_return(NEED, None, 101.0) == NEED
    # Refused again, whatever for, it is told the rest of its time.
    assert tell(book, at=101.0, refuse=NO_PLACE) == Refuse(IN_S - 1.0, RefusalReason.NO_ROOM, True)
    assert book.take(ONE, 100.0 + IN_S) is not None


def test_who_asks_twice_finds_its_promise_taken(book):
    tell(book)
    assert book.take(ONE, 104.0) is not None
    assert book.take(ONE, 104.0) is None


def test_who_comes_too_late_finds_nothing(book):
    tell(book)
    assert book.take(ONE, 100.0 + IN_S + returns.KEPT_S) is None
    assert book.counts.not_taken_up == 1
    assert len(book) == 0


def test_nobody_comes_in_the_place_of_another(book):
    tell(book)
    assert book.take(OTHER, 104.0) is None
    assert book.take(ONE, 104.0) is not None


def test_who_cannot_be_known_again_is_promised_nothing(book):
    assert tell(book, fingerprint=0) == replace_kept(REFUSED)
    assert len(book) == 0
    assert book.take(0, 104.0) is None


def replace_kept(refuse: Refuse) -> Refuse:
    return Refuse(refuse.come_back_in_s, refuse.reason, kept=False)


def test_promises_kept_and_broken_are_counted(book):
    for fingerprint, start in [(1, Begin("r")), (2, Begin("r")), (3, REFUSED), (4, Wait(1.0))]:
        tell(book, fingerprint)
        promise = book.take(fingerprint, 104.0)
        book.settle(promise, fingerprint, "chat", with_return(NEED, promise, 104.0), start, 104.0)
    tell(book, 5)
    book.reserved_tokens("chat", 200.0)
    counts = book.counts
    # The one that was refused again was promised a place again, and did not come.
    assert (counts.kept, counts.broken, counts.not_taken_up) == (2, 1, 2)
    assert counts.refused == {RefusalReason.OVER_SHARE: 6}


def test_who_comes_early_and_begins_leaves_no_place_behind(book):
    tell(book)
    assert book.settle(None, ONE, "chat", NEED, Wait(1.0), 101.0) == Wait(1.0)
    assert book.reserved_tokens("chat", 101.0) == NEED.tokens
    assert book.settle(None, ONE, "chat", NEED, Begin("r"), 101.0) == Begin("r")
    assert book.reserved_tokens("chat", 101.0) == 0
    book.reserved_tokens("chat", 200.0)
    assert book.counts.not_taken_up == 0


def test_what_is_given_back_is_there_for_who_asks_again_at_once(book):
    tell(book)
    promise = book.take(ONE, 104.0)
    book.give_back(promise, 110.0)
    assert book.reserved_tokens("chat", 110.0) == NEED.tokens
    need = with_return(NEED, book.take(ONE, 110.1), 110.1)
    assert need.returner
    assert need.waited_s == pytest.approx(10.6)
    book.give_back(promise, 111.0)
    assert book.take(ONE, 111.0 + returns.KEPT_S) is None


def test_a_time_without_a_place_is_no_promise_of_one(book):
    tell(book, refuse=NO_PLACE)
    assert book.reserved_tokens("chat", 100.0) == 0
    promise = book.take(ONE, 104.0)
    assert with_return(NEED, promise, 104.0).returner
    book.settle(promise, ONE, "chat", NEED, NO_PLACE, 104.0)
    assert (book.counts.kept, book.counts.broken) == (0, 0)


def test_memory_for_those_who_were_told_is_counted_until_they_come_or_are_late(book):
    tell(book, ONE)
    tell(book, OTHER)
    assert book.reserved_tokens("chat", 101.0) == 2 * NEED.tokens
    assert book.reserved_tokens("other", 101.0) == 0
    book.take(ONE, 103.0)
    assert book.reserved_tokens("chat", 103.0) == NEED.tokens
    assert book.reserved_tokens("chat", 120.0) == 0


def test_the_age_of_who_is_refused_again_and_again_grows_up_to_a_bound(book):
    now, need = 100.0, NEED
    for _ in range(40):
        tell(book, at=now, need=need)
        now += IN_S
        need = with_return(NEED, book.take(ONE, now), now)
    assert need.waited_s == returns.MAX_AGE_S


def test_one_workspace_is_promised_so_much_and_no_more(book):
    most = returns.MAX_OF_WORKSPACE
    told = [tell(book, fingerprint) for fingerprint in range(1, most + 2)]
    assert all(refuse.kept for refuse in told[:-1])
    assert told[-1] == replace_kept(REFUSED)
    other = Need(tokens=2000, workspace="w2")
    assert tell(book, most + 9, need=other).kept


def test_their_number_is_bounded_and_what_ends_first_goes(book):
    for number in range(returns.MAX_PROMISES + 1):
        need = Need(tokens=1, workspace=str(number % 100))
        tell(book, number + 1, 100.0 + number * 1e-5, need=need)
    assert len(book) == returns.MAX_PROMISES
    assert book.counts.dropped == 1
    assert book.take(1, 104.0) is None
    assert book.take(2, 104.0) is not None


def test_what_is_taken_leaves_nothing_behind(book):
    for number in range(3 * returns.MAX_PROMISES):
        tell(book, number + 1, 100.0)
        book.take(number + 1, 100.0 + IN_S)
    assert len(book) == 0
    assert len(book._ends) <= 2 * returns.MAX_PROMISES + 1
    assert not book._of_workspace
