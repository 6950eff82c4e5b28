"""Backoffs, rate limits and refusals of a replica combined into one decision; no network."""

from random import Random

import pytest

from reachlink.pacing import HoldReason, PacingTracker
from reachlink.pacing import _backoffs as backoffs
from reachlink.pacing import _refusals as refusals
from reachlink.pacing._limits import MAX_PERMIT_POLL_S

A, B = "10.0.0.1:1", "10.0.0.2:1"
BACKOFF_S = 3.0
ENDED_S = BACKOFF_S + backoffs.MAX_SPREAD_S


@pytest.fixture
def book() -> PacingTracker:
    return PacingTracker(Random(1))


def block(book: PacingTracker, address: str, until: float) -> None:
    book.limits.record(address, 3.3, 0.0)
    book.limits.block(address, until, 0.0)


def test_hold_lasts_until_the_first_backoff_ends(book):
    assert book.hold([], 0.0) is None
    book.backoffs.record(A, 30.0, 0.0)
    assert book.hold([A, B], 0.0) is None
    book.backoffs.record(B, 3.0, 0.0)
    held = book.hold([A, B], 0.0)
    assert held.reason is HoldReason.BACKOFF
    assert 3.0 <= held.remaining_s <= ENDED_S
    # The backoff is over, but the replica is not at its usual load yet.
    assert book.hold([A, B], ENDED_S).remaining_s == 0.0


def test_hold_has_the_reason_of_the_first_available_replica(book):
    book.backoffs.record(A, 30.0, 0.0)
    block(book, B, 0.5)
    held = book.hold([A, B], 0.0)
    assert (held.reason, held.remaining_s) == (HoldReason.LIMIT, 0.5)
    # A replica with a limit and a free permit counts as fully available.
    assert book.hold([A, B], 0.6) is None


def test_backoff_and_limit_both_block_a_replica(book):
    book.backoffs.record(A, BACKOFF_S, 0.0)
    assert not book.admits(A, BACKOFF_S)
    block(book, A, 60.0)
    assert book.remaining_s(A, 0.0) == 60.0
    assert not book.admits(A, MAX_PERMIT_POLL_S)
    block(book, B, 0.4)
    assert not book.admits(B, 0.3)
    assert book.admits(B, 0.4)


def test_requests_may_wait_for_a_permit_but_not_for_a_backoff(book):
    block(book, A, 0.4)
    assert not book.admits(A, 0.0)
    assert book.admits(A, 0.0, max_wait_s=0.4)
    book.backoffs.record(A, 0.1, 0.0)
    assert not book.admits(A, 0.0, max_wait_s=0.4)


def test_state_is_dropped_if_the_address_is_reused(book):
    block(book, A, 60.0)
    book.backoffs.record(A, 60.0, 0.0)
    book.on_address_reused(A)
    assert book.admits(A, 0.0)
    assert book.is_empty


def test_permit_is_requested_again_before_its_announced_time(book):
    """The next permit must be requested again before its announced time.

    The owner of the limit may change, and its share with it: an instance that has just started
    grants a small share only, and may announce a wait of 20 s.
    """
    block(book, A, 20.0)
    assert not book.admits(A, MAX_PERMIT_POLL_S / 2)
    assert book.admits(A, MAX_PERMIT_POLL_S)
    # Callers are told the wait that was announced last.
    assert book.hold([A], MAX_PERMIT_POLL_S).remaining_s == 20.0 - MAX_PERMIT_POLL_S


def test_refusals_affect_placement_only(book):
    book.refusals.note_refused(A, 0.0, 0.0)
    assert not book.admits(A, 0.01)
    assert book.remaining_s(A, 0.01) == 0.0
    assert book.hold([A, B], 0.01) is None
    book.refusals.note_refused(B, 0.0, 0.0)
    held = book.hold([A, B], 0.01)
    assert held.reason is HoldReason.REFUSING
    assert held.remaining_s == pytest.approx(refusals.FIRST_WAIT_S - 0.01)


@pytest.mark.parametrize("end", [lambda b: b.on_restart(A, 1.0), lambda b: b.on_address_reused(A)])
def test_refusals_are_dropped_on_restart_or_address_reuse(book, end):
    book.refusals.note_refused(A, 0.0, 1.0)
    end(book)
    assert book.admits(A, 1.0) and book.is_empty
