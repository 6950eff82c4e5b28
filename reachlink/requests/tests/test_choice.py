"""Choice of the replica for a request or a copy."""

from random import Random

from reachlink.requests import AttemptFailure, AttemptLog
from reachlink.requests._event_merger import EventMerger
from reachlink.scheduling import (
    DEPARTURE_COPY_RULES,
    LOCAL_COPY_RULES,
    STANDING_COPY_RULES,
    ReplicaOption,
    choose_replica,
)
from reachlink.upstreams import StreamEvent

RANDOM = Random(3)


def engine(
    name: str,
    tokens: int,
    near: bool = True,
    unread: int = 0,
    trust: float = 1.0,
    used: int = 0,
    copies: int = 0,
) -> ReplicaOption:
    return ReplicaOption(name, near, 1, 64, tokens, unread, 30_000, trust, used, copies)


def plain(name: str, running: int, near: bool = True, trust: float = 1.0) -> ReplicaOption:
    return ReplicaOption(name, near, running, 6, allowance=trust)


def test_least_loaded_engine_is_chosen():
    assert choose_replica([engine("a", 9000), engine("b", 3000)], 2000, RANDOM) == "b"


def test_unread_prompts_count():
    assert choose_replica([engine("a", 6000), engine("b", 3000, unread=6000)], 2000, RANDOM) == "a"


def test_engine_in_own_zone_that_starts_in_time_is_preferred_to_idle_one_in_other_zone():
    far = engine("far", 0, near=False)
    assert choose_replica([engine("near", 12_000, unread=2000), far], 2000, RANDOM) == "near"
    assert choose_replica([engine("near", 12_000, unread=4000), far], 2000, RANDOM) == "far"
    assert choose_replica([engine("near", 27_000), far], 2000, RANDOM) == "far"


def test_least_loaded_engine_in_own_zone_that_starts_in_time_is_chosen():
    options = [engine("a", 9000), engine("b", 3000), engine("far", 0, near=False)]
    assert choose_replica(options, 2000, RANDOM) == "b"


def test_engine_without_room_gets_no_request():
    assert choose_replica([engine("a", 29_000)], 4000, RANDOM) is None


def test_request_counts_expected_memory_and_copy_counts_used_memory():
    promised = [engine("a", 29_000, used=15_000)]
    assert choose_replica(promised, 4000, RANDOM) is None
    assert choose_replica(promised, 4000, RANDOM, STANDING_COPY_RULES) == "a"
    assert (
        choose_replica([engine("a", 29_000, used=22_000)], 4000, RANDOM, STANDING_COPY_RULES)
        is None
    )


def test_copies_are_evicted_for_requests_and_departure_copies_but_not_for_standing_copies():
    options = [engine("a", 15_000, used=12_000, copies=12_000)]
    assert choose_replica(options, 4000, RANDOM) == "a"
    assert choose_replica(options, 4000, RANDOM, DEPARTURE_COPY_RULES) == "a"
    assert choose_replica(options, 4000, RANDOM, STANDING_COPY_RULES) is None


def test_departure_copy_uses_any_free_memory():
    assert (
        choose_replica([engine("a", 33_000, used=26_000)], 4000, RANDOM, DEPARTURE_COPY_RULES)
        == "a"
    )
    assert (
        choose_replica([engine("a", 33_000, used=26_100)], 4000, RANDOM, DEPARTURE_COPY_RULES)
        is None
    )


def test_copy_of_generation_in_other_zone_is_placed_in_own_zone():
    options = [engine("near", 9000), engine("far", 0, near=False)]
    assert choose_replica(options, 3000, RANDOM, STANDING_COPY_RULES) == "far"
    assert choose_replica(options, 3000, RANDOM, LOCAL_COPY_RULES) == "near"


def test_plain_replica_with_fewest_requests_is_chosen_and_own_zone_breaks_ties():
    assert choose_replica([plain("a", 2), plain("b", 1)], 0, RANDOM) == "b"
    assert choose_replica([plain("a", 2, near=False), plain("b", 2)], 0, RANDOM) == "b"
    assert choose_replica([plain("a", 1, near=False), plain("b", 3)], 0, RANDOM) == "a"


def test_only_replica_is_used_while_it_recovers():
    """Otherwise, nine of ten requests are refused after a partition because of low allowances."""
    assert all(choose_replica([plain("a", 1, trust=0.1)], 0, RANDOM) == "a" for _ in range(100))


def test_replica_with_zero_allowance_gets_no_request():
    assert choose_replica([plain("a", 1, trust=0.0)], 0, RANDOM) is None


def test_request_that_may_have_run_is_not_sent_again():
    attempts = AttemptLog(may_repeat=False, max_attempts=5)
    attempts.record_failure(AttemptFailure.UNREACHABLE)
    attempts.record_failure(AttemptFailure.NOT_RUN)
    assert attempts.may_try_another_replica() and attempts.sent == 1
    attempts.record_failure(AttemptFailure.BROKEN)
    assert not attempts.may_try_another_replica()


def test_events_without_numbers_are_forwarded():
    assert EventMerger().merge([StreamEvent(-1, b"a"), StreamEvent(-1, b"b")]) == b"ab"
