"""Placement by expected loss: requests go to engines where they or others become late."""

from random import Random

import pytest

from reachlink.scheduling import (
    DEPARTURE_COPY_RULES,
    Begin,
    Need,
    Pace,
    ReplicaOption,
    best_start,
    choose_replica,
)

FAST = Pace(steady=0.55, slow_factor=2.5, slow_share=0.15, age_s=0.0)
SLOW = Pace(steady=1.2, slow_factor=2.5, slow_share=0.15, age_s=0.0)
SLOW_PHASE = Pace(steady=1.2, momentary=2.5, slow_factor=2.5, slow_share=0.15, age_s=0.0)
NOMINAL = Pace(age_s=0.0)
LONG_ANSWER = Need(3827, 3079, first_event_due_in_s=1.8, max_pause_s=0.18)
SHORT_ANSWER = Need(2558, 2550, first_event_due_in_s=1.5, max_pause_s=0.18)


def engine(
    name: str, pace: Pace | None, long_answers: int = 0, near: bool = True, unread: int = 0
) -> ReplicaOption:
    """Return an engine with a number of long answers that are halfway through."""
    return ReplicaOption(
        name,
        near,
        long_answers,
        24,
        tokens=3827 * long_answers,
        unread_tokens=unread,
        capacity_tokens=26_900,
        used_tokens=3453 * long_answers,
        pace=pace,
        tokens_per_event=4,
    )


def started_at(need: Need, *options: ReplicaOption) -> str:
    start = best_start(options, need, Random(1))
    assert isinstance(start, Begin)
    return start.replica


def test_long_answer_goes_to_fast_engine_although_it_is_fuller():
    assert (
        started_at(LONG_ANSWER, engine("fast", FAST, long_answers=5), engine("slow", SLOW))
        == "fast"
    )


def test_long_answer_goes_to_slow_engine_if_fast_one_is_full():
    assert (
        started_at(LONG_ANSWER, engine("fast", FAST, long_answers=7), engine("slow", SLOW))
        == "slow"
    )


def test_slow_engine_with_fewer_long_answers_is_preferred():
    options = [
        engine("many", SLOW, long_answers=4),
        engine("few", SLOW, long_answers=1),
    ]
    assert started_at(LONG_ANSWER, *options) == "few"
    options = [engine("in slow phase", SLOW_PHASE, long_answers=4), engine("none", SLOW)]
    assert started_at(LONG_ANSWER, *options) == "none"


def test_second_long_answer_leaves_engine_without_long_answers_to_short_ones():
    assert (
        started_at(LONG_ANSWER, engine("one", SLOW, long_answers=1), engine("none", SLOW)) == "one"
    )


def test_short_answer_goes_where_no_long_answer_runs():
    options = [
        engine("fast", FAST),
        engine("busy", SLOW, long_answers=1),
        engine("slow", SLOW),
    ]
    assert started_at(SHORT_ANSWER, *options) == "slow"


def test_short_answer_goes_to_fast_engine_if_slow_ones_run_long_answers():
    assert (
        started_at(
            SHORT_ANSWER,
            engine("fast", FAST, long_answers=3),
            engine("slow", SLOW, long_answers=1),
        )
        == "fast"
    )


def test_prompt_avoids_long_answers_at_engine_in_slow_phase():
    options = [
        engine("in slow phase", SLOW_PHASE, long_answers=1),
        engine("normal", SLOW, long_answers=1),
    ]
    assert started_at(SHORT_ANSWER, *options) == "normal"


def test_least_loss_is_chosen_if_pauses_are_too_long_everywhere():
    options = [
        engine("many", SLOW_PHASE, long_answers=5),
        engine("few", SLOW_PHASE, long_answers=2),
    ]
    assert started_at(LONG_ANSWER, *options) == "few"


def test_engine_with_late_first_event_is_avoided():
    options = [engine("queue", FAST, unread=20_000), engine("slow", SLOW)]
    assert started_at(SHORT_ANSWER, *options) == "slow"
    assert (
        started_at(LONG_ANSWER, engine("queue", FAST, unread=30_000), engine("slow", SLOW))
        == "slow"
    )


def test_other_zone_is_chosen_only_for_a_sufficient_gain():
    assert (
        started_at(
            LONG_ANSWER,
            engine("near", FAST, long_answers=4),
            engine("far", FAST, near=False),
        )
        == "near"
    )
    assert started_at(LONG_ANSWER, engine("near", SLOW), engine("far", FAST, near=False)) == "far"
    assert started_at(SHORT_ANSWER, engine("near", SLOW), engine("far", SLOW, near=False)) == "near"


def test_resumed_generation_prefers_fast_engine():
    need = Need(tokens=3453, max_pause_s=0.18)
    options = [engine("slow", SLOW), engine("fast", FAST, long_answers=4)]
    assert choose_replica(options, need.tokens, Random(1), DEPARTURE_COPY_RULES, need) == "fast"


def test_resumed_generation_avoids_unread_prompts_at_engine_in_slow_phase():
    need = Need(tokens=3453, max_pause_s=0.18)
    options = [
        engine("with prompts", SLOW_PHASE, unread=5000),
        engine("without prompts", SLOW_PHASE),
    ]
    assert (
        choose_replica(options, need.tokens, Random(1), DEPARTURE_COPY_RULES, need)
        == "without prompts"
    )


@pytest.mark.parametrize("need", [LONG_ANSWER, SHORT_ANSWER])
def test_equal_engines_share_the_requests(need):
    options = [engine(str(n), FAST, long_answers=1) for n in range(10)]
    random = Random(5)
    names = [choose_replica(options, need.tokens, random, need=need) for _ in range(500)]
    assert all(25 <= names.count(o.name) <= 90 for o in options)


@pytest.mark.parametrize("need", [LONG_ANSWER, SHORT_ANSWER])
def test_engines_of_unknown_pace_are_chosen_by_memory_alone(need):
    options = [engine(str(n), None, long_answers=n % 4, unread=700 * n) for n in range(10)]
    for seed in range(20):
        with_need = choose_replica(options, need.tokens, Random(seed), need=need)
        assert with_need == choose_replica(options, need.tokens, Random(seed))


def plain(name: str, running: int, pace: Pace, near: bool = True) -> ReplicaOption:
    return ReplicaOption(name, near, running, 6, pace=pace)


def test_call_goes_where_its_answer_is_expected_first():
    slow = Pace(steady=2.5, age_s=0.0)
    assert started_at(Need(), plain("slow", 0, slow), plain("full", 6, NOMINAL)) == "full"
    assert started_at(Need(), plain("slow", 0, slow), plain("queue", 16, NOMINAL)) == "slow"
    assert (
        started_at(
            Need(),
            plain("in slow phase", 0, Pace(momentary=2.5, age_s=0.0)),
            plain("normal", 5, NOMINAL),
        )
        == "normal"
    )


def test_call_prefers_own_zone_among_equal_replicas():
    assert (
        started_at(Need(), plain("far", 1, Pace(), near=False), plain("near", 1, NOMINAL)) == "near"
    )


def test_old_request_counts_are_ignored_but_own_calls_count():
    old, silent = Pace(age_s=0.5), Pace(age_s=3.0)
    options, random = [plain("a", 6, old), plain("b", 0, old)], Random(1)
    choices = [choose_replica(options, 0, random, need=Need()) for _ in range(200)]
    assert 60 <= choices.count("a") <= 140
    assert started_at(Need(), plain("a", 30, silent), plain("b", 0, silent)) == "b"
