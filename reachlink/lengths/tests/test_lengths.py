"""Length estimates follow finished and unfinished answers."""

import math
from random import Random

from reachlink.lengths import LengthEstimator, LengthKey, SurvivalCurve
from reachlink.lengths._buckets import BUCKET_COUNT

KEY = LengthKey("chat", "w1")


def observe_all(lengths: LengthEstimator, key: LengthKey, values) -> None:
    for value in values:
        lengths.observe(key, 0, value, ended=True)


def test_curve_matches_a_heavy_tailed_sample():
    random = Random(1)
    sample = [max(1, round(math.exp(random.gauss(4.5, 1.0)))) for _ in range(3000)]
    lengths = LengthEstimator()
    observe_all(lengths, KEY, sample)
    curve = lengths.curve(KEY)
    for length in (16, 64, 128, 256, 512):
        truth = sum(1 for s in sample if s > length) / len(sample)
        assert abs(curve.longer_than(length) - truth) < 0.08


def test_unfinished_answers_count():
    """Only short answers have ended, but most answers are still running."""
    finished_only, both = LengthEstimator(), LengthEstimator()
    for _ in range(50):
        for lengths in (finished_only, both):
            lengths.observe(KEY, 0, 20, ended=True)
        for _ in range(3):
            both.observe(KEY, 0, 400, ended=False)
    assert finished_only.curve(KEY).longer_than(300) < 0.1
    assert both.curve(KEY).longer_than(300) > 0.5


def test_progress_reports_do_not_count_twice():
    whole, parts = LengthEstimator(), LengthEstimator()
    for _ in range(100):
        whole.observe(KEY, 0, 300, ended=True)
        parts.observe(KEY, 0, 10, ended=False)
        parts.observe(KEY, 10, 100, ended=False)
        parts.observe(KEY, 100, 300, ended=True)
    for length in (8, 50, 200, 290, 400):
        a, b = whole.curve(KEY).longer_than(length), parts.curve(KEY).longer_than(length)
        assert abs(a - b) < 1e-6


def test_a_new_workspace_falls_back_to_its_service():
    lengths = LengthEstimator()
    observe_all(lengths, KEY, [1000] * 200)
    assert lengths.curve(LengthKey("chat", "new")).longer_than(500) > 0.8
    assert lengths.curve(LengthKey("other")).longer_than(500) > 0.5


def test_estimate_follows_drift():
    lengths = LengthEstimator()
    observe_all(lengths, KEY, [30] * 1000)
    observe_all(lengths, KEY, [900] * 400)
    assert lengths.curve(KEY).longer_than(500) > 0.6


def test_number_of_keys_is_bounded():
    lengths = LengthEstimator(max_keys=50)
    for i in range(500):
        lengths.observe(LengthKey("chat", f"w{i}"), 0, 10, ended=True)
    assert len(lengths) <= 50


def test_expected_remaining_is_the_area_under_the_curve():
    curve = SurvivalCurve([0.1] * BUCKET_COUNT)
    total = sum(curve.still_running(100, h) for h in range(131_000))
    assert abs(curve.expected_remaining(100) - total) / total < 0.02
