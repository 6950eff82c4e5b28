"""Reservations for retries are lost, claimed by others, or outgrow their bounds."""

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
from reachlink.scheduling import _caller_retries as caller_retries

NEED = Need(tokens=2000, prompt_tokens=1000, give_up_in_s=39.0, workspace="w1", waited_s=0.5)
RETRY_AFTER_S = 3.0
REFUSED = Refuse(RETRY_AFTER_S, RefusalReason.OVER_SHARE, place_reserved=True)
REFUSED_WITHOUT_PLACE = Refuse(RETRY_AFTER_S)
ONE, OTHER = 11, 12


@pytest.fixture
def registry() -> CallerRetryRegistry:
    return CallerRetryRegistry()


def refuse_request(
    registry: CallerRetryRegistry,
    fingerprint: int = ONE,
    at: float = 100.0,
    refuse=REFUSED,
    need=NEED,
):
    return registry.record_outcome(None, fingerprint, "chat", need, refuse, at)


def test_timely_retry_is_credited_with_its_age(registry):
    assert refuse_request(registry) == REFUSED
    retry_at = 100.0 + RETRY_AFTER_S + 0.2
    need = with_caller_retry(NEED, registry.claim(ONE, retry_at), retry_at)
    assert need.waited_s == pytest.approx(0.5 + RETRY_AFTER_S + 0.2)
    assert need.is_announced_retry


def test_early_retry_keeps_its_reservation_and_retry_time(registry):
    refuse_request(registry)
    assert registry.claim(ONE, 101.0) is None
    assert with_caller_retry(NEED, None, 101.0) == NEED
    # A further refusal, for whatever reason, gives the rest of the retry time.
    assert refuse_request(registry, at=101.0, refuse=REFUSED_WITHOUT_PLACE) == Refuse(
        RETRY_AFTER_S - 1.0, RefusalReason.NO_ROOM, True
    )
    assert registry.claim(ONE, 100.0 + RETRY_AFTER_S) is not None


def test_reservation_is_claimed_only_once(registry):
    refuse_request(registry)
    assert registry.claim(ONE, 104.0) is not None
    assert registry.claim(ONE, 104.0) is None


def test_reservation_expires(registry):
    refuse_request(registry)
    assert registry.claim(ONE, 100.0 + RETRY_AFTER_S + caller_retries.EXPIRY_DELAY_S) is None
    assert registry.counts.missed == 1
    assert len(registry) == 0


def test_reservation_of_another_request_cannot_be_claimed(registry):
    refuse_request(registry)
    assert registry.claim(OTHER, 104.0) is None
    assert registry.claim(ONE, 104.0) is not None


def test_request_without_fingerprint_gets_no_reservation(registry):
    assert refuse_request(registry, fingerprint=0) == without_place(REFUSED)
    assert len(registry) == 0
    assert registry.claim(0, 104.0) is None


def without_place(refuse: Refuse) -> Refuse:
    return Refuse(refuse.retry_after_s, refuse.reason, place_reserved=False)


def test_kept_broken_and_missed_reservations_are_counted(registry):
    for fingerprint, start in [(1, Begin("r")), (2, Begin("r")), (3, REFUSED), (4, Wait(1.0))]:
        refuse_request(registry, fingerprint)
        reservation = registry.claim(fingerprint, 104.0)
        registry.record_outcome(
            reservation,
            fingerprint,
            "chat",
            with_caller_retry(NEED, reservation, 104.0),
            start,
            104.0,
        )
    refuse_request(registry, 5)
    registry.reserved_tokens("chat", 200.0)
    counts = registry.counts
    # The request that was refused again got a second reservation, which was missed, too.
    assert (counts.kept, counts.broken, counts.missed) == (2, 1, 2)
    assert counts.refused == {RefusalReason.OVER_SHARE: 6}


