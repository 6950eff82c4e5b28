"""Where a request goes by the time that work takes there."""

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

QUICK = Pace(steady=0.55, slow_factor=2.5, slow_share=0.15, age_s=0.0)
SLOW = Pace(steady=1.2, slow_factor=2.5, slow_share=0.15, age_s=0.0)
SLOW_NOW = Pace(steady=1.2, momentary=2.5, slow_factor=2.5, slow_share=0.15, age_s=0.0)
USUAL_NOW = Pace(age_s=0.0)
DRAFT = Need(3827, 3079, first_event_due_in_s=1.8, max_pause_s=0.18)
CHECK = Need(2558, 2550, first_event_due_in_s=1.5, max_pause_s=0.18)


def engine(
    name: str, pace: Pace | None, drafts: int = 0, near: bool = True, unread: int = 0
) -> ReplicaOption:
    """Return an engine with drafts that are halfway through."""
    return ReplicaOption(
        name,
        near,
        drafts,
        24,
        tokens=3827 * drafts,
        unread_tokens=unread,
        capacity_tokens=26_900,
        used_tokens=3453 * drafts,
        pace=pace,
        tokens_per_event=4,
    )


def best(need: Need, *options: ReplicaOption) -> str:
    start = best_start(options, need, Random(1))
    assert isinstance(start, Begin)
    return start.replica


def test_a_long_answer_goes_to_the_quick_though_it_is_fuller():
    assert best(DRAFT, engine("quick", QUICK, drafts=5), engine("slow", SLOW)) == "quick"


def test_a_long_answer_goes_to_a_slow_one_where_the_quick_have_no_room():
    assert best(DRAFT, engine("quick", QUICK, drafts=7), engine("slow", SLOW)) == "slow"


def test_a_slow_one_carries_fewer_rather_than_none():
    options = [engine("many", SLOW, drafts=4), engine("few", SLOW, drafts=1)]
    assert best(DRAFT, *options) == "few"
    options = [engine("bad", SLOW_NOW, drafts=4), engine("none", SLOW)]
    assert best(DRAFT, *options) == "none"


def test_a_second_long_answer_leaves_those_without_any_to_the_short_ones():
    assert best(DRAFT, engine("one", SLOW, drafts=1), engine("none", SLOW)) == "one"


def test_a_short_answer_is_read_where_no_long_one_runs():
    options = [engine("quick", QUICK), engine("busy", SLOW, drafts=1), engine("slow", SLOW)]
    assert best(CHECK, *options) == "slow"


def test_a_short_answer_is_read_at_the_quick_where_the_slow_have_long_ones():
    assert best(CHECK, engine("quick", QUICK, drafts=3), engine("slow", SLOW, drafts=1)) == "quick"


def test_a_prompt_is_not_read_beside_others_in_a_bad_moment():
    options = [engine("bad", SLOW_NOW, drafts=1), engine("good", SLOW, drafts=1)]
    assert best(CHECK, *options) == "good"


def test_where_nowhere_holds_it_goes_where_the_loss_is_least():
    options = [engine("many", SLOW_NOW, drafts=5), engine("few", SLOW_NOW, drafts=2)]
    assert best(DRAFT, *options) == "few"


def test_a_first_event_that_would_be_late_counts():
    options = [engine("queue", QUICK, unread=20_000), engine("slow", SLOW)]
    assert best(CHECK, *options) == "slow"
    assert best(DRAFT, engine("queue", QUICK, unread=30_000), engine("slow", SLOW)) == "slow"


def test_another_zone_is_taken_where_the_gain_is_worth_it():
    assert best(DRAFT, engine("near", QUICK, drafts=4), engine("far", QUICK, near=False)) == "near"
    assert best(DRAFT, engine("near", SLOW), engine("far", QUICK, near=False)) == "far"
    assert best(CHECK, engine("near", SLOW), engine("far", SLOW, near=False)) == "near"


def test_a_generation_that_moves_prefers_the_quick():
    need = Need(tokens=3453, max_pause_s=0.18)
    options = [engine("slow", SLOW), engine("quick", QUICK, drafts=4)]
    assert choose_replica(options, need.tokens, Random(1), DEPARTURE_COPY_RULES, need) == "quick"


def test_it_does_not_join_beside_a_reading_where_a_pause_would_be_too_long():
    need = Need(tokens=3453, max_pause_s=0.18)
    options = [engine("reads", SLOW_NOW, unread=5000), engine("rests", SLOW_NOW)]
    assert choose_replica(options, need.tokens, Random(1), DEPARTURE_COPY_RULES, need) == "rests"


@pytest.mark.parametrize("need", [DRAFT, CHECK])
def test_those_that_are_alike_share_what_comes(need):
    options = [engine(str(n), QUICK, drafts=1) for n in range(10)]
    random = Random(5)
    names = [choose_replica(options, need.tokens, random, need=need) for _ in range(500)]
    assert all(25 <= names.count(o.name) <= 90 for o in options)


@pytest.mark.parametrize("need", [DRAFT, CHECK])
def test_replicas_of_unknown_pace_are_chosen_as_without_a_need(need):
    options = [engine(str(n), None, drafts=n % 4, unread=700 * n) for n in range(10)]
    for seed in range(20):
        with_need = choose_replica(options, need.tokens, Random(seed), need=need)
        assert with_need == choose_replica(options, need.tokens, Random(seed))


def plain(name: str, running: int, pace: Pace, near: bool = True) -> ReplicaOption:
    return ReplicaOption(name, near, running, 6, pace=pace)


def test_a_call_goes_where_its_answer_is_expected_first():
    slow = Pace(steady=2.5, age_s=0.0)
    assert best(Need(), plain("slow", 0, slow), plain("full", 6, USUAL_NOW)) == "full"
    assert best(Need(), plain("slow", 0, slow), plain("queue", 16, USUAL_NOW)) == "slow"
    assert (
        best(Need(), plain("bad", 0, Pace(momentary=2.5, age_s=0.0)), plain("good", 5, USUAL_NOW))
        == "good"
    )


def test_a_call_prefers_its_own_zone_among_those_alike():
    assert best(Need(), plain("far", 1, Pace(), near=False), plain("near", 1, USUAL_NOW)) == "near"


def test_counts_of_a_moment_ago_say_nothing_and_own_calls_always_count():
    old, silent = Pace(age_s=0.5), Pace(age_s=3.0)
    options, random = [plain("a", 6, old), plain("b", 0, old)], Random(1)
    choices = [choose_replica(options, 0, random, need=Need()) for _ in range(200)]
    assert 60 <= choices.count("a") <= 140
    assert best(Need(), plain("a", 30, silent), plain("b", 0, silent)) == "b"
