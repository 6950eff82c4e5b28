"""Remaining output and expected loss of a generation."""

import pytest

from reachlink.requests._generation_progress import (
    FULL_RISK_TOKENS,
    MIN_REMAINING_FRACTION,
    OTHER_ZONE_RISK_FACTOR,
    GenerationProgress,
)


def progress(
    last_event: int, expected: int = 400, longest: int = 1000, prompt: int = 3000
) -> GenerationProgress:
    return GenerationProgress(prompt, expected, longest, last_event, tokens_per_event=4)


def test_used_memory_is_prompt_and_output():
    assert progress(25).output_tokens == 100
    assert progress(25).used_tokens == 3100


@pytest.mark.parametrize("last_event", [-1, 0])
def test_before_first_output_only_prompt_uses_memory(last_event):
    assert progress(last_event).output_tokens == 0
    assert progress(last_event).used_tokens == 3000
    assert progress(last_event).remaining_tokens == 400


def test_remaining_output_is_expected_output_minus_output_so_far():
    assert progress(25).remaining_tokens == 300


def test_maximum_output_is_used_without_expected_length():
    assert progress(25, expected=0).remaining_tokens == 900


def test_beyond_expected_length_a_fraction_of_output_so_far_remains():
    assert progress(150).remaining_tokens == round(600 * MIN_REMAINING_FRACTION) == 150


def test_expected_memory_increases_beyond_expected_length():
    assert progress(25).final_tokens == 3400
    assert progress(150).final_tokens == 3750
    assert progress(240).final_tokens == 4000


def test_remaining_output_is_limited_by_maximum_output():
    assert progress(0, expected=2000).remaining_tokens == 1000
    assert progress(240).remaining_tokens == 40
    assert progress(250).remaining_tokens == 0
    assert progress(300).remaining_tokens == 0


def test_plain_request_has_no_expected_loss():
    plain = GenerationProgress(0, 0, 0, 5, 0)
    assert (plain.used_tokens, plain.remaining_tokens, plain.expected_loss(near=True)) == (0, 0, 0)


def test_expected_loss_is_work_to_repeat_whole_generation():
    # 3000 prompt tokens and 400 output tokens, each worth as much work as 10 prompt tokens.
    assert progress(0).expected_loss(near=True) == 7000


def test_expected_loss_decreases_with_remaining_output():
    assert progress(25).expected_loss(near=True) == 7000 * 300 // FULL_RISK_TOKENS
    assert progress(250).expected_loss(near=True) == 0


def test_generation_in_other_zone_has_higher_expected_loss():
    assert progress(0).expected_loss(near=False) == OTHER_ZONE_RISK_FACTOR * progress(
        0
    ).expected_loss(near=True)
