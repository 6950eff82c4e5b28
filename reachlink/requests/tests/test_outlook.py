"""How much of a generation is still to come, and what would be lost with it."""

import pytest

from reachlink.requests._outlook import (
    FULL_RISK_TOKENS,
    MIN_REMAINING_FRACTION,
    OTHER_ZONE_RISK_FACTOR,
    GenerationProgress,
)


def outlook(
    last_event: int, expected: int = 400, longest: int = 1000, prompt: int = 3000
) -> GenerationProgress:
    return GenerationProgress(prompt, expected, longest, last_event, tokens_per_event=4)


def test_memory_in_use_is_the_prompt_and_what_was_made():
    assert outlook(25).output_tokens == 100
    assert outlook(25).used_tokens == 3100


@pytest.mark.parametrize("last_event", [-1, 0])
def test_before_the_first_output_only_the_prompt_takes_memory(last_event):
    assert outlook(last_event).output_tokens == 0
    assert outlook(last_event).used_tokens == 3000
    assert outlook(last_event).remaining_tokens == 400


def test_the_expected_output_remains_without_what_was_made():
    assert outlook(25).remaining_tokens == 300


def test_without_an_expectation_the_longest_output_counts():
    assert outlook(25, expected=0).remaining_tokens == 900


def test_beyond_the_expected_output_a_share_of_it_follows():
    assert outlook(150).remaining_tokens == round(600 * MIN_REMAINING_FRACTION) == 150


def test_what_outlives_its_guess_is_expected_to_take_more():
    assert outlook(25).final_tokens == 3400
    assert outlook(150).final_tokens == 3750
    assert outlook(240).final_tokens == 4000


def test_no_more_than_the_longest_output_remains():
    assert outlook(0, expected=2000).remaining_tokens == 1000
    assert outlook(240).remaining_tokens == 40
    assert outlook(250).remaining_tokens == 0
    assert outlook(300).remaining_tokens == 0


def test_a_plain_request_has_nothing_at_stake():
    plain = GenerationProgress(0, 0, 0, 5, 0)
    assert (plain.used_tokens, plain.remaining_tokens, plain.expected_loss(near=True)) == (0, 0, 0)


def test_the_stake_is_the_work_to_make_the_whole_again():
    # 3000 tokens of prompt and 400 of output, each as much work as 10 of prompt.
    assert outlook(0).expected_loss(near=True) == 7000


def test_the_stake_shrinks_with_what_remains():
    assert outlook(25).expected_loss(near=True) == 7000 * 300 // FULL_RISK_TOKENS
    assert outlook(250).expected_loss(near=True) == 0


def test_a_generation_in_another_zone_has_more_at_stake():
    assert outlook(0).expected_loss(near=False) == OTHER_ZONE_RISK_FACTOR * outlook(
        0
    ).expected_loss(near=True)