def test_early_retry_that_starts_drops_its_reservation(registry):
    refuse_request(registry)
    assert registry.record_outcome(None, ONE, "chat", NEED, Wait(1.0), 101.0) == Wait(1.0)
    assert registry.reserved_tokens("chat", 101.0) == NEED.tokens
    assert registry.record_outcome(None, ONE, "chat", NEED, Begin("r"), 101.0) == Begin("r")
    assert registry.reserved_tokens("chat", 101.0) == 0
    registry.reserved_tokens("chat", 200.0)
    assert registry.counts.missed == 0


def test_restored_reservation_can_be_claimed_at_once(registry):
    refuse_request(registry)
    reservation = registry.claim(ONE, 104.0)
    registry.restore(reservation, 110.0)
    assert registry.reserved_tokens("chat", 110.0) == NEED.tokens
    need = with_caller_retry(NEED, registry.claim(ONE, 110.1), 110.1)
    assert need.is_announced_retry
    assert need.waited_s == pytest.approx(10.6)
    registry.restore(reservation, 111.0)
    assert registry.claim(ONE, 111.0 + caller_retries.EXPIRY_DELAY_S) is None


def test_refusal_without_reserved_place_reserves_no_memory(registry):
    refuse_request(registry, refuse=REFUSED_WITHOUT_PLACE)
    assert registry.reserved_tokens("chat", 100.0) == 0
    reservation = registry.claim(ONE, 104.0)
    assert with_caller_retry(NEED, reservation, 104.0).is_announced_retry
    registry.record_outcome(reservation, ONE, "chat", NEED, REFUSED_WITHOUT_PLACE, 104.0)
    assert (registry.counts.kept, registry.counts.broken) == (0, 0)


def test_reserved_memory_is_counted_until_claim_or_expiry(registry):
    refuse_request(registry, ONE)
    refuse_request(registry, OTHER)
    assert registry.reserved_tokens("chat", 101.0) == 2 * NEED.tokens
    assert registry.reserved_tokens("other", 101.0) == 0
    registry.claim(ONE, 103.0)
    assert registry.reserved_tokens("chat", 103.0) == NEED.tokens
    assert registry.reserved_tokens("chat", 120.0) == 0


def test_credited_age_of_repeated_refusals_is_bounded(registry):
    now, need = 100.0, NEED
    for _ in range(40):
        refuse_request(registry, at=now, need=need)
        now += RETRY_AFTER_S
        need = with_caller_retry(NEED, registry.claim(ONE, now), now)
    assert need.waited_s == caller_retries.MAX_CREDITED_AGE_S


def test_reservations_per_workspace_are_bounded(registry):
    limit = caller_retries.MAX_PER_WORKSPACE
    refusals = [refuse_request(registry, fingerprint) for fingerprint in range(1, limit + 2)]
    assert all(refuse.place_reserved for refuse in refusals[:-1])
    assert refusals[-1] == without_place(REFUSED)
    other = Need(tokens=2000, workspace="w2")
    assert refuse_request(registry, limit + 9, need=other).place_reserved


def test_number_of_reservations_is_bounded_and_earliest_expiry_is_dropped(registry):
    for number in range(caller_retries.MAX_RESERVATIONS + 1):
        need = Need(tokens=1, workspace=str(number % 100))
        refuse_request(registry, number + 1, 100.0 + number * 1e-5, need=need)
    assert len(registry) == caller_retries.MAX_RESERVATIONS
    assert registry.counts.dropped == 1
    assert registry.claim(1, 104.0) is None
    assert registry.claim(2, 104.0) is not None


def test_claimed_reservations_leave_nothing_behind(registry):
    for number in range(3 * caller_retries.MAX_RESERVATIONS):
        refuse_request(registry, number + 1, 100.0)
        registry.claim(number + 1, 100.0 + RETRY_AFTER_S)
    assert len(registry) == 0
    assert len(registry._expiries) <= 2 * caller_retries.MAX_RESERVATIONS + 1
    assert not registry._workspace_counts
